package sagerouter

import (
	"math"
	"slices"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagemesh"
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

// versionCount is the number of a version's upstreams, and the store's revision at which the first of them registered.
type versionCount struct {
	upstreams int
	created   uint64
}

// versionCounts counts the upstreams by service and version.
type versionCounts map[string]map[string]versionCount

// countVersions counts the registered upstreams. The caller holds mu.
func (v *view) countVersions() versionCounts {
	counts := make(versionCounts)
	v.registry.Each(func(e *sageupstream.Entry) {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]versionCount)
		}
		c := counts[e.Service][e.Version]
		if c.upstreams++; c.upstreams == 1 || e.Created < c.created {
			c.created = e.Created
		}
		counts[e.Service][e.Version] = c
	})
	return counts
}

// holdBackVersions excludes the upstreams of versions that may not receive requests yet. The caller holds mu.
func (v *view) holdBackVersions(now sageclock.Instant) {
	counts := v.countVersions()
	v.history.SetVersions(now, counts.present())
	var delay time.Duration
	if v.newVersionDelay != nil && v.upstreams.Load() != nil {
		delay = v.newVersionDelay()
	}
	v.arrivals.update(now, counts, delay)
	v.wakeForClaims(now)
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
		if !v.orderedVersions[e.Service][e.Version] {
			out[e.ID] = true
		}
	})
	return out
}

// unsettled returns the IDs of the upstreams whose versions are new, in services in which an upstream of another version can
// get requests. heldBack are the IDs of those that can't. Nodes that don't know the new version yet would continue its
// streams at the other one.
func (v *view) unsettled(now sageclock.Instant, heldBack map[string]bool) map[string]bool {
	isNew, awaited := v.arrivals.newOnes(now), v.awaited(now)
	if len(isNew) == 0 && len(awaited) == 0 {
		return nil
	}
	newIDs, settled, out := make(map[string]string), make(map[string]bool), make(map[string]bool)
	v.registry.Each(func(e *sageupstream.Entry) {
		o := sageorigin.Origin{Service: e.Service, Version: e.Version}
		switch waiting, awaits := awaited[o]; {
		case isNew[o] || awaits:
			newIDs[e.ID] = e.Service
			if awaits && waiting < maxAdmissionWait {
				out[e.ID] = true
			}
		case !heldBack[e.ID] && !e.Draining && !v.closedDataCentres[e.DataCentre]:
			settled[e.Service] = true
		}
	})
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
			v.orderedVersions.add(e.Service, e.Version)
		}
	})
	for service, byVersion := range counts {
		if v.orderedVersions[service] == nil {
			v.orderedVersions.add(service, mostCommon(byVersion))
		}
	}
}

// versionArrivals holds the versions of services that appeared at this node.
type versionArrivals map[sageorigin.Origin]versionArrival

type versionArrival struct {
	// newUntil is the time from which all nodes know the version; 0 for those of the first listing.
	newUntil sageclock.Instant
	lastSeen sageclock.Instant
	// since is when the version appeared, arrived the store's revision at which the first of its upstreams registered.
	since   sageclock.Instant
	arrived uint64
	// admitted is set once the store has confirmed that the version may begin streams, or since it does so already when a
	// resumable route leads to its service for the first time.
	admitted bool
}

