package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

// Timing of a replay, and how its requests reach the routers.
const (
	maxReportAge   = 3 * time.Second
	maxChangeDelay = 4 * time.Second // maximum time until a router observes a change
	maxAttempts    = 4
	tokenTTL       = 30 * time.Minute
	// A request that only lacks an allotment unit waits for one, as in the daemon.
	unitWait          = 2 * time.Second
	unitRetryInterval = 50 * time.Millisecond
	// strayRate is the fraction of requests that reach a router other than the one that serves the
	// chat.
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
	// inService reports which data centres operators have in service.
	inService []bool
	// allotments is nil for variants without allotments.
	allotments *allotments
}

// loadFeed describes how routers receive the loads of engines: the period of the reports and their
// maximum delay. The minimum delay is a tenth of the maximum.
type loadFeed struct{ period, maxDelay time.Duration }

var (
	// reportFeed are the engines' own reports, which lag.
	reportFeed = loadFeed{500 * time.Millisecond, 900 * time.Millisecond}
	// countFeed are the counts of requests in flight that routers send to the coordinator of an engine
	// with their requests for allotments.
	countFeed = loadFeed{250 * time.Millisecond, 250 * time.Millisecond}
)

// newReplay returns a replay whose events are scheduled but not run.
func newReplay(s site, v variant, trace []request, seed uint64) *replay {
	if v.loadFeed.period == 0 {
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
		p.every(p.randomPhase(v.loadFeed.period), v.loadFeed.period, func() { p.sendReports(i, e) })
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

// arrive sends a request to the router of its chat or, for a fraction strayRate, to a random router.
func (p *replay) arrive(q *request) {
	n := q.chat % uint64(len(p.routers))
	if p.rand.Float64() < strayRate {
		n = uint64(p.rand.IntN(len(p.routers)))
	}
	p.dispatch(&job{request: q, router: p.routers[n]})
}

// dispatch asks the placement policy for engines until one takes the job. An engine without a free unit
// is skipped for this dispatch; only an engine that is down counts as an attempt.
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

// canWaitForUnit reports whether the job may wait for a unit: as in the daemon, it may while some
// upstream has capacity and only the router's allotment is used up.
func (p *replay) canWaitForUnit(j *job) bool {
	r := j.router
	if p.allotments == nil || p.now >= j.at+unitWait {
		return false
	}
	c := r.policy.Choose(p.instant(), r.table, r.loads.WithFreeUnits(), p.placementQuery(j, j.tried))
	return c.Index >= 0
}

// placementQuery returns the query for a job, without the skipped engines.
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

// chooseEngine returns the index of the engine that the router's policy chooses, or -1 and the reason.
func (p *replay) chooseEngine(j *job, skipped []int) (int, sageplace.Reason) {
	r := j.router
	c := r.policy.Choose(p.instant(), r.table, r.loads, p.placementQuery(j, skipped))
	if _, isOracle := r.policy.(*oraclePolicy); isOracle || c.Index < 0 {
		return c.Index, c.Reason
	}
	return r.tableEngines[c.Index], c.Reason
}

// location returns the engine that is expected to hold the chat's prefix, by the placement token or
// else by the router's memory.
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

// jobEnded records the end of a job at its engine. A lost job is dispatched again, because it is
// idempotent.
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
		completed: true, endedAt: p.now, cachedTokens: j.cachedTokens, engine: j.engine, started: j.started, attempts: len(j.tried) + 1,
	}
	location := sageplace.Location{Upstream: sageplace.Key(j.engine.name), Generation: j.engine.generation}
	if p.variant.token {
		p.tokens[j.chat] = p.signer.Sign("", j.chatName, location, p.instant().Add(tokenTTL))
	}
	if p.variant.routerMemory {
		r.locations.RecordStored(j.chat, location.Upstream, location.Generation)
	}
}
