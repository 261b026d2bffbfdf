package sagerouter

import "sagestand.example/sagestand/pkg/sageupstream"

// versions are the versions of upstreams by service that may get requests.
type versions map[string]map[string]bool

func (v versions) add(service, version string) {
	if v[service] == nil {
		v[service] = make(map[string]bool)
	}
	v[service][version] = true
}

// hold keeps upstreams of a new version without requests until this node knows all orders that were written
// before they registered. As long as it knows no orders at all, only the most common version serves.
//
// It guards against a version that gets its share by load on nodes to which the order that started it is not
// known yet: the copies of orders and of upstreams are proven by different calls. mu is held.
func (v *view) hold() {
	if v.ordersAsOf == nil {
		return
	}
	asOf := v.ordersAsOf()
	counts := make(map[string]map[string]int)
	v.registry.Each(func(e *sageupstream.Entry) {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Version]++
		if e.Revision <= asOf {
			v.known.add(e.Service, e.Version)
		}
	})
	for service, byVersion := range counts {
		if v.known[service] == nil {
			v.known.add(service, mostCommon(byVersion))
		}
	}
	held := make(map[string]bool)
	v.registry.Each(func(e *sageupstream.Entry) {
		if !v.known[e.Service][e.Version] {
			held[e.ID] = true
		}
	})
	v.holding = len(held) > 0
	v.registry.SetExcluded(held)
}

// mostCommon returns the key with the greatest count, of several the first in order.
func mostCommon(counts map[string]int) string {
	out, most := "", 0
	for k, n := range counts {
		if n > most || n == most && k < out {
			out, most = k, n
		}
	}
	return out
}
