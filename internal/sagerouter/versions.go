package sagerouter

import (
	"sagestand.example/sagestand/internal/sagefollow"
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

// holdBackVersions excludes the upstreams of a new version until this node has all orders that were written before
// they registered. As long as no orders are known, only the most common version serves.
//
// Orders and upstreams are read by different store calls. Without the exclusion, a node that sees the upstreams
// before the order that started them would send the new version a full share of the load. The caller holds mu.
func (v *view) holdBackVersions() {
	if v.ordersPoint == nil {
		return
	}
	known := v.ordersPoint()
	counts := make(map[string]map[string]int)
	v.registry.Each(func(e *sageupstream.Entry) {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Version]++
		if !known.Before(sagefollow.Point{Era: e.Era, Revision: e.Revision}) {
			v.admittedVersions.add(e.Service, e.Version)
		}
	})
	for service, byVersion := range counts {
		if v.admittedVersions[service] == nil {
			v.admittedVersions.add(service, mostCommon(byVersion))
		}
	}
	heldBack := make(map[string]bool)
	v.registry.Each(func(e *sageupstream.Entry) {
		if !v.admittedVersions[e.Service][e.Version] {
			heldBack[e.ID] = true
		}
	})
	v.versionsHeldBack = len(heldBack) > 0
	v.registry.SetExcluded(heldBack)
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
