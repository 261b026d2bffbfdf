package sagemeasure

import (
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
)

// router is one router VM: its view of the engines, and its placement policy.
type router struct {
	id           int
	candidates   []bool
	table        *sageplace.Table
	tableEngines []int // index of the engine at each position of the table
	loads        *sageplace.Loads
	policy       sageplace.Policy
	locations    *sageplace.PrefixLocations
	ownInFlight  []int
	lastReports  []loadReport
	// estimates are the daemon's load estimates, one per engine.
	estimates []sageload.Estimate
}

// loadReport is an engine's report on its load.
type loadReport struct {
	inFlight, completed int
	generation          uint64
	asOf                time.Duration
}

// startRouter starts a new process for a router, without the state of the previous one.
func (p *replay) startRouter(r *router) {
	r.policy = p.variant.policy(p)
	r.locations = sageplace.NewPrefixLocations(1 << 14)
	p.rebuildTable(r)
}

// rebuildTable builds the router's table from the engines that it considers candidates.
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

// estimatedLoad returns the load of an engine as estimated by the router, from the last report and its
// own requests since.
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

// sendReports sends an engine's report to all routers, each with its own delay.
func (p *replay) sendReports(i int, e *engine) {
	if !e.up {
		return
	}
	rep := loadReport{inFlight: e.inFlight(), completed: e.completed, generation: e.generation, asOf: p.now}
	e.lastReport = rep
	for _, r := range p.routers {
		delay := p.variant.loadFeed.maxDelay/10 + time.Duration(p.rand.Int64N(int64(p.variant.loadFeed.maxDelay*9/10)))
		p.after(delay, func() { p.receiveReport(r, i, rep) })
	}
}

// receiveReport handles a report unless the router has a newer one. The load is updated again when the
// report expires.
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

// setCandidate informs a router, after delay, whether an engine is a candidate.
func (p *replay) setCandidate(r *router, i int, candidate bool, delay time.Duration) {
	p.after(delay, func() {
		if r.candidates[i] != candidate {
			r.candidates[i] = candidate
			// The load of a new candidate is unknown, and the engine counts as cold.
			r.lastReports[i], r.estimates[i] = loadReport{}, sageload.Estimate{MaxReportAge: maxReportAge}
			for range r.ownInFlight[i] {
				r.estimates[i].RecordDispatch()
			}
			p.rebuildTable(r)
		}
	})
}

// announce sends a change to all routers, each with a random delay up to maxChangeDelay.
func (p *replay) announce(i int, candidate bool) {
	for _, r := range p.routers {
		p.setCandidate(r, i, candidate, time.Duration(p.rand.Int64N(int64(maxChangeDelay))))
	}
}

// recordOwnRequests changes the router's count of its own requests at an engine by n, which is 1 or -1.
func (p *replay) recordOwnRequests(r *router, i, n int) {
	r.ownInFlight[i] += n
	if n > 0 {
		r.estimates[i].RecordDispatch()
	} else {
		r.estimates[i].RecordEnd()
	}
	p.updateLoad(r, i)
}
