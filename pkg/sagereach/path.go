package sagereach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the detection of lost paths.
const (
	// minSpread is how many upstreams of a service must stop answering before the path is suspected; a service with
	// fewer upstreams needs all of them.
	minSpread = 2
	// probesPerRound is how many upstreams are probed at once.
	probesPerRound = 3
	// probeInterval is the time between two rounds of probes.
	probeInterval = 300 * time.Millisecond
	// responseTolerance is how long all upstreams may stay unresponsive before the path counts as lost. Upstreams may pause
	// for about a second. Refused and reset connections decide earlier.
	responseTolerance = 1200 * time.Millisecond
	// minActiveRounds is how many rounds of probes must be refused or reset before the path counts as lost.
	minActiveRounds = 2
	// verifiedDuration is how long an answered probe keeps a path from being suspected again.
	verifiedDuration = 500 * time.Millisecond
	// regainRounds is how many rounds in a row must be answered before the path counts as regained, and
	// flappingRegainRounds the same for a path that was lost again within flappingPeriod.
	regainRounds         = 2
	flappingRegainRounds = 4
	flappingPeriod       = 5 * time.Second
)

// PathState is the state of the path between this node and the upstreams of a service.
type PathState int

// The states.
const (
	// Open: upstreams answer.
	Open PathState = iota
	// Suspected: several upstreams stopped answering, and probes have to show whether the path is lost.
	Suspected
	// Lost: no upstream of the service can be reached from this node.
	Lost
)

// ProbeResult is the result of a probe over a new connection.
type ProbeResult int

// The results.
const (
	// ProbeAnswered: the upstream answered.
	ProbeAnswered ProbeResult = iota
	// ProbeRefused: the connection was refused or reset.
	ProbeRefused
	// ProbeTimedOut: there was no answer in time.
	ProbeTimedOut
	// ProbeUnreached: the connection was not opened in time.
	ProbeUnreached
)

// IfFull returns what the result says about the path if the upstream is full. A full upstream resets connections and lets
// health checks wait, so that only a connection that could not be opened is evidence then.
func (r ProbeResult) IfFull() ProbeResult {
	if r == ProbeUnreached {
		return r
	}
	return ProbeAnswered
}

// Transition is a change of a path's state between lost and not lost.
type Transition struct {
	Service string
	Lost    bool
	// Since is when the first upstream stopped answering.
	Since sageclock.Instant
	// Unanswered is the number of upstreams that did not answer requests, Probes the number of probes that decided.
	Unanswered, Probes int
}

// path is the state of the path to one service.
type path struct {
	state         PathState
	since         sageclock.Instant // when the first upstream stopped answering
	suspectedAt   sageclock.Instant
	nextRound     sageclock.Instant
	pending       int // probes of the present round without a result
	roundAnswered bool
	roundTimedOut bool
	probes        int      // probes since the path was suspected
	probed        []string // upstreams that were probed since then
	activeRounds  int      // rounds in a row with only refused or reset probes
	goodRounds    int      // answered rounds in a row while the path is lost
	verifiedUntil sageclock.Instant
	lastLost      sageclock.Instant // start of the last loss
	flapping      bool
}

// Suspect suspects the path to a service if enough of its available upstreams don't answer, and reports whether its
// state is no longer Open.
func (t *Tracker) Suspect(now sageclock.Instant, service string, available int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pathOf(service)
	if p.state != Open {
		return true
	}
	s := t.spread(now, service)
	if now < p.verifiedUntil || s.Unanswered < min(minSpread, max(1, available)) {
		return false
	}
	*p = path{state: Suspected, since: s.Since, suspectedAt: now, nextRound: now, lastLost: p.lastLost}
	return true
}

// Forget drops the state of the path to a service that has no upstreams.
func (t *Tracker) Forget(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.paths, service)
}

// State returns the state of the path to a service.
func (t *Tracker) State(service string) PathState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[service]; p != nil {
		return p.state
	}
	return Open
}

// Services returns the services whose path is in one of the given states, in alphabetical order.
func (t *Tracker) Services(states ...PathState) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for s, p := range t.paths {
		if slices.Contains(states, p.state) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// LostSince returns when the path to a service was lost, or zero if it isn't lost.
func (t *Tracker) LostSince(service string) sageclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[service]; p != nil && p.state == Lost {
		return p.since
	}
	return 0
}

// LostBetween reports whether the path to a service was lost at some time since from.
func (t *Tracker) LostBetween(service string, from sageclock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	return p != nil && p.lastLost != 0 && (p.state == Lost || p.lastLost >= from)
}

