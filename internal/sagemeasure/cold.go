package sagemeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
)

// Parameters of the cold-start measurement. Engines restart without notice and have little capacity at
// first. Routers restart, are partitioned, and observe a change of the coordinator at different times.
const (
	coldDuration          = 3 * time.Minute
	coldWarmUp            = 30 * time.Second
	coldMeanService       = 1500 * time.Millisecond
	coldMaxService        = 20 * time.Second
	coldRoundInterval     = time.Second
	coldReportLag         = time.Second
	coldHopDelay          = 5 * time.Millisecond
	coldRestartInterval   = 15 * time.Second // between engine restarts
	coldFaultInterval     = 40 * time.Second // between router faults
	coldMaxDetectDelay    = 3 * time.Second  // until a router observes a fault of another
	coldPartitionDuration = 8 * time.Second
)

// coldLimits are the daemon's defaults.
var coldLimits = sageload.Limits{GrantDuration: 4 * time.Second, PromiseDuration: 4 * time.Second,
	RequestLifetime: coldMaxService, ReportLag: coldReportLag, MaxClockDrift: 0.005}

// coldScenario is a user's fleet under a load, which is a fraction of the capacity of its warm engines.
type coldScenario struct {
	name             string
	routers, engines int
	load             float64
	fault            coldFaultKind
}

// coldFaultKind is the fault that routers have in a scenario; engines restart in every scenario.
type coldFaultKind int

const (
	coldNoFault coldFaultKind = iota
	coldRouterReplaced
	coldPartitioned
)

// coldPolicy decides whether and where a router sends a request.
type coldPolicy struct {
	name string
	// pick returns the index of an engine, or -1 if the request is refused.
	pick func(sim *coldSimulation, r *coldRouter) int
	// enforcesBound says that the policy must keep the load within the capacity of each engine.
	enforcesBound bool
}

var coldPolicies = []coldPolicy{
	{name: "allotments", pick: pickAllotted, enforcesBound: true},
	{name: "static shares", pick: pickStaticShare},
	{name: "least loaded of lagging reports", pick: pickLeastLoaded},
	{name: "power of two choices", pick: pickTwoChoices},
}

// ColdStart measures how far the load of engines exceeds their capacity, above all just after a start,
// and what the bound costs in refusals and unused capacity.
func ColdStart(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, sc := range []coldScenario{
		{"trentvale, 60% load, VMs replaced", 8, 12, 0.6, coldRouterReplaced},
		{"trentvale, 60% load, routers well", 8, 12, 0.6, coldNoFault},
		{"haller, 60% load, partitions", 9, 18, 0.6, coldPartitioned},
		{"haller, 130% load, routers well", 9, 18, 1.3, coldNoFault},
	} {
		for _, p := range coldPolicies {
			sim := newColdSimulation(sc, p, seed)
			sim.runUntil(coldDuration)
			out = append(out, sim.samples()...)
		}
	}
	return out, nil
}

// coldSimulation is one run of a scenario under a policy.
type coldSimulation struct {
	clock

	rand          *rand.Rand
	scenario      coldScenario
	policy        coldPolicy
	engines       []*coldEngine
	routers       []*coldRouter
	roster        []sageload.Member
	partitionSide []int // side of the partition, by router

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
	sim := &coldSimulation{rand: rand.New(rand.NewPCG(seed, 11)), scenario: sc, policy: p, partitionSide: make([]int, sc.routers)}
	for i := range sc.engines {
		sim.engines = append(sim.engines, &coldEngine{name: fmt.Sprint("engine-", i), completed: 1000})
	}
	for i := range sc.routers {
		sim.roster = append(sim.roster, sageload.Member{Name: routerName(i)})
	}
	for i := range sc.routers {
		r := &coldRouter{id: i, sim: sim}
		r.start(true)
		sim.routers = append(sim.routers, r)
		sim.every(sim.randomPhase(coldRoundInterval), coldRoundInterval, r.runRound)
	}
	rate := sc.load * float64(sc.engines*engineSlots) / coldMeanService.Seconds()
	sim.scheduleArrival(rate)
	sim.after(coldWarmUp, func() { sim.every(0, 100*time.Millisecond, sim.sampleUse) })
	sim.after(coldWarmUp, func() { sim.every(coldRestartInterval, coldRestartInterval, sim.restartEngine) })
	switch sc.fault {
	case coldRouterReplaced:
		sim.after(coldWarmUp, func() { sim.every(coldFaultInterval, coldFaultInterval, sim.replaceRouter) })
	case coldPartitioned:
		sim.after(coldWarmUp, func() { sim.every(coldFaultInterval, coldFaultInterval, sim.partition) })
	}
	return sim
}

