package sagerouter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sageadmission"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sagebrittle"
	"sagestand.example/sagestand/pkg/sagecapacity"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// keyClockMargin is subtracted from the maximum age of keys, for clocks that run at slightly different rates.
const keyClockMargin = 200 * time.Millisecond

// fleet implements [sagerelay.Fleet] with the node's view and the counts of all nodes.
type fleet struct {
	view       *view
	keyProof   *sagefresh.Proof
	keyMaxAge  atomic.Int64 // nanoseconds
	loadCap    atomic.Pointer[float64]
	knownNodes func() []string
	// fleetSize returns the number of nodes of the fleet, 0 while it isn't known.
	fleetSize func() int
	countLag  func() time.Duration // delay of the other nodes' counts
	placer    *sagechain.Placer
	// cacheSynced reports whether the cache resync after the start is complete.
	cacheSynced func() bool
	inFlight    sageflight.Counter
	brokenNodes sageflight.Counter // number of nodes whose own exchanges broke
	// answeredNodes is the number of nodes that got an answer after the upstream was reported as broken.
	answeredNodes sageflight.Counter
	reach         sagereach.Tracker
	reachLog      reachLog
	evidence      evidenceQueue
	helpers       sagereach.Helpers
	helperCache   helperCache
	saturation    saturation
	// pathSuspected receives a value when a path is suspected.
	pathSuspected chan struct{}
	startedAt     sageclock.Instant
	metrics       *metrics.Set
	self          string
	dataCentre    string
	region        string
	livePeers     func() []sagemesh.Member
	health        sagehealth.Tracker
	pauses        sagebackoff.Pauses[sageupstream.Start]
	declines      declines
	brittle       brittleUpstreams
	latencies     latencyEstimates
	// rollouts is nil if rollouts are disabled. rolloutAnswers counts their responses by [sagerollout.CountKey].
	rollouts         *sagerollout.Tracker
	rolloutLatencies sagerollout.LatencyTracker
	rolloutAnswers   sageflight.Counter
	// divideCapacity says that the capacity of services is divided among the accounts that ask for it.
	divideCapacity atomic.Bool
	capacity       sagecapacity.Tracker
	// returnWithin is the part of the time to its deadline for which a refused caller waits at most; 0 means all of it.
	returnWithin   float64
	gates          sageadmission.Gates
	remainingTimes remainingTimes
	demand         demandExchange

	mu           sync.Mutex
	coldLimiter  sageshare.ColdLimiter
	retryLimiter sageshare.RetryLimiter
}

// setBounds sets the bounds that may change at run time.
func (f *fleet) setBounds(b *Bounds) {
	f.keyMaxAge.Store(int64(millis(b.KeyWithinMillis)))
	f.divideCapacity.Store(b.DivideCapacity)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryLimiter.Ratio, f.retryLimiter.Slack = b.RetryRatio, b.RetrySlack
	f.loadCap.Store(&b.LoadCap)
}

// Table implements [sagerelay.Fleet]. It returns nil until the upstreams are known as well.
func (f *fleet) Table() *sageroute.Table {
	if f.view.upstreams.Load() == nil {
		return nil
	}
	return f.view.table.Load()
}

// Fresh implements [sagerelay.Fleet].
func (f *fleet) Fresh() bool {
	return f.keyProof.Age(sageclock.Now()) < time.Duration(f.keyMaxAge.Load())-keyClockMargin
}

// ProofAge implements [sagerelay.Fleet].
func (f *fleet) ProofAge() time.Duration { return f.keyProof.Age(sageclock.Now()) }

// Upstream implements [sagerelay.Fleet].
func (f *fleet) Upstream(id string, born int64) *sageupstream.Entry {
	if e := f.view.upstreams.Load().Get(id); e != nil && e.Born == born {
		return e
	}
	return nil
}

// Usable implements [sagerelay.Fleet].
func (f *fleet) Usable(u *sageupstream.Entry) bool {
	return f.view.upstreams.Load().Usable(u) && f.pauses.PausedUntil(sageclock.Now(), u.Start()) == 0
}

// Leaving implements [sagerelay.Fleet].
func (f *fleet) Leaving(u *sageupstream.Entry) bool {
	current := f.view.upstreams.Load().Get(u.ID)
	return current == nil || current.Draining
}

