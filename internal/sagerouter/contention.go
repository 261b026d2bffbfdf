package sagerouter

import (
	"context"
	"time"

	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagecapacity"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagedemand"
	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// dividesCapacity reports whether the capacity of a service is divided among accounts. Engines run their requests in batches, so
// that slots and run times don't say what they can take; they are bounded by their load.
func (f *fleet) dividesCapacity(service string) bool {
	t := f.Table()
	return f.divideCapacity.Load() && t != nil && t.RequiresKey() && t.Services[service] != nil && !t.Services[service].Engine
}

// Admit implements [sagerelay.Fleet].
func (f *fleet) Admit(ctx context.Context, q *sagerelay.AdmitQuery) sagerelay.Admission {
	if !f.dividesCapacity(q.Service) {
		return sagerelay.Admission{OK: true}
	}
	now := sageclock.Now()
	f.demand.meter.RecordRequest(now, q.Service, q.Account)
	e := f.gates.Admit(ctx, q.Service, sagefair.Arrival{
		Account: q.Account, Urgency: q.Urgency, Objective: q.Objective, Deadline: q.Deadline,
		Returned: f.returnedAsAsked(q.Waited, q.Deadline.Sub(now)),
	})
	return sagerelay.Admission{OK: e.State == sagefair.Running, RetryAt: e.RetryAt, Rate: e.Rate, Queued: e.Queued}
}

// RecordRun implements [sagerelay.Fleet].
func (f *fleet) RecordRun(u *sageupstream.Entry, took time.Duration) {
	if !f.dividesCapacity(u.Service) {
		return
	}
	now := sageclock.Now()
	f.demand.meter.RecordRun(now, u.Service, u.ID)
	f.capacity.RecordRun(now, u.Service, u.ID, took)
}

// QueueTime implements [sagerelay.Fleet].
func (f *fleet) QueueTime(service string) time.Duration {
	if !f.dividesCapacity(service) {
		return 0
	}
	return f.capacity.Estimate(service).Wait
}

// choosePlain selects one of es for a request without a prompt.
func (f *fleet) choosePlain(now sageclock.Instant, es []*sageupstream.Entry, loads sageflight.Counts, service string) (*sageupstream.Entry, sagechain.Choice) {
	if !f.dividesCapacity(service) {
		return leastLoaded(es, loads), sagechain.Choice{Reason: "least_loaded"}
	}
	cands := make([]sagecapacity.Candidate, len(es))
	for i, e := range es {
		cands[i] = sagecapacity.Candidate{ID: e.ID, Slots: e.Slots, InFlight: loads[e.ID], Own: f.inFlight.Own(e.ID)}
	}
	return es[f.capacity.Choose(now, service, cands)], sagechain.Choice{Reason: "most_capacity"}
}

const (
	// shareInterval is how often the shares of the accounts are computed, the shortest interval of heartbeats.
	shareInterval = 200 * time.Millisecond
	// sweepShares is the number of intervals after which records of unused upstreams are dropped.
	sweepShares = 50
)

// shareController divides the capacity of the services among the accounts.
type shareController struct {
	node *Node
	// short says of each service whose capacity is divided that it has no capacity for what is asked.
	short map[string]bool
}

// Run works until ctx ends.
func (c *shareController) Run(ctx context.Context) error {
	c.short = make(map[string]bool)
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.step(sageclock.Now())
		}
		if n%sweepShares == 0 {
			c.node.fleet.capacity.Sweep(sageclock.Now())
		}
	}
}

// step computes the shares of all services that this node gets requests for.
func (c *shareController) step(now sageclock.Instant) {
	f := c.node.fleet
	t, set := f.Table(), f.view.upstreams.Load()
	if t == nil || set == nil {
		return
	}
	c.removeOthers()
	var loads sageflight.Counts
	for name := range t.Services {
		if !f.dividesCapacity(name) {
			continue
		}
		if loads == nil {
			loads = f.inFlight.Sum(now)
		}
		c.divide(now, t, name, set.Available(name), loads)
	}
}

// removeOthers removes the gates of services whose capacity is no longer divided.
func (c *shareController) removeOthers() {
	for name := range c.short {
		if !c.node.fleet.dividesCapacity(name) {
			c.node.fleet.gates.Remove(name)
			delete(c.short, name)
		}
	}
}

// divide computes the shares of one service.
func (c *shareController) divide(now sageclock.Instant, t *sageroute.Table, service string, es []*sageupstream.Entry, loads sageflight.Counts) {
	f := c.node.fleet
	d := f.demandOf(now, service)
	ups := make([]sagecapacity.Upstream, len(es))
	for i, e := range es {
		ups[i] = sagecapacity.Upstream{ID: e.ID, Slots: e.Slots, InFlight: loads[e.ID], RunsPerSecond: -1}
		if runs, ok := d.Runs[e.ID]; ok {
			ups[i].RunsPerSecond = runs
		}
	}
	f.capacity.RecordAsked(now, service, d.Fleet)
	est := f.capacity.Update(now, service, ups)
	if est.PerSecond <= 0 {
		f.gates.SetShares(service, sagefair.Shares{})
		c.short[service] = false
		return
	}
	s := sagedemand.Split(d, sagedemand.Params{Capacity: est.Target, Nodes: f.sharingNodes(), Weight: t.Share})
	s.Wait, s.Run = est.Wait.Seconds(), est.Run.Seconds()
	f.gates.SetShares(service, s)
	c.logChange(service, &s, &d, &est)
}

// sharingNodes returns the number of nodes that share the services' capacity: the live ones. A node without contact to any other
// takes only its part of the known ones.
func (f *fleet) sharingNodes() int {
	if live := len(f.livePeers()); live > 0 {
		return live + 1
	}
	return len(f.knownNodes())
}

// logChange logs that a service has no capacity for what is asked, or has capacity again.
func (c *shareController) logChange(service string, s *sagefair.Shares, d *sagedemand.Service, est *sagecapacity.Estimate) {
	was := c.short[service]
	c.short[service] = s.Short
	if s.Short == was {
		return
	}
	msg := "Service has capacity again."
	if s.Short {
		msg = "Service has no capacity for what is asked."
	}
	c.node.Log.Component("shares").Info(msg, "service", service, "asked", d.Fleet, "own", d.Own, "accounts", len(d.Accounts), "capacity", est.PerSecond, "target", est.Target,
		"wait_ms", est.Wait.Milliseconds(), "run_ms", est.Run.Milliseconds())
}
