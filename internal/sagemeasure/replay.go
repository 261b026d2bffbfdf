package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

// How late the routers of a replay learn what happens.
const (
	maxReportAge   = 3 * time.Second
	maxChangeDelay = 4 * time.Second // the greatest time until a router knows of a change
	maxAttempts    = 4
	tokenTTL       = 30 * time.Minute
	// A request for which only a unit is lacking waits for it, as in the daemon.
	unitWait          = 2 * time.Second
	unitRetryInterval = 50 * time.Millisecond
	// strayRate is the part of requests that reach another router than the chat's own.
	strayRate = 0.1
)

// replay runs one trace through the routers of one variant.
type replay struct {
	clock
	site    site
	variant variant
	trace   []request
	rand    *rand.Rand
	engines []*engine
	routers []*router
	tokens  map[uint64]string
	signer  sageplace.TokenSigner
	results []result
	// inService says which data centres operators have in service.
	inService []bool
	// allotments is nil for variants that go by estimates alone.
	allotments *allotments
}

// loadFeed says how routers learn of loads: how often, and after which delay at most. The least delay is a
// tenth of it.
type loadFeed struct{ every, delay time.Duration }

var (
	// reportFeed are the engines' own, which lag.
	reportFeed = loadFeed{500 * time.Millisecond, 900 * time.Millisecond}
	// countFeed are what routers tell each other of their requests in flight when they ask the home of
	// an engine for allotments.
	countFeed = loadFeed{250 * time.Millisecond, 250 * time.Millisecond}
)

func newReplay(s site, v variant, trace []request, seed uint64) *replay {
	if v.loadFeed.every == 0 {
		v.loadFeed = reportFeed
	}
	p := &replay{
		site: s, variant: v, trace: trace, rand: rand.New(rand.NewPCG(seed, 0x6c61)),
		tokens: make(map[uint64]string), signer: sageplace.TokenSigner{Keys: [][]byte{[]byte("measure")}},
		results: make([]result, len(trace)), inService: make([]bool, s.dataCentres),
	}
	for i := range p.inService {
		p.inService[i] = true
	}
	for i := range s.engines {
		p.engines = append(p.engines, &engine{
			name: fmt.Sprint("engine-", i), dataCentre: i % s.dataCentres, slots: engineSlots, up: true,
			completed: 1000, // warm from the start
			cache:     newPrefixCache(engineCacheTokens), onEnd: p.jobEnded, clock: &p.clock, jobs: make(map[*job]bool),
		})
	}
	for i := range s.routers {
		r := &router{id: i, candidates: make([]bool, s.engines), ownInFlight: make([]int, s.engines), lastReports: make([]loadReport, s.engines)}
		for e := range r.candidates {
			r.candidates[e] = true
			r.lastReports[e] = loadReport{completed: 1000}
			r.estimates = append(r.estimates, sageload.Estimate{MaxReportAge: maxReportAge})
		}
		p.routers = append(p.routers, r)
		p.startRouter(r)
	}
	for i, e := range p.engines {
		p.every(p.randomPhase(v.loadFeed.every), v.loadFeed.every, func() { p.sendReports(i, e) })
	}
	if v.allotments != nil {
		p.startAllotments(*v.allotments)
	}
	for i := range trace {
		r := &trace[i]
		p.after(r.at, func() { p.arrive(r) })
	}
	return p
}

func (p *replay) arrive(q *request) {
	n := q.chat % uint64(len(p.routers))
	if p.rand.Float64() < strayRate {
		n = uint64(p.rand.IntN(len(p.routers)))
	}
	p.dispatch(&job{request: q, router: p.routers[n]})
}

// dispatch asks the decision code until an engine takes the job. An engine whose allotment is used up
// is passed over for this dispatch; only one that is down counts as a try.
func (p *replay) dispatch(j *job) {
	skipped := slices.Clone(j.tried)
	for len(j.tried) < maxAttempts {
		i, reason := p.chooseEngine(j, skipped)
		if i < 0 && p.canWaitForUnit(j) {
			p.after(unitRetryInterval, func() { p.dispatch(j) })
			return
		}
		if i < 0 {
			p.results[j.number] = result{refusalReason: reason, endedAt: p.now, attempts: len(j.tried)}
			return
		}
		e := p.engines[i]
		skipped = append(skipped, i)
		switch {
		case !e.up:
			j.tried = append(j.tried, i)
		case p.allotments == nil || p.allotments.acquire(j, i):
			j.engine = e
			p.recordOwnRequests(j.router, i, 1)
			e.submit(j)
			return
		}
	}
	p.results[j.number] = result{refusalReason: sageplace.ReasonAllAtBound, endedAt: p.now, attempts: len(j.tried)}
}

// waits reports whether the job should wait for a unit, as the daemon lets it: while an upstream has
// room of which its router only lacks the allotment.
func (p *replay) canWaitForUnit(j *job) bool {
	r := j.router
	if p.allotments == nil || p.now >= j.at+unitWait {
		return false
	}
	c := r.policy.Choose(p.instant(), r.table, r.loads.WithFreeUnits(), p.placementQuery(j, j.tried))
	return c.Index >= 0
}

// query is what the router's policy is asked for a job.
func (p *replay) placementQuery(j *job, skipped []int) *sageplace.Query {
	r := j.router
	q := &sageplace.Query{Context: j.context, Chat: j.chat, Location: p.location(j)}
	if p.variant.headroom {
		q.Headroom = sageplace.DefaultHeadroom[j.priority]
	}
	for _, i := range skipped {
		if k := slices.Index(r.tableEngines, i); k >= 0 {
			q.Tried = append(q.Tried, k)
		}
	}
	return q
}

// choose returns the engine that the router's policy takes.
func (p *replay) chooseEngine(j *job, skipped []int) (int, sageplace.Reason) {
	r := j.router
	c := r.policy.Choose(p.instant(), r.table, r.loads, p.placementQuery(j, skipped))
	if _, isOracle := r.policy.(*oraclePolicy); isOracle || c.Index < 0 {
		return c.Index, c.Reason
	}
	return r.tableEngines[c.Index], c.Reason
}

func (p *replay) location(j *job) sageplace.Location {
	if p.variant.token {
		if location, ok := p.signer.Verify(p.tokens[j.chat], "", j.chatName, p.instant()); ok {
			return location
		}
	}
	if p.variant.routerMemory {
		location, _ := j.router.locations.Lookup(j.chat)
		return location
	}
	return sageplace.Location{}
}

// ended takes a job back from its engine; a lost one is sent to another engine, being idempotent.
func (p *replay) jobEnded(j *job, ok bool) {
	r, i := j.router, slices.Index(p.engines, j.engine)
	if p.allotments != nil {
		p.allotments.release(j, i)
	}
	p.recordOwnRequests(r, i, -1)
	if !ok {
		j.tried = append(j.tried, i)
		p.dispatch(j)
		return
	}
	p.results[j.number] = result{
		done: true, endedAt: p.now, cached: j.cached, engine: j.engine, started: j.started, attempts: len(j.tried) + 1,
	}
	location := sageplace.Location{Upstream: sageplace.Key(j.engine.name), Generation: j.engine.generation}
	if p.variant.token {
		p.tokens[j.chat] = p.signer.Sign("", j.chatName, location, p.instant().Add(tokenTTL))
	}
	if p.variant.routerMemory {
		r.locations.RecordStored(j.chat, location.Upstream, location.Generation)
	}
}
