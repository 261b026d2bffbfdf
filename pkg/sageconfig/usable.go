package sageconfig

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Errors of the checks of a whole state.
var (
	// ErrReference: a thing names another that does not exist.
	ErrUnknownReference = errors.New("reference to an unknown thing")
	// ErrNoUpstream: a route or client account has no upstream that may receive work.
	ErrNoUpstream = errors.New("left without an upstream")
)

// MayReceive reports whether the upstream of that name exists, is not leaving, and stands in a data
// centre that is in service.
func (s *State) CanReceiveWork(upstream string) bool {
	u, ok := s.Upstream(upstream)
	if !ok || u.Leaving {
		return false
	}
	dc, ok := s.DataCentre(u.DataCentre)
	return ok && dc.InService
}

// Serves reports whether u is an engine that serves one of the versions of m. An engine that lists
// no models is taken to serve them all.
func (u *Upstream) Serves(m *ModelSet) bool {
	if u.Kind != Engine {
		return false
	}
	if len(u.Models) == 0 || m == nil {
		return true
	}
	return slices.ContainsFunc(m.Versions, func(v string) bool { return slices.Contains(u.Models, v) })
}

// carries reports whether some upstream of the set may receive work and passes fit.
func (s *State) carries(set string, fit func(*Upstream) bool) bool {
	us, ok := s.UpstreamSet(set)
	if !ok {
		return false
	}
	for _, name := range us.Upstreams {
		if !s.CanReceiveWork(name) {
			continue
		}
		if u, _ := s.Upstream(name); fit(u) {
			return true
		}
	}
	return false
}

// routeCarried reports whether the route has an upstream that may receive its work.
func (s *State) routeCarried(r *Route) bool {
	if r.Kind == RouteService {
		return s.carries(r.UpstreamSet, func(u *Upstream) bool { return u.Kind == Application })
	}
	m, ok := s.ModelSet(r.ModelSet)
	if !ok && r.ModelSet != "" {
		return false
	}
	return s.carries(r.UpstreamSet, func(u *Upstream) bool { return u.Serves(m) })
}

// Unserved returns the routes, and the client accounts with an upstream set of their own, that have
// no upstream that may receive work.
func (s *State) WithoutUpstream() map[EntryKey]bool {
	out := make(map[EntryKey]bool)
	sets := make(map[string]bool)
	for t, e := range s.All() {
		if e.Change.Deleted {
			continue
		}
		switch t.Kind {
		case KindRoute:
			if !s.routeCarried(e.Change.Route) {
				out[t] = true
			}
		case KindClientAccount:
			set := e.Change.ClientAccount.UpstreamSet
			if set == "" {
				continue
			}
			ok, seen := sets[set]
			if !seen {
				ok = s.carries(set, func(u *Upstream) bool { return u.Kind == Engine })
				sets[set] = ok
			}
			if !ok {
				out[t] = true
			}
		}
	}
	return out
}

// references lists the things that the state of c names.
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

// CheckReferences reports the first thing that a change of t names and that s lacks; s already
// holds t.
func (s *State) CheckReferences(t *Ticket) error {
	for i := range t.Changes {
		c := &t.Changes[i]
		for _, r := range c.references() {
			if _, ok := s.live(r.Kind, r.Name); !ok {
				return fmt.Errorf("%s names %s: %w", c.Key, r, ErrUnknownReference)
			}
		}
	}
	return nil
}
