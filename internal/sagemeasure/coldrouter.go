package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// coldRouter is one router of the cold measure with the real holdings, ledgers and ramps.
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
	// seen is the last report that reached this router, for the baselines.
	lastReports []sageload.Report
}

// Floor of the allotments of an engine, and the work after which it is set aside.
const (
	coldFloor     = 1
	coldWarmAfter = 100
)

// start starts the router's process anew; first says that it has no predecessor.
func (r *coldRouter) start(first bool) {
	w := r.sim
	r.incarnation++
	n := w.scenario.engines
	r.ownInFlight, r.shortfall, r.lastUrgentRequest = make([]int, n), make([]int, n), make([]time.Duration, n)
	r.ramps, r.lastReports = make([]sageload.Ramp, n), make([]sageload.Report, n)
	r.allotments, r.ledgers, r.live = nil, nil, nil
	now, holder := w.instant(), fmt.Sprintf("%s.%d", routerName(r.id), r.incarnation)
	var names []string
	for _, m := range w.roster {
		names = append(names, m.Name)
		r.live = append(r.live, true)
	}
	for i, e := range w.engines {
		h := &sageload.Allotment{Upstream: e.name, Holder: holder, Node: routerName(r.id), Voter: true, Limits: coldLimits,
			Guaranteed: sageload.GuaranteedShare(e.name, routerName(r.id), w.roster, coldFloor)}
		if !first {
			h.AbstainUntil = now.Add(coldLimits.PromiseDuration + coldLimits.PromiseDuration/10)
			h.GuaranteedFrom = now.Add(coldLimits.RequestLifetime + coldLimits.RequestLifetime/10)
		}
		r.allotments = append(r.allotments, h)
		r.ledgers = append(r.ledgers, &sageload.Ledger{Coordinator: holder, Voters: names, Limits: coldLimits, Floor: coldFloor, WarmAfterRequests: coldWarmAfter})
		r.ramps[i] = sageload.Ramp{InitialCap: 1, CompletionsPerUnit: completionsPerUnit}
	}
}

// round is one second of the router's control work.
func (r *coldRouter) runRound() {
	for i := range r.sim.engines {
		r.readReport(i)
		r.requestUnits(i)
	}
}

// probe reads a report that is as old as reports get, as home and for the baselines.
func (r *coldRouter) readReport(i int) {
	w, e, incarnation := r.sim, r.sim.engines[i], r.incarnation
	report, sent := e.report(), w.instant()
	w.after(coldReportLag, func() {
		if r.incarnation != incarnation || e.bootID() != report.BootID {
			return // the connection broke with the engine's process
		}
		r.lastReports[i] = report
		if r.coordinator(i) == r.id {
			r.ledgers[i].RecordReport(w.instant(), sent.Add(coldReportLag), report, r.ramps[i].Observe(report))
		}
	})
}

// home returns who this router takes for the engine's home.
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

// ask asks the home for units: what is in use, what was missed and one to spare.
func (r *coldRouter) requestUnits(i int) {
	w, h, incarnation := r.sim, r.allotments[i], r.incarnation
	to := w.routers[r.coordinator(i)]
	units := h.InUse() + r.shortfall[i] + 1
	want, ok := h.Request(w.instant(), routerName(to.id), units)
	r.shortfall[i] = 0
	if !ok {
		return
	}
	w.after(coldHopDelay, func() {
		if w.partitionSide[r.id] != w.partitionSide[to.id] {
			return
		}
		g := to.ledgers[i].HandleRequest(w.instant(), want)
		w.after(coldHopDelay, func() {
			if r.incarnation == incarnation && w.partitionSide[r.id] == w.partitionSide[to.id] {
				h.ApplyGrant(g)
			}
		})
	})
}

// hurry asks at once for a lacking unit, at most every 50 ms.
func (r *coldRouter) requestUnitsEarly(i int) {
	r.shortfall[i]++
	if r.sim.now-r.lastUrgentRequest[i] >= 50*time.Millisecond {
		r.lastUrgentRequest[i] = r.sim.now
		r.requestUnits(i)
	}
}

// pickAllotted takes the engine with more unused units of two, else any with one.
func pickAllotted(w *coldSimulation, r *coldRouter) int {
	now, n := w.instant(), len(w.engines)
	a, b := w.rand.IntN(n), w.rand.IntN(n)
	if r.allotments[b].Free(now) > r.allotments[a].Free(now) {
		a = b
	}
	for k := range n {
		i := (a + k) % n
		h := r.allotments[i]
		h.ObserveBoot(w.engines[i].bootID()) // the connection names its boot
		if h.Acquire(now) {
			return i
		}
		if k < 2 {
			r.requestUnitsEarly(i)
		}
	}
	return -1
}

// pickStaticShare has for each router a fixed part of the slots of every warm engine.
func pickStaticShare(w *coldSimulation, r *coldRouter) int {
	n, share := len(w.engines), max(engineSlots/len(w.routers), 1)
	first := w.rand.IntN(n)
	for k := range n {
		if i := (first + k) % n; r.ownInFlight[i] < share {
			return i
		}
	}
	return -1
}

// pickLeastLoaded takes the engine with the least load by reports and own requests.
func pickLeastLoaded(w *coldSimulation, r *coldRouter) int {
	best := w.rand.IntN(len(w.engines))
	for i := range w.engines {
		if r.load(i) < r.load(best) {
			best = i
		}
	}
	return r.unlessFull(best)
}

func pickTwoChoices(w *coldSimulation, r *coldRouter) int {
	a, b := w.rand.IntN(len(w.engines)), w.rand.IntN(len(w.engines))
	if r.load(b) < r.load(a) {
		a = b
	}
	return r.unlessFull(a)
}

// load is the estimated load of an engine relative to what it said it bears.
func (r *coldRouter) load(i int) float64 {
	return float64(max(r.lastReports[i].InFlight, r.ownInFlight[i])) / float64(max(r.lastReports[i].Capacity, 1))
}

// within refuses an engine that seems full.
func (r *coldRouter) unlessFull(i int) int {
	if r.lastReports[i].Capacity > 0 && r.load(i) >= 1 {
		return -1
	}
	return i
}