// Pick implements [sagerelay.Fleet].
//
// During a rollout of the service the request is assigned to the baseline or the target version. A stream that has begun
// goes on where it began.
func (f *fleet) Pick(q *sagerelay.Query) *sagerelay.Pick {
	now := sageclock.Now()
	set := f.view.upstreams.Load()
	if q.Origin != nil {
		return f.pickAmong(now, set, f.originUpstreams(set, q), false, q)
	}
	arm := f.armFor(now, q.Service, q.Route, len(q.Tried) == 0)
	if p := f.pickFromArm(now, set, arm, q); p != nil {
		return p
	}
	if other, ok := f.otherArm(set, q.Service, arm); ok {
		return f.pickAmong(now, set, f.armUpstreams(set, q.Service, other), false, q)
	}
	return nil
}

// pickFromArm chooses among the upstreams that the arm may use, or returns nil.
func (f *fleet) pickFromArm(now sageclock.Instant, set *sageupstream.Set, arm sagerollout.Arm, q *sagerelay.Query) *sagerelay.Pick {
	return f.pickAmong(now, set, f.armUpstreams(set, q.Service, arm), arm == sagerollout.ArmTarget, q)
}

// pickAmong chooses among some available upstreams of the service, or returns nil. canary says that they are the target of
// a rollout, only some of which may be used.
//
// It prefers warm and healthy upstreams, then those that declined requests, then those that failed recently, then cold
// ones, which are limited to this node's share of their capacity. Paused ones get nothing, even if no other is left.
// Cold ones precede warm ones above the load bound: the first that is warm would otherwise get what all others can take.
func (f *fleet) pickAmong(now sageclock.Instant, set *sageupstream.Set, es []*sageupstream.Entry, canary bool, q *sagerelay.Query) *sagerelay.Pick {
	buf := pickBuffers.Get().(*pickBuffer)
	defer pickBuffers.Put(buf)
	warm := buf.warm[:0]
	var declining, failing, cold []*sageupstream.Entry
	declines := f.declines.of(q.Service)
	for _, e := range es {
		switch {
		case slices.Contains(q.Tried, e.ID):
		case f.pauses.PausedUntil(now, e.Start()) != 0:
		case e.ColdUntil > now:
			cold = append(cold, e)
		case f.health.Avoid(now, q.Service, e.ID):
			failing = append(failing, e)
		case f.backsOff(now, declines, e):
			declining = append(declining, e)
		default:
			warm = append(warm, e)
		}
	}
	buf.warm = warm
	loads := f.inFlight.Sum(now)
	if len(warm) == 0 {
		warm = declining
	}
	if len(warm) == 0 {
		warm = failing
	}
	if canary {
		warm = f.canaryUpstreams(q.Service, warm)
	}
	c := choosing{now: now, buf: buf, set: set, all: set.All(q.Service), loads: loads, q: q}
	mayDecline := len(cold) > 0 && !canary
	p, warm := f.pickWarm(&c, warm, mayDecline)
	if p == nil {
		p = f.pickCold(&c, cold)
	}
	if p == nil && mayDecline {
		p, _ = f.pickWarm(&c, warm, false)
	}
	return p
}

// choosing holds what the choices for one pick have in common.
type choosing struct {
	now   sageclock.Instant
	buf   *pickBuffer
	set   *sageupstream.Set
	all   []*sageupstream.Entry // of the service
	loads sageflight.Counts
	q     *sagerelay.Query
}

// pickWarm picks one of es, or returns nil and those that remain. With mayDecline it picks none above the load bound.
func (f *fleet) pickWarm(c *choosing, es []*sageupstream.Entry, mayDecline bool) (*sagerelay.Pick, []*sageupstream.Entry) {
	for len(es) > 0 {
		e, choice := f.choose(c, es, mayDecline)
		if mayDecline && choice.Reason == sagechain.ReasonAllAtBound {
			break
		}
		if place, ok := f.acquirePlace(c.now, e); ok {
			return f.newPick(c.set, e, choice, place, c.loads, c.q), nil
		}
		es = slices.DeleteFunc(es, func(o *sageupstream.Entry) bool { return o == e })
	}
	return nil, es
}

// pickCold picks one of es within this node's share of what they take while they are cold, or returns nil.
func (f *fleet) pickCold(c *choosing, es []*sageupstream.Entry) *sagerelay.Pick {
	perSecond, known := f.coldPerSecond(c.q.Service), f.knownNodes()
	es = f.mayAllowCold(c.now, known, es, perSecond)
	for len(es) > 0 {
		e, choice := f.choose(c, es, false)
		if place, ok := f.acquirePlace(c.now, e); ok {
			if f.allowCold(c.now, known, e.ID, perSecond) {
				return f.newPick(c.set, e, choice, place, c.loads, c.q)
			}
			f.brittle.limits.Release(place)
		}
		es = slices.DeleteFunc(es, func(o *sageupstream.Entry) bool { return o == e })
	}
	return nil
}