// StartRound returns which of the available upstreams of a service are to be probed now; none if no round is due. The
// result of each is recorded with [Tracker.RecordProbe].
//
// The upstreams that are most likely to answer are probed first, and in each round others: if some can be reached and most
// can't, the path is open. Most that don't answer may have crashed.
func (t *Tracker) StartRound(now sageclock.Instant, service string, available []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	if p == nil || p.state == Open || p.pending > 0 || now < p.nextRound || len(available) == 0 {
		return nil
	}
	ordered := t.byLikelihood(now, service, available, p.probed)
	chosen := ordered[:min(probesPerRound, len(ordered))]
	if p.state == Suspected {
		p.probed = append(p.probed, chosen...)
	}
	p.pending, p.roundAnswered, p.roundTimedOut = len(chosen), false, false
	p.nextRound = now.Add(probeInterval)
	return chosen
}

// byLikelihood orders upstreams: those whose last exchange was answered before the others, those that were not probed before
// the others, and then the latest answer.
func (t *Tracker) byLikelihood(now sageclock.Instant, service string, available, probed []string) []string {
	out := make([]string, 0, len(available))
	for _, i := range rand.Perm(len(available)) {
		out = append(out, available[i])
	}
	records := t.services[service]
	rank := func(u string) (group int, answered sageclock.Instant) {
		r := records[u]
		if slices.Contains(probed, u) {
			group = 2
		}
		if r == nil {
			return group, 0
		}
		if r.failing(now) {
			group++
		}
		return group, r.lastAnswer
	}
	slices.SortStableFunc(out, func(a, b string) int {
		groupA, answeredA := rank(a)
		groupB, answeredB := rank(b)
		return cmp.Or(cmp.Compare(groupA, groupB), cmp.Compare(answeredB, answeredA))
	})
	return out
}

// RecordProbe records the result of one probe. It returns the transition if the path was lost or regained, or nil.
func (t *Tracker) RecordProbe(now sageclock.Instant, service, upstream string, res ProbeResult) *Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[service]
	if p == nil || p.pending == 0 {
		return nil
	}
	p.pending--
	p.probes++
	switch res {
	case ProbeAnswered:
		p.roundAnswered = true
		t.getOrCreate(service, upstream).recordAnswer(now, true)
	case ProbeTimedOut, ProbeUnreached:
		p.roundTimedOut = true
	}
	if p.state == Suspected && p.roundAnswered {
		*p = path{verifiedUntil: now.Add(verifiedDuration), lastLost: p.lastLost}
		return nil
	}
	if p.pending > 0 {
		return nil
	}
	return t.endRound(now, service, p)
}

// endRound evaluates a complete round of probes.
func (t *Tracker) endRound(now sageclock.Instant, service string, p *path) *Transition {
	if p.state == Lost {
		return t.endRoundWhileLost(now, service, p)
	}
	if p.activeRounds++; p.roundTimedOut {
		p.activeRounds = 0
	}
	if p.activeRounds < minActiveRounds && now.Sub(p.suspectedAt) < responseTolerance {
		return nil
	}
	p.flapping = p.lastLost != 0 && now.Sub(p.lastLost) < flappingPeriod
	p.state, p.lastLost, p.goodRounds = Lost, now, 0
	return &Transition{Service: service, Lost: true, Since: p.since, Unanswered: t.spread(now, service).Unanswered, Probes: p.probes}
}

func (t *Tracker) endRoundWhileLost(now sageclock.Instant, service string, p *path) *Transition {
	if !p.roundAnswered {
		p.goodRounds = 0
		return nil
	}
	required := regainRounds
	if p.flapping {
		required = flappingRegainRounds
	}
	if p.goodRounds++; p.goodRounds < required {
		return nil
	}
	out := &Transition{Service: service, Since: p.since, Probes: p.probes}
	for _, r := range t.services[service] {
		r.unansweredFrom = 0
	}
	*p = path{verifiedUntil: now.Add(verifiedDuration), lastLost: p.lastLost}
	return out
}

// AnsweredSince reports whether an upstream of the service other than the given one answered this node over a new
// connection since an instant.
func (t *Tracker) AnsweredSince(service, except string, since sageclock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u, r := range t.services[service] {
		if u != except && r.lastFresh > since {
			return true
		}
	}
	return false
}

func (t *Tracker) pathOf(service string) *path {
	if t.paths == nil {
		t.paths = make(map[string]*path)
	}
	p := t.paths[service]
	if p == nil {
		p = new(path)
		t.paths[service] = p
	}
	return p
}
