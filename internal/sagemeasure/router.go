package sagemeasure

import (
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

// router is one entry VM: what it believes, and its decision code.
type router struct {
	id     int
	sees   []bool
	table  *sageplace.Table
	at     []int // engine of each place in the table
	loads  *sageplace.Loads
	policy sageplace.Policy
	memory *sageplace.PrefixLocations
	own    []int
	last   []report
	// estimates are the real ones of the daemon, one an engine.
	estimates []sageload.Estimate
}

// report is an engine's word on its load.
type report struct {
	inFlight, completed int
	generation          uint64
	asOf                time.Duration
}

// boot gives a router a new process: it forgets what it remembered.
func (p *replay) boot(r *router) {
	r.policy = p.variant.policy(p)
	r.memory = sageplace.NewPrefixLocations(1 << 14)
	p.rebuild(r)
}

// rebuild makes the router's table from what it believes of the engines.
func (p *replay) rebuild(r *router) {
	var ups []sageplace.Upstream
	r.at = r.at[:0]
	for i, e := range p.engines {
		if r.sees[i] {
			ups = append(ups, sageplace.Upstream{Name: e.name, Weight: e.slots})
			r.at = append(r.at, i)
		}
	}
	r.table = sageplace.NewTable(ups)
	r.loads = sageplace.NewLoads(len(ups))
	r.loads.Refresh(func(i int) sageplace.Load { return p.load(r, r.at[i]) })
}

// load is the router's belief of an engine, by its last report and own requests since.
func (p *replay) load(r *router, i int) sageplace.Load {
	last, free := r.last[i], engineSlots
	if p.allotments != nil {
		free = p.allotments.free(r.id, i)
	}
	return sageplace.Load{
		InFlight: r.estimates[i].InFlight(),
		Cap:      bears(last.completed), Free: free,
		Known: r.estimates[i].Known(p.instant()), CacheGeneration: last.generation,
	}
}

func (p *replay) report(i int, e *engine) {
	if !e.up {
		return
	}
	rep := report{inFlight: e.inFlight(), completed: e.completed, generation: e.generation, asOf: p.now}
	e.last = rep
	for _, r := range p.routers {
		delay := p.variant.feed.delay/10 + time.Duration(p.rand.Int64N(int64(p.variant.feed.delay*9/10)))
		p.after(delay, func() { p.hear(r, i, rep) })
	}
}

func (p *replay) hear(r *router, i int, rep report) {
	if rep.asOf < r.last[i].asOf {
		return
	}
	r.last[i] = rep
	r.estimates[i].Observe(p.instant(), sageload.Report{
		BootID: fmt.Sprint(rep.generation), InFlight: rep.inFlight, AsOf: epoch.Add(rep.asOf),
	})
	p.update(r, i)
	p.after(silentAfter, func() { p.update(r, i) })
}

func (p *replay) update(r *router, i int) {
	if k := slices.Index(r.at, i); k >= 0 {
		r.loads.Set(k, p.load(r, i))
	}
}

// see tells a router, after a delay of its own, that an engine is a candidate or none.
func (p *replay) see(r *router, i int, candidate bool, delay time.Duration) {
	p.after(delay, func() {
		if r.sees[i] != candidate {
			r.sees[i] = candidate
			// A new one is unknown, and cold.
			r.last[i], r.estimates[i] = report{}, sageload.Estimate{MaxReportAge: silentAfter}
			for range r.own[i] {
				r.estimates[i].RecordDispatch()
			}
			p.rebuild(r)
		}
	})
}

// announce tells all routers, each after a delay up to changeDelay.
func (p *replay) announce(i int, candidate bool) {
	for _, r := range p.routers {
		p.see(r, i, candidate, time.Duration(p.rand.Int64N(int64(changeDelay))))
	}
}

// count corrects what the router knows of an engine by n own requests.
func (p *replay) count(r *router, i, n int) {
	r.own[i] += n
	if n > 0 {
		r.estimates[i].RecordDispatch()
	} else {
		r.estimates[i].RecordEnd()
	}
	p.update(r, i)
}