// update records the versions that have upstreams. Those that were gone for less than [sageorigin.Window] aren't new, the
// others are for the given time, or longer if it grows meanwhile.
func (a versionArrivals) update(now sageclock.Instant, counts versionCounts, delay time.Duration) {
	for service, byVersion := range counts {
		for version, c := range byVersion {
			o := sageorigin.Origin{Service: service, Version: version}
			arrival, ok := a[o]
			if !ok {
				arrival.since, arrival.arrived = now, c.created
			}
			if until := arrival.since.Add(delay); delay > 0 && (!ok || now < arrival.newUntil) {
				arrival.newUntil = max(arrival.newUntil, until)
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

// setFirstClaims releases the upstreams after the first read of the claims, which may be some seconds old; nil if it failed.
func (v *view) setFirstClaims(claims *storedClaims) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.awaitsClaims = false
	v.firstClaims = claims
	v.publish()
}

// admitByFirstClaims admits the versions of the first listing that are known to be admitted. If the claims couldn't be read, the
// versions get requests as before the start. The caller holds mu.
func (v *view) admitByFirstClaims() {
	if v.firstClaimsUsed || v.claimsWake == nil {
		return
	}
	v.firstClaimsUsed = true
	for o, arrival := range v.arrivals {
		if v.firstClaims == nil {
			arrival.since -= sageclock.Instant(maxAdmissionWait)
		} else if c := v.firstClaims.of(o.Service); c.Admits(o.Version, arrival.arrived) && (!c.Sole || arrival.arrived <= c.AsOf) {
			arrival.admitted = true
		}
		v.arrivals[o] = arrival
	}
	v.firstClaims = nil
}

// awaitsAdmission reports whether a service to which a resumable route leads has only versions that wait for their admission. The
// caller holds mu.
func (v *view) awaitsAdmission(now sageclock.Instant) bool {
	if v.claimsWake == nil {
		return false
	}
	if v.table.Load() == nil {
		return true // it isn't known which services have such routes
	}
	awaited, waits := v.awaited(now), make(map[string]bool)
	for o := range v.arrivals {
		waiting, ok := awaited[o]
		ok = ok && waiting < maxAdmissionWait
		if others, seen := waits[o.Service]; !seen || others {
			waits[o.Service] = ok
		}
	}
	for _, w := range waits {
		if w {
			return true
		}
	}
	return false
}

// waiting returns the versions that wait for their admission, with the store's revision at which they arrived. Only services to
// which a resumable route leads need it.
func (v *view) waiting() map[sageorigin.Origin]uint64 {
	services := v.history.Services()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[sageorigin.Origin]uint64)
	for o, arrival := range v.arrivals {
		if !arrival.admitted && slices.Contains(services, o.Service) {
			out[o] = arrival.arrived
		}
	}
	return out
}

// awaited returns the versions that wait for their admission, and for how long they have. The caller holds mu.
func (v *view) awaited(now sageclock.Instant) map[sageorigin.Origin]time.Duration {
	if v.claimsWake == nil {
		return nil
	}
	services := v.history.Services()
	out := make(map[sageorigin.Origin]time.Duration)
	for o, arrival := range v.arrivals {
		if !arrival.admitted && slices.Contains(services, o.Service) {
			out[o] = now.Sub(arrival.since)
		}
	}
	return out
}

// wakeForClaims asks for the admission of versions that wait for it. The caller holds mu.
func (v *view) wakeForClaims(now sageclock.Instant) {
	v.admitByFirstClaims()
	if len(v.awaited(now)) == 0 {
		return
	}
	select {
	case v.claimsWake <- struct{}{}:
	default: // already asked for
	}
}

// admit records that versions may begin streams.
func (v *view) admit(origins []sageorigin.Origin) {
	if len(origins) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range origins {
		if arrival, ok := v.arrivals[o]; ok {
			arrival.admitted = true
			v.arrivals[o] = arrival
			v.log.Info("Version admitted.", "service", o.Service, "version", o.Version, "took_ms", sageclock.Now().Sub(arrival.since).Milliseconds())
		}
	}
	v.publish()
}

// mostCommon returns the key with the greatest count, the smallest key on a tie.
func mostCommon(counts map[string]versionCount) string {
	out, most := "", 0
	for k, c := range counts {
		if n := c.upstreams; n > most || n == most && k < out {
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

// newVersionDelay returns how long a version that is new to this node gets no requests while others serve: longer than any node of
// the fleet believes its copy. One that knows more nodes than this one does may believe a copy for longer.
func (n *Node) newVersionDelay() time.Duration {
	return soleProofAge + max(n.mesh.PropagationDelay(), sagemesh.MaxPropagationDelay(n.fleetSizeLimit())) + newVersionMargin
}

// fleetSizeLimit returns the greatest number of nodes that a node may know. One that hasn't read the list of them yet may know few of very
// many.
func (n *Node) fleetSizeLimit() int {
	if size := n.fleetSize(); size > 0 {
		return size
	}
	return math.MaxInt
}
