package sagerouter

import (
	"cmp"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagedemand"
	"sagestand.example/sagestand/pkg/sageflight"
)

const (
	// demandLag is the age of this node's counts in the sums: their delay and two intervals of sums, one of which may be
	// lost. If it were too short, each node would overestimate its part of a demand that grows.
	demandLag = sumDelay + 400*time.Millisecond
	// contendedLoad is the fraction of the slots of a service's upstreams above which its accounts are counted by
	// themselves, contendedDemand the fraction of its capacity.
	contendedLoad, contendedDemand = 0.5, 0.6
	// snapshotDuration is how long sums are reused, so that an aggregator doesn't add up the counts of its data centre for
	// each service.
	snapshotDuration = 100 * time.Millisecond
)

// demandExchange counts what the accounts ask of services here and at the other nodes.
type demandExchange struct {
	meter   sagedemand.Meter
	counts  sageflight.Counter
	reports sagedemand.History
	// capacity returns the number of requests per second that the upstreams of a service can take, 0 if unknown; may be nil. It
	// must not call methods of the fleet that need the demand.
	capacity func(service string) float64

	mu   sync.Mutex
	last *demandSnapshot
}

// demandSnapshot holds the sums of all nodes at an instant.
type demandSnapshot struct {
	until           sageclock.Instant
	asked, inFlight sageflight.Counts
	contended       map[string]bool // by service, as far as known
}

// demandSnapshot returns recent sums. f.demand.mu is held.
func (f *fleet) demandSnapshot(now sageclock.Instant) *demandSnapshot {
	d := &f.demand
	if d.last == nil || now >= d.last.until {
		d.last = &demandSnapshot{until: now.Add(snapshotDuration), asked: d.counts.Sum(now), inFlight: f.inFlight.Sum(now), contended: make(map[string]bool)}
	}
	return d.last
}

// updateNode replaces the counts of another node. Nodes that run an older program, and some heartbeats, have none.
func (d *demandExchange) updateNode(now sageclock.Instant, node, dataCentre string, counts map[string]int) {
	if len(counts) > 0 {
		d.counts.UpdateNode(now, node, dataCentre, counts)
	}
}

// updateGroup replaces the sum of a data centre.
func (d *demandExchange) updateGroup(now sageclock.Instant, dataCentre string, counts map[string]int) {
	if len(counts) > 0 {
		d.counts.UpdateGroup(now, dataCentre, counts)
	}
}

// updateTotal replaces the sum of all nodes.
func (d *demandExchange) updateTotal(now sageclock.Instant, counts map[string]int) {
	if len(counts) > 0 {
		d.counts.UpdateTotal(now, counts)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.last = nil
	}
}

// reportDemand returns this node's counts for a heartbeat.
func (f *fleet) reportDemand(now sageclock.Instant) map[string]int {
	d := &f.demand
	counts := d.meter.Counts(now, func(service string) bool { return f.contended(now, service) })
	d.counts.Set(counts)
	report := d.counts.Report()
	d.reports.Put(now, report)
	return report
}

// demandOf returns what is asked of a service, here and over the fleet.
func (f *fleet) demandOf(now sageclock.Instant, service string) sagedemand.Service {
	d := &f.demand
	d.mu.Lock()
	asked := f.demandSnapshot(now).asked
	d.mu.Unlock()
	return sagedemand.Of(service, d.reports.At(now.Add(-demandLag)), asked)
}

// contended reports whether a service is so busy that its accounts have to be counted by themselves.
func (f *fleet) contended(now sageclock.Instant, service string) bool {
	d := &f.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	s := f.demandSnapshot(now)
	is, known := s.contended[service]
	if !known {
		is = f.asksForMuch(service, s.asked) || f.usesManySlots(service, s.inFlight)
		s.contended[service] = is
	}
	return is
}

// asksForMuch reports whether the requests for a service are a large part of its capacity.
func (f *fleet) asksForMuch(service string, asked sageflight.Counts) bool {
	if f.demand.capacity == nil {
		return false
	}
	capacity := f.demand.capacity(service)
	total := asked[sagedemand.Key{Kind: sagedemand.Requests, Service: service}.String()]
	return capacity > 0 && float64(total) > contendedDemand*capacity
}

// usesManySlots reports whether the requests in flight at a service's upstreams are a large part of their slots.
func (f *fleet) usesManySlots(service string, inFlight sageflight.Counts) bool {
	set := f.view.upstreams.Load()
	if set == nil {
		return false
	}
	running, slots := 0, 0
	for _, e := range set.Available(service) {
		running += inFlight[e.ID]
		slots += cmp.Or(e.Slots, assumedSlots)
	}
	return float64(running) > contendedLoad*float64(slots)
}
