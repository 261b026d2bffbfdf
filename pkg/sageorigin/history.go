package sageorigin

import (
	"maps"
	"slices"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// History records which versions each service and which services each route had within [Window]. It is safe for concurrent
// use.
type History struct {
	mu sync.Mutex
	// observedSince is since when this node has known of all upstreams; 0 before it knew any.
	observedSince sageclock.Instant
	complete      bool // nothing was before observedSince
	present       map[string]map[string]bool
	departed      map[Origin]sageclock.Instant
	routes        map[string][]string // services by route
	changed       map[string]sageclock.Instant
	routesSince   sageclock.Instant // when a route last got or lost a service
	// claims are those in the store, as they were learned after observedSince, by service.
	claims map[string]Claim
}

// SetVersions sets the versions that have an upstream, by service.
func (h *History) SetVersions(now sageclock.Instant, present map[string]map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince == 0 {
		h.observedSince = now
	}
	if h.departed == nil {
		h.departed = make(map[Origin]sageclock.Instant)
	}
	for service, versions := range h.present {
		for v := range versions {
			if !present[service][v] {
				h.departed[Origin{service, v}] = now
			}
		}
	}
	for o, at := range h.departed {
		if present[o.Service][o.Version] || now.Sub(at) >= Window {
			delete(h.departed, o)
		}
	}
	h.present = present
}

// SetRoutes sets the services of the routes by name.
func (h *History) SetRoutes(now sageclock.Instant, routes map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(map[string]sageclock.Instant)
	}
	for name, at := range h.changed {
		if now.Sub(at) >= Window {
			delete(h.changed, name)
		}
	}
	for name, services := range h.routes {
		if lostService(services, routes[name]) {
			h.changed[name], h.routesSince = now, now
		}
		if lostService(routes[name], services) {
			h.routesSince = now
		}
	}
	h.routes = routes
}

// RoutesSince returns when a route that this node knew last got or lost a service, 0 if none has.
func (h *History) RoutesSince() sageclock.Instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.routesSince
}

// LedElsewhere reports whether streams of a route may have begun at another service than the given one within [Window], as far as
// this node knows.
func (h *History) LedElsewhere(now sageclock.Instant, route, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.changed[route]
	return ok && now.Sub(at) < Window || lostService(h.routes[route], []string{service})
}

// lostService reports whether a service of before is missing.
func lostService(before, after []string) bool {
	for _, s := range before {
		missing := true
		for _, a := range after {
			missing = missing && a != s
		}
		if missing {
			return true
		}
	}
	return false
}

// SetClaims sets the claims in the store, which say what happened before this node knew the upstreams. Those whose read began
// before [History.KnownSince] are ignored: what happened in between would be missed.
func (h *History) SetClaims(readFrom sageclock.Instant, claims map[string]Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince != 0 && readFrom >= h.observedSince {
		h.claims = claims
	}
}

// KnownSince returns since when this node has known of all upstreams, 0 before it knew any.
func (h *History) KnownSince() sageclock.Instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.observedSince
}

// Claimed reports whether the store says that all streams of a route began at an origin.
func (h *History) Claimed(o Origin, route string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claimed(o, route)
}

// claimed reports whether the store says that all streams of a route began at an origin. mu is held.
func (h *History) claimed(o Origin, route string) bool {
	c, ok := h.claims[o.Service]
	return ok && c.covers(o, route)
}

// Claimable returns the sole version of a service and the routes whose streams all began there; false if there were several
// versions, or the history doesn't reach back. anew says that no stream of the service began before this node's start.
func (h *History) Claimable(now sageclock.Instant, service string, anew bool) (version string, routes []string, ok bool) {
	for _, route := range h.routesTo(service) {
		if o, status := h.Status(now, route); o.Service == service && (status == Sole || anew && status == SoleSinceStart) {
			version, routes = o.Version, append(routes, route)
		}
	}
	slices.Sort(routes)
	return version, routes, len(routes) > 0
}

// routesTo returns the routes that lead to a service.
func (h *History) routesTo(service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for name, services := range h.routes {
		if slices.Contains(services, service) {
			out = append(out, name)
		}
	}
	return out
}

// Services returns the services to which a route leads, in order.
func (h *History) Services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	used := make(map[string]bool)
	for _, services := range h.routes {
		for _, s := range services {
			used[s] = true
		}
	}
	return slices.Sorted(maps.Keys(used))
}

// SetComplete records that nothing happened before this node knew the upstreams that it doesn't know of.
func (h *History) SetComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
}

// RecordGap records that versions may have appeared and departed just before now, which this node doesn't know of. What it knew
// before, and the claims that it learned, no longer reach up to now.
func (h *History) RecordGap(now sageclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince != 0 {
		h.observedSince, h.complete, h.claims = now, false, nil
	}
}

// Complete reports whether the history reaches back for [Window].
func (h *History) Complete(now sageclock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reachesBack(now)
}

// reachesBack reports whether the history reaches back for [Window]. mu is held.
func (h *History) reachesBack(now sageclock.Instant) bool {
	return h.observedSince != 0 && (h.complete || now.Sub(h.observedSince) >= Window)
}

// Sole returns the only origin of streams of a route within [Window], as far as the history reaches; false if there were
// several or none is known.
func (h *History) Sole(now sageclock.Instant, route string) (Origin, bool) {
	o, status := h.Status(now, route)
	return o, status.hasOrigin()
}

// Status returns what is known of the origins of streams of a route without their records.
func (h *History) Status(now sageclock.Instant, route string) (Origin, Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	services := h.routes[route]
	if at, ok := h.changed[route]; len(services) > 1 || ok && now.Sub(at) < Window {
		return Origin{}, Unknown
	}
	if len(services) == 0 {
		return Origin{}, Uninformed
	}
	out, n := Origin{Service: services[0]}, len(h.present[services[0]])
	for v := range h.present[services[0]] {
		out.Version = v
	}
	for o, at := range h.departed {
		if o.Service == services[0] && now.Sub(at) < Window {
			out, n = o, n+1
		}
	}
	switch {
	case n == 0:
		return Origin{}, Uninformed
	case n > 1:
		return Origin{}, Unknown
	case h.reachesBack(now) || h.claimed(out, route):
		return out, Sole
	}
	return out, SoleSinceStart
}
