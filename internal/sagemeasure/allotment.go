package sagemeasure

import (
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// How routers and homes talk about allotments in a replay.
const (
	askEvery = 250 * time.Millisecond
	hopDelay = 5 * time.Millisecond
)

// allotRule says how the allotments of a replay are used.
type allotRule struct {
	// multiple bounds what a home grants in all, as a multiple of the mean load that it knows of.
	multiple float64
	// headroom is the number of units beyond those in use that a router holds in advance.
	headroom int
	// onDemand lets a router without an unused unit ask the home for one when it needs it.
	onDemand bool
}

// allotments runs the real ledgers and holdings of [sageload] in a replay. Each engine has a home
// among the routers.
type allotments struct {
	p       *replay
	rule    allotRule
	homes   []int
	ledgers []*sageload.Ledger
	ramps   []sageload.Ramp
	// holdings and left are by router and engine; left is what the home last said that it could
	// still grant.
	holdings [][]*sageload.Allotment
	left     [][]int
	// asked counts the asks on demand.
	asked int
}

func routerName(i int) string { return fmt.Sprint("router-", i) }

// allot starts the allotments of all engines.
func (p *replay) allot(rule allotRule) {
	n := len(p.routers)
	a := &allotments{p: p, rule: rule, ramps: make([]sageload.Ramp, len(p.engines))}
	p.allotments = a
	a.holdings, a.left = make([][]*sageload.Allotment, n), make([][]int, n)
	var roster []sageload.Member
	var names []string
	for r := range n {
		names = append(names, routerName(r))
		roster = append(roster, sageload.Member{Name: names[r]})
		a.left[r] = make([]int, len(p.engines))
	}
	for i, e := range p.engines {
		home, _ := sageload.Coordinator(e.name, "", roster)
		a.homes = append(a.homes, slices.Index(names, home))
		a.ledgers = append(a.ledgers, &sageload.Ledger{Coordinator: home + ".1", Voters: names, Limits: sageload.DefaultLimits})
		a.ramps[i] = sageload.Ramp{InitialCap: coldStart, CompletionsPerUnit: rampWork}
		p.every(p.phase(askEvery), askEvery, func() { a.probe(i, e) })
		for r := range n {
			h := &sageload.Allotment{Upstream: e.name, Holder: names[r] + ".1", Node: names[r], Voter: true, Limits: sageload.DefaultLimits}
			a.holdings[r] = append(a.holdings[r], h)
			p.every(p.phase(askEvery), askEvery, func() { a.ask(r, i) })
		}
	}
}

func (p *replay) phase(d time.Duration) time.Duration { return time.Duration(p.rand.Int64N(int64(d))) }

// probe lets the home of an engine read its last report.
func (a *allotments) probe(i int, e *engine) {
	if !e.up {
		return
	}
	sent, last := a.p.instant(), e.last
	a.p.after(hopDelay, func() {
		r := sageload.Report{
			BootID: fmt.Sprint(last.generation), InFlight: last.inFlight, Slots: e.slots, Capacity: bears(last.completed),
			CacheGeneration: last.generation, AsOf: epoch.Add(last.asOf), Completed: uint64(last.completed),
		}
		bears := a.ramps[i].Observe(r)
		a.ledgers[i].RecordReport(a.p.instant(), sent, r, min(bears, a.bound(i, bears)))
	})
}

// bound returns the multiple of the mean that the home of engine i may grant by what it knows.
func (a *allotments) bound(i, engineBears int) int {
	home := a.p.routers[a.homes[i]]
	total, capacity := 1, 0
	for k, r := range home.last {
		if home.sees[k] && home.estimates[k].Known(a.p.instant()) {
			total += r.inFlight
			capacity += bears(r.completed)
		}
	}
	if capacity == 0 {
		return engineBears
	}
	return ceiling(a.rule.multiple, total, capacity, engineBears)
}

func (a *allotments) ask(r, i int) {
	h := a.holdings[r][i]
	h.Reserve = a.rule.headroom
	w, ok := h.Request(a.p.instant(), routerName(a.homes[i]), h.InUse()+a.rule.headroom)
	if !ok {
		return
	}
	a.p.after(hopDelay, func() {
		g := a.ledgers[i].HandleRequest(a.p.instant(), w)
		left := g.Cap - a.ledgers[i].Committed()
		a.p.after(hopDelay, func() {
			h.ApplyGrant(g)
			a.left[r][i] = left
			a.p.update(a.p.routers[r], i)
		})
	})
}

// acquire takes a unit for a job. The connection to the engine tells its boot first.
func (a *allotments) acquire(j *job, i int) bool {
	h, now := a.holdings[j.router.id][i], a.p.instant()
	h.ObserveBoot(fmt.Sprint(a.p.engines[i].generation))
	if h.Acquire(now) {
		return true
	}
	if !a.rule.onDemand {
		return false
	}
	h.Reserve = 0
	w, ok := h.Request(now, routerName(a.homes[i]), h.InUse()+1)
	if !ok {
		return false
	}
	a.asked++
	h.ApplyGrant(a.ledgers[i].HandleRequest(now, w))
	h.ObserveBoot(fmt.Sprint(a.p.engines[i].generation)) // the home may not know of a restart yet
	return h.Acquire(now)
}

func (a *allotments) release(j *job, i int) { a.holdings[j.router.id][i].Release() }

// free returns the units that the router can hope for.
func (a *allotments) free(r, i int) int {
	n := a.holdings[r][i].Free(a.p.instant())
	if a.rule.onDemand {
		n = max(n, a.left[r][i])
	}
	return n
}
