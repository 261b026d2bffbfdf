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
	id           int
	candidates   []bool
	table        *sageplace.Table
	tableEngines []int // engine of each place in the table
	loads        *sageplace.Loads
	policy       sageplace.Policy
	locations    *sageplace.PrefixLocations
	ownInFlight  []int
	lastReports  []loadReport
	// estimatesOnly are the real ones of the daemon, one an engine.
	estimates []sageload.Estimate
}

// loadReport is an engine's word on its load.
type loadReport struct {
	inFlight, completed int
	generation          uint64
	asOf                time.Duration
}

// boot gives a router a new process: it forgets what it remembered.
func (p *replay) startRouter(r *router) {
	r.policy = p.variant.policy(p)
	r.locations = sageplace.NewPrefixLocations(1 << 14)
	p.rebuildTable(r)
}

// rebuild makes the router's table from what it believes of the engines.
func (p *replay) rebuildTable(r *router) {
	var upstreams []sageplace.Upstream
	r.tableEngines = r.tableEngines[:0]
	for i, e := range p.engines {
		if r.candidates[i] {
			upstreams = append(upstreams, sageplace.Upstream{Name: e.name, Weight: e.slots})
			r.tableEngines = append(r.tableEngines, i)
		}
	}
	r.table = sageplace.NewTable(upstreams)
	r.loads = sageplace.NewLoads(len(upstreams))
	r.loads.Refresh(func(i int) sageplace.Load { return p.estimatedLoad(r, r.tableEngines[i]) })
}

// load is the router's belief of an engine, by its last report and own requests since.
func (p *replay) estimatedLoad(r *router, i int) sageplace.Load {
	last, free := r.lastReports[i], engineSlots
	if p.allotments != nil {
		free = p.allotments.freeUnits(r.id, i)
	}
	return sageplace.Load{
		InFlight: r.estimates[i].InFlight(),
		Cap:      capacityAfter(last.completed), Free: free,
		Known: r.estimates[i].Known(p.instant()), CacheGeneration: last.generation,
	}
}

func (p *replay) sendReports(i int, e *engine) {
	if !e.up {
		return
	}
	rep := loadReport{inFlight: e.inFlight(), completed: e.completed, generation: e.generation, asOf: p.now}
	e.lastReport = rep
	for _, r := range p.routers {
		delay := p.variant.loadFeed.delay/10 + time.Duration(p.rand.Int64N(int64(p.variant.loadFeed.delay*9/10)))
		p.after(delay, func() { p.receiveReport(r, i, rep) })
	}
}

func (p *replay) receiveReport(r *router, i int, rep loadReport) {
	if rep.asOf < r.lastReports[i].asOf {
		return
	}
	r.lastReports[i] = rep
	r.estimates[i].Observe(p.instant(), sageload.Report{
		BootID: fmt.Sprint(rep.generation), InFlight: rep.inFlight, AsOf: epoch.Add(rep.asOf),
	})
	p.updateLoad(r, i)
	p.after(maxReportAge, func() { p.updateLoad(r, i) })
}

func (p *replay) updateLoad(r *router, i int) {
	if k := slices.Index(r.tableEngines, i); k >= 0 {
		r.loads.Set(k, p.estimatedLoad(r, i))
	}
}

// see tells a router, after a delay of its own, that an engine is a candidate or none.
func (p *replay) setCandidate(r *router, i int, candidate bool, delay time.Duration) {
	p.after(delay, func() {
		if r.candidates[i] != candidate {
			r.candidates[i] = candidate
			// A new one is unknown, and cold.
			r.lastReports[i], r.estimates[i] = loadReport{}, sageload.Estimate{MaxReportAge: maxReportAge}
			for range r.ownInFlight[i] {
				r.estimates[i].RecordDispatch()
			}
			p.rebuildTable(r)
		}
	})
}

// announce tells all routers, each after a delay up to changeDelay.
func (p *replay) announce(i int, candidate bool) {
	for _, r := range p.routers {
		p.setCandidate(r, i, candidate, time.Duration(p.rand.Int64N(int64(maxChangeDelay))))
	}
}

// count corrects what the router knows of an engine by n own requests.
func (p *replay) recordOwnRequests(r *router, i, n int) {
	r.ownInFlight[i] += n
	if n > 0 {
		r.estimates[i].RecordDispatch()
	} else {
		r.estimates[i].RecordEnd()
	}
	p.updateLoad(r, i)
}