func (sim *coldSimulation) randomPhase(d time.Duration) time.Duration {
	return time.Duration(sim.rand.Int64N(int64(d)))
}

// scheduleArrival generates requests as a Poisson process, each at a random router.
func (sim *coldSimulation) scheduleArrival(rate float64) {
	sim.after(time.Duration(sim.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.handleRequest(sim.routers[sim.rand.IntN(len(sim.routers))])
		sim.scheduleArrival(rate)
	})
}

func (sim *coldSimulation) handleRequest(r *coldRouter) {
	counted := sim.now >= coldWarmUp
	if counted {
		sim.requests++
	}
	i := sim.policy.pick(sim, r)
	if i < 0 {
		if counted {
			sim.refused++
		}
		return
	}
	e, boot, incarnation := sim.engines[i], sim.engines[i].boot, r.incarnation
	e.inFlight++
	r.ownInFlight[i]++
	sim.observeLoad(e)
	d := min(time.Duration(sim.rand.ExpFloat64()*float64(coldMeanService)), coldMaxService)
	sim.after(d, func() {
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

// observeLoad records the load of an engine relative to its present capacity.
func (sim *coldSimulation) observeLoad(e *coldEngine) {
	if sim.now < coldWarmUp {
		return
	}
	ratio := float64(e.inFlight) / float64(e.capacity())
	sim.worstAny = max(sim.worstAny, ratio)
	if e.capacity() < engineSlots {
		sim.worstCold = max(sim.worstCold, ratio)
	}
}

// sampleUse adds the load and the capacity of all engines to the sums.
func (sim *coldSimulation) sampleUse() {
	for _, e := range sim.engines {
		sim.usedSum += float64(min(e.inFlight, e.capacity()))
		sim.capacitySum += float64(e.capacity())
	}
}

// restartEngine restarts a random engine, which loses its requests and starts cold.
func (sim *coldSimulation) restartEngine() {
	e := sim.engines[sim.rand.IntN(len(sim.engines))]
	e.boot++
	e.inFlight, e.completed = 0, 0
}

// replaceRouter replaces the VM of a random router. The requests that it sent continue at the engines.
func (sim *coldSimulation) replaceRouter() {
	r := sim.routers[sim.rand.IntN(len(sim.routers))]
	r.start(false)
	for _, o := range sim.routers {
		sim.after(sim.randomPhase(coldMaxDetectDelay), func() { o.live[r.id] = false })
		sim.after(coldMaxDetectDelay+sim.randomPhase(coldMaxDetectDelay), func() { o.live[r.id] = true })
	}
}

// partition splits the routers into two sides for coldPartitionDuration.
func (sim *coldSimulation) partition() {
	for i := range sim.partitionSide {
		sim.partitionSide[i] = sim.rand.IntN(2)
	}
	for i, a := range sim.routers {
		for k := range sim.routers {
			if sim.partitionSide[i] != sim.partitionSide[k] {
				sim.after(sim.randomPhase(coldMaxDetectDelay), func() { a.live[k] = false })
				sim.after(coldPartitionDuration+sim.randomPhase(coldMaxDetectDelay), func() { a.live[k] = true })
			}
		}
	}
	sim.after(coldPartitionDuration, func() { clear(sim.partitionSide) })
}

func (sim *coldSimulation) samples() []Sample {
	s := []Sample{
		{Metric: "greatest load of a starting engine / what it bears", Value: sim.worstCold},
		{Metric: "greatest load of any engine / what it bears", Value: sim.worstAny},
		{Metric: "refused", Unit: "%", Value: 100 * float64(sim.refused) / float64(sim.requests)},
		{Metric: "use of what engines bear", Unit: "%", Value: 100 * sim.usedSum / sim.capacitySum},
	}
	if sim.policy.enforcesBound {
		s[0].Target, s[1].Target = &Target{AtMost, 1}, &Target{AtMost, 1}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = sim.scenario.name, sim.policy.name
	}
	return s
}
