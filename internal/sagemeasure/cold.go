package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// Shape of the cold measure. Engines restart without notice and bear little at first; routers
// restart, are cut off from each other, and change their minds about homes at different times.
const (
	coldDuration          = 3 * time.Minute
	coldWarmUp            = 30 * time.Second
	coldMeanService       = 1500 * time.Millisecond
	coldMaxService        = 20 * time.Second
	coldRoundInterval     = time.Second
	coldReportLag         = time.Second
	coldHopDelay          = 5 * time.Millisecond
	coldRestartInterval   = 15 * time.Second // between restarts of engines
	coldFaultInterval     = 40 * time.Second // between faults of routers
	coldMaxDetectDelay    = 3 * time.Second  // until a router believes what happened to another
	coldPartitionDuration = 8 * time.Second
)

// coldLimits are the daemon's defaults.
var coldLimits = sageload.Limits{GrantDuration: 4 * time.Second, PromiseDuration: 4 * time.Second,
	RequestLifetime: coldMaxService, ReportLag: coldReportLag, MaxClockDrift: 0.005}

// coldScenario is a user's fleet at a load, as a part of what its warm engines bear.
type coldScenario struct {
	name             string
	routers, engines int
	load             float64
	fault            coldFaultKind
}

// coldFaultKind is what happens to routers in a scenario; engines restart in every one.
type coldFaultKind int

const (
	coldNoFault coldFaultKind = iota
	coldRouterReplaced
	coldPartitioned
)

// coldPolicy decides whether and where a router sends a request.
type coldPolicy struct {
	name string
	// pick returns an engine or -1; took is called when the request is sent.
	pick func(w *coldSimulation, r *coldRouter) int
	// hard says that the policy claims to keep the bound.
	enforcesBound bool
}

var coldPolicies = []coldPolicy{
	{name: "allotments", pick: pickAllotted, enforcesBound: true},
	{name: "static shares", pick: pickStaticShare},
	{name: "least loaded of lagging reports", pick: pickLeastLoaded},
	{name: "power of two choices", pick: pickTwoChoices},
}

// ColdStart measures how far engines are loaded beyond what they bear, above all just after a start, and
// what the bound costs in refusals and unused capacity.
func ColdStart(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, sc := range []coldScenario{
		{"trentvale, 60% load, VMs replaced", 8, 12, 0.6, coldRouterReplaced},
		{"trentvale, 60% load, routers well", 8, 12, 0.6, coldNoFault},
		{"haller, 60% load, partitions", 9, 18, 0.6, coldPartitioned},
		{"haller, 130% load, routers well", 9, 18, 1.3, coldNoFault},
	} {
		for _, p := range coldPolicies {
			w := newColdSimulation(sc, p, seed)
			w.runUntil(coldDuration)
			out = append(out, w.samples()...)
		}
	}
	return out, nil
}

// coldSimulation is one run.
type coldSimulation struct {
	clock

	rand          *rand.Rand
	scenario      coldScenario
	policy        coldPolicy
	engines       []*coldEngine
	routers       []*coldRouter
	roster        []sageload.Member
	partitionSide []int // of the partition, by router

	requests, refused    int
	worstCold, worstAny  float64
	usedSum, capacitySum float64 // sums of samples
}

type coldEngine struct {
	name      string
	boot      int
	inFlight  int
	completed int
}

func (e *coldEngine) bootID() string { return fmt.Sprint("boot-", e.boot) }

func (e *coldEngine) capacity() int { return capacityAfter(e.completed) }

func (e *coldEngine) report() sageload.Report {
	return sageload.Report{BootID: e.bootID(), InFlight: e.inFlight, Slots: engineSlots, Capacity: e.capacity(), Completed: uint64(e.completed)}
}

func newColdSimulation(sc coldScenario, p coldPolicy, seed uint64) *coldSimulation {
	w := &coldSimulation{rand: rand.New(rand.NewPCG(seed, 11)), scenario: sc, policy: p, partitionSide: make([]int, sc.routers)}
	for i := range sc.engines {
		w.engines = append(w.engines, &coldEngine{name: fmt.Sprint("engine-", i), completed: 1000})
	}
	for i := range sc.routers {
		w.roster = append(w.roster, sageload.Member{Name: routerName(i)})
	}
	for i := range sc.routers {
		r := &coldRouter{id: i, sim: w}
		r.start(true)
		w.routers = append(w.routers, r)
		w.every(w.randomPhase(coldRoundInterval), coldRoundInterval, r.runRound)
	}
	rate := sc.load * float64(sc.engines*engineSlots) / coldMeanService.Seconds()
	w.scheduleArrival(rate)
	w.after(coldWarmUp, func() { w.every(0, 100*time.Millisecond, w.sampleUse) })
	w.after(coldWarmUp, func() { w.every(coldRestartInterval, coldRestartInterval, w.restartEngine) })
	switch sc.fault {
	case coldRouterReplaced:
		w.after(coldWarmUp, func() { w.every(coldFaultInterval, coldFaultInterval, w.replaceRouter) })
	case coldPartitioned:
		w.after(coldWarmUp, func() { w.every(coldFaultInterval, coldFaultInterval, w.partition) })
	}
	return w
}

