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
	coldTime      = 3 * time.Minute
	coldWarmUp    = 30 * time.Second
	coldService   = 1500 * time.Millisecond
	coldLongest   = 20 * time.Second
	coldProbe     = time.Second
	coldLag       = time.Second
	coldHop       = 5 * time.Millisecond
	coldRestart   = 15 * time.Second // between restarts of engines
	coldFault     = 40 * time.Second // between faults of routers
	coldBelieve   = 3 * time.Second  // until a router believes what happened to another
	coldPartition = 8 * time.Second
)

// coldLimits are the daemon's defaults.
var coldLimits = sageload.Limits{GrantDuration: 4 * time.Second, PromiseDuration: 4 * time.Second,
	RequestLifetime: coldLongest, ReportLag: coldLag, MaxClockDrift: 0.005}

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
	coldReplaced
	coldSplit
)

// coldPolicy decides whether and where a router sends a request.
type coldPolicy struct {
	name string
	// pick returns an engine or -1; took is called when the request is sent.
	pick func(w *coldWorld, r *coldRouter) int
	// hard says that the policy claims to keep the bound.
	hard bool
}

var coldPolicies = []coldPolicy{
	{name: "allotments", pick: pickAllotted, hard: true},
	{name: "static shares", pick: pickStatic},
	{name: "least loaded of lagging reports", pick: pickLeast},
	{name: "power of two choices", pick: pickTwo},
}

// ColdStart measures how far engines are loaded beyond what they bear, above all just after a start, and
// what the bound costs in refusals and unused capacity.
func ColdStart(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, sc := range []coldScenario{
		{"trentvale, 60% load, VMs replaced", 8, 12, 0.6, coldReplaced},
		{"trentvale, 60% load, routers well", 8, 12, 0.6, coldNoFault},
		{"haller, 60% load, partitions", 9, 18, 0.6, coldSplit},
		{"haller, 130% load, routers well", 9, 18, 1.3, coldNoFault},
	} {
		for _, p := range coldPolicies {
			w := newColdWorld(sc, p, seed)
			w.runUntil(coldTime)
			out = append(out, w.samples()...)
		}
	}
	return out, nil
}

// coldWorld is one run.
type coldWorld struct {
	clock

	rand    *rand.Rand
	sc      coldScenario
	policy  coldPolicy
	engines []*coldEngine
	routers []*coldRouter
	roster  []sageload.Member
	side    []int // of the partition, by router

	asked, refused      int
	worstCold, worstAny float64
	used, bore          float64 // sums of samples
}

type coldEngine struct {
	name      string
	boot      int
	inFlight  int
	completed int
}

func (e *coldEngine) bootID() string { return fmt.Sprint("boot-", e.boot) }

func (e *coldEngine) bears() int { return bears(e.completed) }

func (e *coldEngine) report() sageload.Report {
	return sageload.Report{BootID: e.bootID(), InFlight: e.inFlight, Slots: engineSlots, Capacity: e.bears(), Completed: uint64(e.completed)}
}

func newColdWorld(sc coldScenario, p coldPolicy, seed uint64) *coldWorld {
	w := &coldWorld{rand: rand.New(rand.NewPCG(seed, 11)), sc: sc, policy: p, side: make([]int, sc.routers)}
	for i := range sc.engines {
		w.engines = append(w.engines, &coldEngine{name: fmt.Sprint("engine-", i), completed: 1000})
	}
	for i := range sc.routers {
		w.roster = append(w.roster, sageload.Member{Name: routerName(i)})
	}
	for i := range sc.routers {
		r := &coldRouter{id: i, w: w}
		r.start(true)
		w.routers = append(w.routers, r)
		w.every(w.phase(coldProbe), coldProbe, r.round)
	}
	rate := sc.load * float64(sc.engines*engineSlots) / coldService.Seconds()
	w.arrive(rate)
	w.after(coldWarmUp, func() { w.every(0, 100*time.Millisecond, w.sample) })
	w.after(coldWarmUp, func() { w.every(coldRestart, coldRestart, w.restart) })
	switch sc.fault {
	case coldReplaced:
		w.after(coldWarmUp, func() { w.every(coldFault, coldFault, w.replace) })
	case coldSplit:
		w.after(coldWarmUp, func() { w.every(coldFault, coldFault, w.split) })
	}
	return w
}

