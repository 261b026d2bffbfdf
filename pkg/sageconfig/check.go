package sageconfig

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Errors of checks that need the complete state.
var (
	// ErrUnknownReference reports an entry that refers to an entry that doesn't exist.
	ErrUnknownReference = errors.New("reference to an unknown thing")
	// ErrNoUpstream reports a route or client account without an upstream that can receive work.
	ErrNoUpstream = errors.New("left without an upstream")
)

// CanReceiveWork reports whether the upstream exists, is not leaving, and is in a data centre that is
// in service.
func (s *State) CanReceiveWork(upstream string) bool {
	u, ok := s.Upstream(upstream)
	if !ok || u.Leaving {
		return false
	}
	dc, ok := s.DataCentre(u.DataCentre)
	return ok && dc.InService
}

// Serves reports whether u is an engine that serves a version of m. An engine that lists no models is
// assumed to serve all models. If m is nil, every engine does.
func (u *Upstream) Serves(m *ModelSet) bool {
	if u.Kind != Engine {
		return false
	}
	if len(u.Models) == 0 || m == nil {
		return true
	}
	return slices.ContainsFunc(m.Versions, func(v string) bool { return slices.Contains(u.Models, v) })
}

// hasUpstream reports whether an upstream of the set can receive work and is accepted by accept.
func (s *State) hasUpstream(setName string, accept func(*Upstream) bool) bool {
	upstreams, ok := s.UpstreamSet(setName)
	if !ok {
		return false
	}
	for _, name := range upstreams.Upstreams {
		if !s.CanReceiveWork(name) {
			continue
		}
		if u, _ := s.Upstream(name); accept(u) {
			return true
		}
	}
	return false
}

// routeHasUpstream reports whether an upstream can receive the requests of the route.
func (s *State) routeHasUpstream(r *Route) bool {
	if r.Kind == RouteService {
		return s.hasUpstream(r.UpstreamSet, func(u *Upstream) bool { return u.Kind == Application })
	}
	m, ok := s.ModelSet(r.ModelSet)
	if !ok && r.ModelSet != "" {
		return false
	}
	return s.hasUpstream(r.UpstreamSet, func(u *Upstream) bool { return u.Serves(m) })
}

// WithoutUpstream returns the routes, and the client accounts with their own upstream set, for which no
// upstream can receive work.
func (s *State) WithoutUpstream() map[EntryKey]bool {
	out := make(map[EntryKey]bool)
	setHasUpstream := make(map[string]bool)
	for key, e := range s.All() {
		if e.Change.Deleted {
			continue
		}
		switch key.Kind {
		case KindRoute:
			if !s.routeHasUpstream(e.Change.Route) {
				out[key] = true
			}
		case KindClientAccount:
			setName := e.Change.ClientAccount.UpstreamSet
			if setName == "" {
				continue
			}
			ok, known := setHasUpstream[setName]
			if !known {
				ok = s.hasUpstream(setName, func(u *Upstream) bool { return u.Kind == Engine })
				setHasUpstream[setName] = ok
			}
			if !ok {
				out[key] = true
			}
		}
	}
	return out
}

// references returns the keys that the value of c refers to.
func (c *Change) references() []EntryKey {
	var refs []EntryKey
	add := func(k Kind, name string) {
		if name != "" {
			refs = append(refs, EntryKey{Kind: k, Name: name})
		}
	}
	switch {
	case c.Route != nil:
		add(KindUpstreamSet, c.Route.UpstreamSet)
		add(KindModelSet, c.Route.ModelSet)
	case c.Upstream != nil:
		add(KindDataCentre, c.Upstream.DataCentre)
	case c.UpstreamSet != nil:
		for _, u := range c.UpstreamSet.Upstreams {
			add(KindUpstream, u)
		}
	case c.ClientAccount != nil:
		add(KindUpstreamSet, c.ClientAccount.UpstreamSet)
	case c.Order != nil:
		add(KindUpstream, c.Order.Upstream)
	}
	return refs
}

// CheckReferences reports the first entry that a change of t refers to and that s lacks. The ticket
// must already be applied to s.
func (s *State) CheckReferences(t *Ticket) error {
	for i := range t.Changes {
		c := &t.Changes[i]
		for _, r := range c.references() {
			if _, ok := s.lookup(r.Kind, r.Name); !ok {
				return fmt.Errorf("%s refers to %s: %w", c.Key, r, ErrUnknownReference)
			}
		}
	}
	return nil
}