func (w *coldSimulation) randomPhase(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(d)))
}

// arrive makes requests come as a Poisson process at routers chosen at random.
func (w *coldSimulation) scheduleArrival(rate float64) {
	w.after(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		w.handleRequest(w.routers[w.rand.IntN(len(w.routers))])
		w.scheduleArrival(rate)
	})
}

func (w *coldSimulation) handleRequest(r *coldRouter) {
	counted := w.now >= coldWarmUp
	if counted {
		w.requests++
	}
	i := w.policy.pick(w, r)
	if i < 0 {
		if counted {
			w.refused++
		}
		return
	}
	e, boot, incarnation := w.engines[i], w.engines[i].boot, r.incarnation
	e.inFlight++
	r.ownInFlight[i]++
	w.observeLoad(e)
	d := min(time.Duration(w.rand.ExpFloat64()*float64(coldMeanService)), coldMaxService)
	w.after(d, func() {
		if e.boot == boot {
			e.inFlight--
			e.completed++
		}
		if r.incarnation == incarnation {
			r.ownInFlight[i]--
			r.allotments[i].Release()
		}
	})
}

// look compares an engine's load with what it bears at this moment.
func (w *coldSimulation) observeLoad(e *coldEngine) {
	if w.now < coldWarmUp {
		return
	}
	ratio := float64(e.inFlight) / float64(e.capacity())
	w.worstAny = max(w.worstAny, ratio)
	if e.capacity() < engineSlots {
		w.worstCold = max(w.worstCold, ratio)
	}
}

func (w *coldSimulation) sampleUse() {
	for _, e := range w.engines {
		w.usedSum += float64(min(e.inFlight, e.capacity()))
		w.capacitySum += float64(e.capacity())
	}
}

// restart restarts an engine cold; its requests are lost with it.
func (w *coldSimulation) restartEngine() {
	e := w.engines[w.rand.IntN(len(w.engines))]
	e.boot++
	e.inFlight, e.completed = 0, 0
}

// replace replaces the VM of a router, whose requests run on at the engines.
func (w *coldSimulation) replaceRouter() {
	r := w.routers[w.rand.IntN(len(w.routers))]
	r.start(false)
	for _, o := range w.routers {
		w.after(w.randomPhase(coldMaxDetectDelay), func() { o.live[r.id] = false })
		w.after(coldMaxDetectDelay+w.randomPhase(coldMaxDetectDelay), func() { o.live[r.id] = true })
	}
}

// split cuts the routers into two sides for a while.
func (w *coldSimulation) partition() {
	for i := range w.partitionSide {
		w.partitionSide[i] = w.rand.IntN(2)
	}
	for i, a := range w.routers {
		for k := range w.routers {
			if w.partitionSide[i] != w.partitionSide[k] {
				w.after(w.randomPhase(coldMaxDetectDelay), func() { a.live[k] = false })
				w.after(coldPartitionDuration+w.randomPhase(coldMaxDetectDelay), func() { a.live[k] = true })
			}
		}
	}
	w.after(coldPartitionDuration, func() { clear(w.partitionSide) })
}

func (w *coldSimulation) samples() []Sample {
	s := []Sample{
		{Metric: "greatest load of a starting engine / what it bears", Value: w.worstCold},
		{Metric: "greatest load of any engine / what it bears", Value: w.worstAny},
		{Metric: "refused", Unit: "%", Value: 100 * float64(w.refused) / float64(w.requests)},
		{Metric: "use of what engines bear", Unit: "%", Value: 100 * w.usedSum / w.capacitySum},
	}
	if w.policy.enforcesBound {
		s[0].Target, s[1].Target = &Target{AtMost, 1}, &Target{AtMost, 1}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = w.scenario.name, w.policy.name
	}
	return s
}