// pickBuffer holds the slices of one pick. Allocated for each, they would be most of the garbage of a node before ten
// thousand upstreams.
type pickBuffer struct {
	warm       []*sageupstream.Entry
	candidates []sagechain.Candidate
}

var pickBuffers = sync.Pool{New: func() any { return new(pickBuffer) }}

// choose selects one of es by the prompt's chain, or the least loaded one if there is no chain. es are among the service's
// upstreams; the load of the others enters the load bound.
func (f *fleet) choose(c *choosing, es []*sageupstream.Entry, mayDecline bool) (*sageupstream.Entry, sagechain.Choice) {
	if len(c.q.Chain) == 0 {
		return f.choosePlain(c.now, es, c.loads, c.q.Service)
	}
	cands := slices.Grow(c.buf.candidates[:0], len(es))[:len(es)]
	c.buf.candidates = cands
	params := sagechain.BoundParams{
		ExcludedUpstreams: len(c.all) - len(es), CountLag: f.countLag(), MeanRunTime: f.latencies.of(c.q.Service).serviceTime.Value(), MayDecline: mayDecline,
	}
	if limit := f.loadCap.Load(); limit != nil {
		params.CapFactor = *limit
	}
	for _, e := range c.all {
		params.ExcludedLoad += c.loads[e.ID]
	}
	for i, e := range es {
		cands[i] = sagechain.Candidate{ID: e.ID, Load: c.loads[e.ID]}
		params.ExcludedLoad -= c.loads[e.ID]
	}
	choice, _ := f.placer.Choose(c.now, cands, params, c.q.Chain)
	return es[choice.Index], choice
}

// leastLoaded returns an entry with the least load. Ties are broken at random: the counts are delayed, and all
// nodes would otherwise choose the same upstream.
func leastLoaded(es []*sageupstream.Entry, loads map[string]int) *sageupstream.Entry {
	off := rand.IntN(len(es))
	best := es[off]
	for i := range es {
		if e := es[(off+i)%len(es)]; loads[e.ID] < loads[best.ID] {
			best = e
		}
	}
	return best
}

func (f *fleet) newPick(set *sageupstream.Set, e *sageupstream.Entry, c sagechain.Choice, place sagebrittle.Place[sageupstream.Start], loads map[string]int, q *sagerelay.Query) *sagerelay.Pick {
	f.declines.of(e.Service).BeginTrial(sageclock.Now(), e.Start())
	end := f.inFlight.Start(e.ID)
	p := &sagerelay.Pick{
		Place:    place,
		Upstream: e, Rule: string(c.Reason), Load: loads[e.ID], UncachedTokens: q.Chain.Tokens() - max(c.HeldTokens, c.CopyTokens),
		Done: func() { end(); f.brittle.limits.Release(place) },
	}
	if from := set.Reachable(sageclock.Now(), c.CopyFrom); from != nil {
		p.CacheSource = from.Address
	}
	return p
}

// sourceTrust returns how far an upstream can be trusted as a source of cached parts: it has to be running, and
// its exchanges must not break.
func (f *fleet) sourceTrust(upstream string) sagechain.SourceTrust {
	now := sageclock.Now()
	e := f.view.upstreams.Load().Reachable(now, upstream)
	switch {
	case e == nil || f.health.Excluded(now, e.Service, upstream):
		return sagechain.SourceUnusable
	case f.health.Suspected(now, e.Service, upstream):
		return sagechain.SourceSuspect
	}
	return sagechain.SourceTrusted
}

func (f *fleet) coldPerSecond(service string) float64 {
	if s := f.Table().Services[service]; s != nil {
		return s.ColdPerSecond
	}
	return 0
}

// mayAllowCold returns those of es that take a request. A choice among the others would be made in vain.
func (f *fleet) mayAllowCold(now sageclock.Instant, known []string, es []*sageupstream.Entry, perSecond float64) []*sageupstream.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(es, func(e *sageupstream.Entry) bool { return !f.coldLimiter.MayAllow(now, known, e.ID, perSecond) })
}

func (f *fleet) allowCold(now sageclock.Instant, known []string, upstream string, perSecond float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coldLimiter.Allow(now, known, upstream, perSecond)
}

// RecordFirstSend implements [sagerelay.Fleet].
func (f *fleet) RecordFirstSend(service string) {
	nodes := f.fleetSize()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryLimiter.RecordFirstSend(sageclock.Now(), service, nodes)
}

// grantRetries fills the buckets of a node whose share no other process can have spent just before.
func (f *fleet) grantRetries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryLimiter.Fill()
}

