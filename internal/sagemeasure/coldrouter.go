package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// coldRouter is one router of the cold-start measurement, with the allotments, ledgers and ramps of
// [sageload].
type coldRouter struct {
	id          int
	incarnation int
	sim         *coldSimulation

	live              []bool
	ownInFlight       []int
	allotments        []*sageload.Allotment
	ledgers           []*sageload.Ledger
	ramps             []sageload.Ramp
	shortfall         []int
	lastUrgentRequest []time.Duration
	// lastReports holds the last report received from each engine, for the baselines.
	lastReports []sageload.Report
}

// coldFloor is the sum of the guaranteed shares of an engine, coldWarmAfterRequests the number of
// completed requests after which it is reserved.
const (
	coldFloor             = 1
	coldWarmAfterRequests = 100
)

// start starts the router's process with empty state; first says that no process ran on this node
// before.
func (r *coldRouter) start(first bool) {
	sim := r.sim
	r.incarnation++
	n := sim.scenario.engines
	r.ownInFlight, r.shortfall, r.lastUrgentRequest = make([]int, n), make([]int, n), make([]time.Duration, n)
	r.ramps, r.lastReports = make([]sageload.Ramp, n), make([]sageload.Report, n)
	r.allotments, r.ledgers, r.live = nil, nil, nil
	now, holder := sim.instant(), fmt.Sprintf("%s.%d", routerName(r.id), r.incarnation)
	var names []string
	for _, m := range sim.roster {
		names = append(names, m.Name)
		r.live = append(r.live, true)
	}
	for i, e := range sim.engines {
		h := &sageload.Allotment{Upstream: e.name, Holder: holder, Node: routerName(r.id), Voter: true, Limits: coldLimits,
			Guaranteed: sageload.GuaranteedShare(e.name, routerName(r.id), sim.roster, coldFloor)}
		if !first {
			h.AbstainUntil = now.Add(coldLimits.PromiseDuration + coldLimits.PromiseDuration/10)
			h.GuaranteedFrom = now.Add(coldLimits.RequestLifetime + coldLimits.RequestLifetime/10)
		}
		r.allotments = append(r.allotments, h)
		r.ledgers = append(r.ledgers, &sageload.Ledger{Coordinator: holder, Voters: names, Limits: coldLimits, Floor: coldFloor, WarmAfterRequests: coldWarmAfterRequests})
		r.ramps[i] = sageload.Ramp{InitialCap: 1, CompletionsPerUnit: completionsPerUnit}
	}
}

// runRound performs the control work that the router does every second.
func (r *coldRouter) runRound() {
	for i := range r.sim.engines {
		r.readReport(i)
		r.requestUnits(i)
	}
}

// readReport reads an engine's report, which arrives after coldReportLag. The coordinator and the
// baselines use it.
func (r *coldRouter) readReport(i int) {
	sim, e, incarnation := r.sim, r.sim.engines[i], r.incarnation
	report, sent := e.report(), sim.instant()
	sim.after(coldReportLag, func() {
		if r.incarnation != incarnation || e.bootID() != report.BootID {
			return // the connection was lost when the engine's process ended
		}
		r.lastReports[i] = report
		if r.coordinator(i) == r.id {
			r.ledgers[i].RecordReport(sim.instant(), sent.Add(coldReportLag), report, r.ramps[i].Observe(report))
		}
	})
}

// coordinator returns the index of the router that this router considers the engine's coordinator.
func (r *coldRouter) coordinator(i int) int {
	best, index := "", -1
	var live []sageload.Member
	for k, ok := range r.live {
		if ok || k == r.id {
			live = append(live, r.sim.roster[k])
		}
	}
	best, _ = sageload.Coordinator(r.sim.engines[i].name, "", live)
	for k, m := range r.sim.roster {
		if m.Name == best {
			index = k
		}
	}
	return index
}

// requestUnits requests units from the coordinator: those in use, those that were lacking, and one in
// reserve.
func (r *coldRouter) requestUnits(i int) {
	sim, h, incarnation := r.sim, r.allotments[i], r.incarnation
	to := sim.routers[r.coordinator(i)]
	units := h.InUse() + r.shortfall[i] + 1
	want, ok := h.Request(sim.instant(), routerName(to.id), units)
	r.shortfall[i] = 0
	if !ok {
		return
	}
	sim.after(coldHopDelay, func() {
		if sim.partitionSide[r.id] != sim.partitionSide[to.id] {
			return
		}
		g := to.ledgers[i].HandleRequest(sim.instant(), want)
		sim.after(coldHopDelay, func() {
			if r.incarnation == incarnation && sim.partitionSide[r.id] == sim.partitionSide[to.id] {
				h.ApplyGrant(g)
			}
		})
	})
}

// requestUnitsEarly requests a lacking unit immediately, at most every 50 ms.
func (r *coldRouter) requestUnitsEarly(i int) {
	r.shortfall[i]++
	if r.sim.now-r.lastUrgentRequest[i] >= 50*time.Millisecond {
		r.lastUrgentRequest[i] = r.sim.now
		r.requestUnits(i)
	}
}

// pickAllotted takes the engine with more free units out of two random ones, or else any engine with a
// free unit.
func pickAllotted(sim *coldSimulation, r *coldRouter) int {
	now, n := sim.instant(), len(sim.engines)
	a, b := sim.rand.IntN(n), sim.rand.IntN(n)
	if r.allotments[b].Free(now) > r.allotments[a].Free(now) {
		a = b
	}
	for k := range n {
		i := (a + k) % n
		h := r.allotments[i]
		h.ObserveBoot(sim.engines[i].bootID()) // the connection reports the engine's boot
		if h.Acquire(now) {
			return i
		}
		if k < 2 {
			r.requestUnitsEarly(i)
		}
	}
	return -1
}

// pickStaticShare gives each router a fixed share of the slots of every engine.
func pickStaticShare(sim *coldSimulation, r *coldRouter) int {
	n, share := len(sim.engines), max(engineSlots/len(sim.routers), 1)
	first := sim.rand.IntN(n)
	for k := range n {
		if i := (first + k) % n; r.ownInFlight[i] < share {
			return i
		}
	}
	return -1
}

// pickLeastLoaded takes the engine with the least load by reports and the router's own requests.
func pickLeastLoaded(sim *coldSimulation, r *coldRouter) int {
	best := sim.rand.IntN(len(sim.engines))
	for i := range sim.engines {
		if r.load(i) < r.load(best) {
			best = i
		}
	}
	return r.unlessFull(best)
}

// pickTwoChoices takes the less loaded engine of two random ones.
func pickTwoChoices(sim *coldSimulation, r *coldRouter) int {
	a, b := sim.rand.IntN(len(sim.engines)), sim.rand.IntN(len(sim.engines))
	if r.load(b) < r.load(a) {
		a = b
	}
	return r.unlessFull(a)
}

// load returns the estimated load of an engine relative to its reported capacity.
func (r *coldRouter) load(i int) float64 {
	return float64(max(r.lastReports[i].InFlight, r.ownInFlight[i])) / float64(max(r.lastReports[i].Capacity, 1))
}

// unlessFull returns i, or -1 if the engine is at its reported capacity.
func (r *coldRouter) unlessFull(i int) int {
	if r.lastReports[i].Capacity > 0 && r.load(i) >= 1 {
		return -1
	}
	return i
}
