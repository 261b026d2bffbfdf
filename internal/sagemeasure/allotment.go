package sagemeasure

import (
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// Timing of the allotment protocol in a replay.
const (
	requestInterval = 250 * time.Millisecond
	hopDelay        = 5 * time.Millisecond
)

// allotmentRule says how a replay uses allotments.
type allotmentRule struct {
	// meanMultiple limits the total that a coordinator grants, as a multiple of the mean load known to
	// it.
	meanMultiple float64
	// headroom is the number of units beyond those in use that a router holds in advance.
	headroom int
	// onDemand lets a router without a free unit request one from the coordinator when it needs it.
	onDemand bool
}

// allotments runs the ledgers and allotments of [sageload] in a replay. Each engine has one of the
// routers as its coordinator.
type allotments struct {
	p            *replay
	rule         allotmentRule
	coordinators []int
	ledgers      []*sageload.Ledger
	ramps        []sageload.Ramp
	// byRouter and grantable are indexed by router and engine. grantable is the number of units that
	// the coordinator could still grant at its last response.
	byRouter  [][]*sageload.Allotment
	grantable [][]int
	// onDemandRequests counts the requests for units made on demand.
	onDemandRequests int
}

func routerName(i int) string { return fmt.Sprint("router-", i) }

// startAllotments starts the allotments of all engines.
func (p *replay) startAllotments(rule allotmentRule) {
	n := len(p.routers)
	a := &allotments{p: p, rule: rule, ramps: make([]sageload.Ramp, len(p.engines))}
	p.allotments = a
	a.byRouter, a.grantable = make([][]*sageload.Allotment, n), make([][]int, n)
	var roster []sageload.Member
	var names []string
	for r := range n {
		names = append(names, routerName(r))
		roster = append(roster, sageload.Member{Name: names[r]})
		a.grantable[r] = make([]int, len(p.engines))
	}
	for i, e := range p.engines {
		coordinator, _ := sageload.Coordinator(e.name, "", roster)
		a.coordinators = append(a.coordinators, slices.Index(names, coordinator))
		a.ledgers = append(a.ledgers, &sageload.Ledger{Coordinator: coordinator + ".1", Voters: names, Limits: sageload.DefaultLimits})
		a.ramps[i] = sageload.Ramp{InitialCap: initialCapacity, CompletionsPerUnit: completionsPerUnit}
		p.every(p.randomPhase(requestInterval), requestInterval, func() { a.readReport(i, e) })
		for r := range n {
			h := &sageload.Allotment{Upstream: e.name, Holder: names[r] + ".1", Node: names[r], Voter: true, Limits: sageload.DefaultLimits}
			a.byRouter[r] = append(a.byRouter[r], h)
			p.every(p.randomPhase(requestInterval), requestInterval, func() { a.requestUnits(r, i) })
		}
	}
}

// randomPhase returns a random offset within a period d, so that periodic events don't run in step.
func (p *replay) randomPhase(d time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(d)))
}

// readReport lets the coordinator of an engine read the engine's last report.
func (a *allotments) readReport(i int, e *engine) {
	if !e.up {
		return
	}
	sent, last := a.p.instant(), e.lastReport
	a.p.after(hopDelay, func() {
		r := sageload.Report{
			BootID: fmt.Sprint(last.generation), InFlight: last.inFlight, Slots: e.slots, Capacity: capacityAfter(last.completed),
			CacheGeneration: last.generation, AsOf: epoch.Add(last.asOf), Completed: uint64(last.completed),
		}
		capacity := a.ramps[i].Observe(r)
		a.ledgers[i].RecordReport(a.p.instant(), sent, r, min(capacity, a.grantBound(i, capacity)))
	})
}

// grantBound returns the total that the coordinator of engine i may grant: the multiple of the mean
// load of the engines whose load it knows.
func (a *allotments) grantBound(i, engineCapacity int) int {
	coordinator := a.p.routers[a.coordinators[i]]
	totalLoad, totalCapacity := 1, 0
	for k, r := range coordinator.lastReports {
		if coordinator.candidates[k] && coordinator.estimates[k].Known(a.p.instant()) {
			totalLoad += r.inFlight
			totalCapacity += capacityAfter(r.completed)
		}
	}
	if totalCapacity == 0 {
		return engineCapacity
	}
	return loadLimit(a.rule.meanMultiple, totalLoad, totalCapacity, engineCapacity)
}

func (a *allotments) requestUnits(r, i int) {
	h := a.byRouter[r][i]
	h.Reserve = a.rule.headroom
	w, ok := h.Request(a.p.instant(), routerName(a.coordinators[i]), h.InUse()+a.rule.headroom)
	if !ok {
		return
	}
	a.p.after(hopDelay, func() {
		g := a.ledgers[i].HandleRequest(a.p.instant(), w)
		grantable := g.Cap - a.ledgers[i].Committed()
		a.p.after(hopDelay, func() {
			h.ApplyGrant(g)
			a.grantable[r][i] = grantable
			a.p.updateLoad(a.p.routers[r], i)
		})
	})
}

// acquire takes a unit for a job. The connection to the engine first reports the engine's boot.
func (a *allotments) acquire(j *job, i int) bool {
	h, now := a.byRouter[j.router.id][i], a.p.instant()
	h.ObserveBoot(fmt.Sprint(a.p.engines[i].generation))
	if h.Acquire(now) {
		return true
	}
	if !a.rule.onDemand {
		return false
	}
	h.Reserve = 0
	w, ok := h.Request(now, routerName(a.coordinators[i]), h.InUse()+1)
	if !ok {
		return false
	}
	a.onDemandRequests++
	h.ApplyGrant(a.ledgers[i].HandleRequest(now, w))
	h.ObserveBoot(fmt.Sprint(a.p.engines[i].generation)) // the coordinator may not know of a restart yet
	return h.Acquire(now)
}

func (a *allotments) release(j *job, i int) { a.byRouter[j.router.id][i].Release() }

// freeUnits returns the units that the router has free or may still get on demand.
func (a *allotments) freeUnits(r, i int) int {
	n := a.byRouter[r][i].Free(a.p.instant())
	if a.rule.onDemand {
		n = max(n, a.grantable[r][i])
	}
	return n
}
