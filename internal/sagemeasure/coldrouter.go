package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// coldRouter is one router of the cold measure with the real holdings, ledgers and ramps.
type coldRouter struct {
	id   int
	life int
	w    *coldWorld

	live     []bool
	own      []int
	holdings []*sageload.Allotment
	ledgers  []*sageload.Ledger
	ramps    []sageload.Ramp
	missed   []int
	hurried  []time.Duration
	// seen is the last report that reached this router, for the baselines.
	seen []sageload.Report
}

// Floor of the allotments of an engine, and the work after which it is set aside.
const (
	coldFloor     = 1
	coldWarmAfter = 100
)

// start starts the router's process anew; first says that it has no predecessor.
func (r *coldRouter) start(first bool) {
	w := r.w
	r.life++
	n := w.sc.engines
	r.own, r.missed, r.hurried = make([]int, n), make([]int, n), make([]time.Duration, n)
	r.ramps, r.seen = make([]sageload.Ramp, n), make([]sageload.Report, n)
	r.holdings, r.ledgers, r.live = nil, nil, nil
	now, process := w.instant(), fmt.Sprintf("%s.%d", routerName(r.id), r.life)
	var names []string
	for _, m := range w.roster {
		names = append(names, m.Name)
		r.live = append(r.live, true)
	}
	for i, e := range w.engines {
		h := &sageload.Allotment{Upstream: e.name, Holder: process, Node: routerName(r.id), Voter: true, Limits: coldLimits,
			Guaranteed: sageload.GuaranteedShare(e.name, routerName(r.id), w.roster, coldFloor)}
		if !first {
			h.AbstainUntil = now.Add(coldLimits.PromiseDuration + coldLimits.PromiseDuration/10)
			h.GuaranteedFrom = now.Add(coldLimits.RequestLifetime + coldLimits.RequestLifetime/10)
		}
		r.holdings = append(r.holdings, h)
		r.ledgers = append(r.ledgers, &sageload.Ledger{Coordinator: process, Voters: names, Limits: coldLimits, Floor: coldFloor, WarmAfterRequests: coldWarmAfter})
		r.ramps[i] = sageload.Ramp{InitialCap: 1, CompletionsPerUnit: rampWork}
	}
}

// round is one second of the router's control work.
func (r *coldRouter) round() {
	for i := range r.w.engines {
		r.probe(i)
		r.ask(i)
	}
}

// probe reads a report that is as old as reports get, as home and for the baselines.
func (r *coldRouter) probe(i int) {
	w, e, life := r.w, r.w.engines[i], r.life
	rep, sent := e.report(), w.instant()
	w.after(coldLag, func() {
		if r.life != life || e.bootID() != rep.BootID {
			return // the connection broke with the engine's process
		}
		r.seen[i] = rep
		if r.home(i) == r.id {
			r.ledgers[i].RecordReport(w.instant(), sent.Add(coldLag), rep, r.ramps[i].Observe(rep))
		}
	})
}

// home returns who this router takes for the engine's home.
func (r *coldRouter) home(i int) int {
	best, id := "", -1
	var in []sageload.Member
	for k, ok := range r.live {
		if ok || k == r.id {
			in = append(in, r.w.roster[k])
		}
	}
	best, _ = sageload.Coordinator(r.w.engines[i].name, "", in)
	for k, m := range r.w.roster {
		if m.Name == best {
			id = k
		}
	}
	return id
}

// ask asks the home for units: what is in use, what was missed and one to spare.
func (r *coldRouter) ask(i int) {
	w, h, life := r.w, r.holdings[i], r.life
	to := w.routers[r.home(i)]
	units := h.InUse() + r.missed[i] + 1
	want, ok := h.Request(w.instant(), routerName(to.id), units)
	r.missed[i] = 0
	if !ok {
		return
	}
	w.after(coldHop, func() {
		if w.side[r.id] != w.side[to.id] {
			return
		}
		g := to.ledgers[i].HandleRequest(w.instant(), want)
		w.after(coldHop, func() {
			if r.life == life && w.side[r.id] == w.side[to.id] {
				h.ApplyGrant(g)
			}
		})
	})
}

// hurry asks at once for a lacking unit, at most every 50 ms.
func (r *coldRouter) hurry(i int) {
	r.missed[i]++
	if r.w.now-r.hurried[i] >= 50*time.Millisecond {
		r.hurried[i] = r.w.now
		r.ask(i)
	}
}

// pickAllotted takes the engine with more unused units of two, else any with one.
func pickAllotted(w *coldWorld, r *coldRouter) int {
	now, n := w.instant(), len(w.engines)
	a, b := w.rand.IntN(n), w.rand.IntN(n)
	if r.holdings[b].Free(now) > r.holdings[a].Free(now) {
		a = b
	}
	for k := range n {
		i := (a + k) % n
		h := r.holdings[i]
		h.ObserveBoot(w.engines[i].bootID()) // the connection names its boot
		if h.Acquire(now) {
			return i
		}
		if k < 2 {
			r.hurry(i)
		}
	}
	return -1
}

// pickStatic has for each router a fixed part of the slots of every warm engine.
func pickStatic(w *coldWorld, r *coldRouter) int {
	n, part := len(w.engines), max(engineSlots/len(w.routers), 1)
	first := w.rand.IntN(n)
	for k := range n {
		if i := (first + k) % n; r.own[i] < part {
			return i
		}
	}
	return -1
}

// pickLeast takes the engine with the least load by reports and own requests.
func pickLeast(w *coldWorld, r *coldRouter) int {
	best := w.rand.IntN(len(w.engines))
	for i := range w.engines {
		if r.load(i) < r.load(best) {
			best = i
		}
	}
	return r.within(best)
}

func pickTwo(w *coldWorld, r *coldRouter) int {
	a, b := w.rand.IntN(len(w.engines)), w.rand.IntN(len(w.engines))
	if r.load(b) < r.load(a) {
		a = b
	}
	return r.within(a)
}

// load is the estimated load of an engine relative to what it said it bears.
func (r *coldRouter) load(i int) float64 {
	return float64(max(r.seen[i].InFlight, r.own[i])) / float64(max(r.seen[i].Capacity, 1))
}

// within refuses an engine that seems full.
func (r *coldRouter) within(i int) int {
	if r.seen[i].Capacity > 0 && r.load(i) >= 1 {
		return -1
	}
	return i
}
