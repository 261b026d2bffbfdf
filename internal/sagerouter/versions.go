package sagerouter

import (
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// versions is the set of versions that may receive requests, by service.
type versions map[string]map[string]bool

func (v versions) add(service, version string) {
	if v[service] == nil {
		v[service] = make(map[string]bool)
	}
	v[service][version] = true
}

// versionCounts is the number of upstreams by service and version.
type versionCounts map[string]map[string]int

// countVersions counts the registered upstreams. The caller holds mu.
func (v *view) countVersions() versionCounts {
	counts := make(versionCounts)
	v.registry.Each(func(e *sageupstream.Entry) {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Version]++
	})
	return counts
}

// holdBackVersions excludes the upstreams of versions that may not receive requests yet. The caller holds mu.
func (v *view) holdBackVersions(now sageclock.Instant) {
	counts := v.countVersions()
	v.history.SetVersions(now, counts.present())
	var newUntil sageclock.Instant
	if v.newVersionDelay != nil && v.upstreams.Load() != nil {
		newUntil = now.Add(v.newVersionDelay())
	}
	v.arrivals.update(now, counts, newUntil)
	v.admitOrdered(counts)
	heldBack := v.unordered()
	for id := range v.unsettled(now, heldBack) {
		heldBack[id] = true
	}
	v.versionsHeldBack = len(heldBack) > 0
	v.registry.SetExcluded(heldBack)
}

// unordered returns the IDs of the upstreams whose versions may be concerned by orders that aren't known yet.
func (v *view) unordered() map[string]bool {
	out := make(map[string]bool)
	if v.ordersPoint == nil {
		return out
	}
	v.registry.Each(func(e *sageupstream.Entry) {
		if !v.admittedVersions[e.Service][e.Version] {
			out[e.ID] = true
		}
	})
	return out
}

// unsettled returns the IDs of the upstreams whose versions are new, in services in which an upstream of another version can
// get requests. heldBack are the IDs of those that can't. Nodes that don't know the new version yet would continue its
// streams at the other one.
func (v *view) unsettled(now sageclock.Instant, heldBack map[string]bool) map[string]bool {
	isNew := v.arrivals.newOnes(now)
	if len(isNew) == 0 {
		return nil
	}
	newIDs, settled := make(map[string]string), make(map[string]bool)
	v.registry.Each(func(e *sageupstream.Entry) {
		switch {
		case isNew[sageorigin.Origin{Service: e.Service, Version: e.Version}]:
			newIDs[e.ID] = e.Service
		case !heldBack[e.ID] && !e.Draining && !v.closedDataCentres[e.DataCentre]:
			settled[e.Service] = true
		}
	})
	out := make(map[string]bool)
	for id, service := range newIDs {
		if settled[service] {
			out[id] = true
		}
	}
	return out
}

// present returns the versions that have an upstream, by service.
func (c versionCounts) present() map[string]map[string]bool {
	out := make(versions, len(c))
	for service, byVersion := range c {
		for version := range byVersion {
			out.add(service, version)
		}
	}
	return out
}

// admitOrdered admits the versions that have an upstream which registered before the point up to which this node has all
// orders. As long as no orders are known, only the most common version serves.
//
// Orders and upstreams are read by different store calls. Without the exclusion, a node that sees the upstreams
// before the order that started them would send the new version a full share of the load.
func (v *view) admitOrdered(counts versionCounts) {
	if v.ordersPoint == nil {
		return
	}
	known := v.ordersPoint()
	v.registry.Each(func(e *sageupstream.Entry) {
		if !known.Before(sagefollow.Point{Era: e.Era, Revision: e.Revision}) {
			v.admittedVersions.add(e.Service, e.Version)
		}
	})
	for service, byVersion := range counts {
		if v.admittedVersions[service] == nil {
			v.admittedVersions.add(service, mostCommon(byVersion))
		}
	}
}

// versionArrivals holds the versions of services that appeared at this node.
type versionArrivals map[sageorigin.Origin]versionArrival

type versionArrival struct {
	// newUntil is the time from which all nodes know the version; 0 for those of the first listing.
	newUntil sageclock.Instant
	lastSeen sageclock.Instant
}

// update records the versions that have upstreams. Those that were gone for less than [sageorigin.Window] aren't new, the
// others are until the given time.
func (a versionArrivals) update(now sageclock.Instant, counts versionCounts, newUntil sageclock.Instant) {
	for service, byVersion := range counts {
		for version := range byVersion {
			o := sageorigin.Origin{Service: service, Version: version}
			arrival, ok := a[o]
			if !ok {
				arrival.newUntil = newUntil
			}
			arrival.lastSeen = now
			a[o] = arrival
		}
	}
	for o, arrival := range a {
		if now.Sub(arrival.lastSeen) > sageorigin.Window {
			delete(a, o)
		}
	}
}

// newOnes returns the versions that not all nodes may know yet.
func (a versionArrivals) newOnes(now sageclock.Instant) map[sageorigin.Origin]bool {
	out := make(map[sageorigin.Origin]bool)
	for o, arrival := range a {
		if now < arrival.newUntil {
			out[o] = true
		}
	}
	return out
}

// mostCommon returns the key with the greatest count, the smallest key on a tie.
func mostCommon(counts map[string]int) string {
	out, most := "", 0
	for k, n := range counts {
		if n > most || n == most && k < out {
			out, most = k, n
		}
	}
	return out
}

// Times of the knowledge of versions.
const (
	// soleProofAge is the age up to which a copy of the upstreams counts as fresh, beside the time that proofs travel.
	soleProofAge = time.Second
	// newVersionMargin is how much longer a new version waits for its first requests.
	newVersionMargin = 200 * time.Millisecond
)

// maxSoleProofAge returns the age of a copy of the upstreams up to which this node knows all versions that get requests.
func (n *Node) maxSoleProofAge() time.Duration { return soleProofAge + n.mesh.PropagationDelay() }