// AllowRetry implements [sagerelay.Fleet]. While a service has no capacity, a request that may run already isn't sent again:
// the second execution would take the place of another request.
func (f *fleet) AllowRetry(service string, mayRun bool) sagerelay.RetryDecision {
	now := sageclock.Now()
	d := sagerelay.RetryDecision{Nodes: f.fleetSize(), SinceStart: now.Sub(f.startedAt)}
	noCapacity := mayRun && f.dividesCapacity(service) && !f.capacity.AllowSecondSend(now, service)
	f.exportRetries(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Usage = f.retryLimiter.Usage(now, service, d.Nodes)
	switch {
	case noCapacity:
		d.Denied = sagerelay.RetryNoCapacity
	case !f.retryLimiter.Allow(now, service, d.Nodes):
		d.Denied = sagerelay.RetryBudgetSpent
	}
	return d
}

// RecordFirstEvent implements [sagerelay.Fleet].
func (f *fleet) RecordFirstEvent(p *sagerelay.Pick, took time.Duration) {
	if p.UncachedTokens > 0 {
		f.latencies.of(p.Upstream.Service).prefill.Add(float64(p.UncachedTokens), took)
	}
}

// RecordServiceTime implements [sagerelay.Fleet].
func (f *fleet) RecordServiceTime(service string, took time.Duration) {
	f.latencies.of(service).serviceTime.Add(took)
}

// PrefillTime implements [sagerelay.Fleet].
func (f *fleet) PrefillTime(service string, tokens int) time.Duration {
	return sageclock.DurationOf(float64(tokens), f.latencies.of(service).prefill.Slope())
}

// RecordExchange implements [sagerelay.Fleet].
func (f *fleet) RecordExchange(u *sageupstream.Entry, res sagehealth.Result) {
	if (res == sagehealth.Broken || res == sagehealth.Stalled) && f.reach.State(u.Service) == sagereach.Lost {
		return // says nothing about the upstream
	}
	f.health.Record(sageclock.Now(), u.Service, u.ID, res)
}

// applyPeerReports passes on to the health tracker how many other nodes report broken exchanges with each
// upstream.
func (f *fleet) applyPeerReports(now sageclock.Instant) {
	set, table, loads := f.view.upstreams.Load(), f.view.table.Load(), f.inFlight.Sum(now)
	answered := f.answeredNodes.SumOthers(now)
	for id, nodes := range f.brokenNodes.SumOthers(now) {
		e := set.Get(id)
		if e == nil || answered[id] > 0 {
			continue // an upstream that answers some nodes may be out of reach of the others
		}
		load := 0
		if cachesPrompts(table, e.Service) {
			load = loads[id]
		}
		if f.health.RecordReports(now, e.Service, id, nodes, load) {
			f.view.log.Limited(sagelog.KindStateChange, "Upstream ejected on reports of other nodes.", "upstream", id, "service", e.Service, "nodes", nodes, "load", load)
		}
	}
}

// cachesPrompts reports whether the upstreams of a service cache prompts, so that ejecting one loses its cache.
func cachesPrompts(t *sageroute.Table, service string) bool {
	return t != nil && t.Services[service] != nil && t.Services[service].Engine
}

// RecordPrompt implements [sagerelay.Fleet].
func (f *fleet) RecordPrompt(u *sageupstream.Entry, c sagechain.Chain) {
	f.placer.Record(sageclock.Now(), u.ID, c)
}

// RecordLeaving implements [sagerelay.Fleet].
func (f *fleet) RecordLeaving(u *sageupstream.Entry) bool { return f.view.recordLeaving(u) }

// RecordPause implements [sagerelay.Fleet].
func (f *fleet) RecordPause(u *sageupstream.Entry, until sageclock.Instant) bool {
	return f.pauses.Pause(sageclock.Now(), u.Start(), until)
}

// PausedUntil implements [sagerelay.Fleet].
func (f *fleet) PausedUntil(service string) sageclock.Instant {
	now := sageclock.Now()
	var first sageclock.Instant
	for _, e := range f.view.upstreams.Load().Available(service) {
		until := f.pauses.PausedUntil(now, e.Start())
		if until == 0 {
			return 0
		}
		if first == 0 || until < first {
			first = until
		}
	}
	return first
}

// RecordMisdirected implements [sagerelay.Fleet].
func (f *fleet) RecordMisdirected(u *sageupstream.Entry) {
	f.health.Record(sageclock.Now(), u.Service, u.ID, sagehealth.Broken)
	f.placer.Forget(u.ID)
}