func (w *coldWorld) phase(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(d)))
}

// arrive makes requests come as a Poisson process at routers chosen at random.
func (w *coldWorld) arrive(rate float64) {
	w.after(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		w.request(w.routers[w.rand.IntN(len(w.routers))])
		w.arrive(rate)
	})
}

func (w *coldWorld) request(r *coldRouter) {
	counted := w.now >= coldWarmUp
	if counted {
		w.asked++
	}
	i := w.policy.pick(w, r)
	if i < 0 {
		if counted {
			w.refused++
		}
		return
	}
	e, boot, life := w.engines[i], w.engines[i].boot, r.life
	e.inFlight++
	r.own[i]++
	w.look(e)
	d := min(time.Duration(w.rand.ExpFloat64()*float64(coldService)), coldLongest)
	w.after(d, func() {
		if e.boot == boot {
			e.inFlight--
			e.completed++
		}
		if r.life == life {
			r.own[i]--
			r.holdings[i].Release()
		}
	})
}

// look compares an engine's load with what it bears at this moment.
func (w *coldWorld) look(e *coldEngine) {
	if w.now < coldWarmUp {
		return
	}
	ratio := float64(e.inFlight) / float64(e.bears())
	w.worstAny = max(w.worstAny, ratio)
	if e.bears() < engineSlots {
		w.worstCold = max(w.worstCold, ratio)
	}
}

func (w *coldWorld) sample() {
	for _, e := range w.engines {
		w.used += float64(min(e.inFlight, e.bears()))
		w.bore += float64(e.bears())
	}
}

// restart restarts an engine cold; its requests are lost with it.
func (w *coldWorld) restart() {
	e := w.engines[w.rand.IntN(len(w.engines))]
	e.boot++
	e.inFlight, e.completed = 0, 0
}

// replace replaces the VM of a router, whose requests run on at the engines.
func (w *coldWorld) replace() {
	r := w.routers[w.rand.IntN(len(w.routers))]
	r.start(false)
	for _, o := range w.routers {
		w.after(w.phase(coldBelieve), func() { o.live[r.id] = false })
		w.after(coldBelieve+w.phase(coldBelieve), func() { o.live[r.id] = true })
	}
}

// split cuts the routers into two sides for a while.
func (w *coldWorld) split() {
	for i := range w.side {
		w.side[i] = w.rand.IntN(2)
	}
	for i, a := range w.routers {
		for k := range w.routers {
			if w.side[i] != w.side[k] {
				w.after(w.phase(coldBelieve), func() { a.live[k] = false })
				w.after(coldPartition+w.phase(coldBelieve), func() { a.live[k] = true })
			}
		}
	}
	w.after(coldPartition, func() { clear(w.side) })
}

func (w *coldWorld) samples() []Sample {
	s := []Sample{
		{Metric: "greatest load of a starting engine / what it bears", Value: w.worstCold},
		{Metric: "greatest load of any engine / what it bears", Value: w.worstAny},
		{Metric: "refused", Unit: "%", Value: 100 * float64(w.refused) / float64(w.asked)},
		{Metric: "use of what engines bear", Unit: "%", Value: 100 * w.used / w.bore},
	}
	if w.policy.hard {
		s[0].Target, s[1].Target = &Target{AtMost, 1}, &Target{AtMost, 1}
	}
	for i := range s {
		s[i].Scenario, s[i].Policy = w.sc.name, w.policy.name
	}
	return s
}
