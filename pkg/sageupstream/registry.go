package sageupstream

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// LapseGrace is how long an entry that lapsed during an outage of the store may stay missing after
// the store's return: the platform promises renewed entries within about two seconds.
const LapseGrace = 2 * time.Second

// returnWindow is how long after an outage a deletion may still be a lapse: the store drops what
// lapsed when it comes back, and a watch may deliver that somewhat later.
const returnWindow = 1500 * time.Millisecond

// LingerTime is how long an upstream whose entry is gone usually goes on running: the shortest time for
// which the platform keeps leaving upstreams up.
const LingerTime = 2 * time.Second

// Entry is what an upstream says of itself.
type Entry struct {
	// ID names one start of an upstream, or several of the same one (see Born).
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is that of the upstream's software.
	Version string
	// Revision is the store's revision at which this start of the upstream was first seen.
	Revision uint64
	Slots    int
	Draining bool
	// ColdUntil is when the upstream will be warm; zero means that it is.
	ColdUntil sageclock.Instant
	// Born distinguishes the starts of one ID; 0 if it isn't told.
	Born int64
}

// Set is an immutable view of the upstreams.
type Set struct {
	services map[string][]*Entry
	all      map[string][]*Entry
	byID     map[string]*Entry
	closed   map[string]bool
	held     map[string]bool
	left     map[string]departed
}

// departed is an upstream whose entry is gone.
type departed struct {
	entry *Entry
	until sageclock.Instant
}

// Of returns the entries of a service that may get new requests, ordered by ID.
func (s *Set) Available(service string) []*Entry {
	if s == nil {
		return nil
	}
	return s.services[service]
}

// All returns the entries of a service, usable or not.
func (s *Set) All(service string) []*Entry {
	if s == nil {
		return nil
	}
	return s.all[service]
}

// Usable reports whether the very entry may get new requests now.
func (s *Set) Usable(e *Entry) bool {
	if s == nil {
		return false
	}
	now, ok := s.byID[e.ID]
	return ok && now.Address == e.Address && now.Born == e.Born && !now.Draining && !s.closed[now.DataCentre] && !s.held[now.ID]
}

// Get returns the entry of an ID, usable or not, or nil.
func (s *Set) Get(id string) *Entry {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// Reachable returns the entry of an ID, also for a while after it is gone, or nil. Such an upstream
// gets no requests, but others can still copy from it.
func (s *Set) Reachable(now sageclock.Instant, id string) *Entry {
	if s == nil {
		return nil
	}
	if e := s.byID[id]; e != nil {
		return e
	}
	if d, ok := s.left[id]; ok && now < d.until {
		return d.entry
	}
	return nil
}

// Len returns the number of entries, usable or not.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byID)
}

// Registry collects entries. It is not safe for concurrent use; the sets that it gives are.
type Registry struct {
	entries map[string]*Entry
	lapsed  map[string]sageclock.Instant // deleted, still used until then
	left    map[string]departed
	ended   []string // stopped, not yet told by Ended
	closed  map[string]bool
	held    map[string]bool

	away     bool
	backAt   sageclock.Instant
	returned bool
}

// Put takes an entry in, or replaces the one of the same ID.
func (r *Registry) Put(e Entry) {
	if r.entries == nil {
		r.entries = make(map[string]*Entry)
	}
	delete(r.lapsed, e.ID)
	r.entries[e.ID] = &e
}

// Delete drops an entry, at once or after [LapseGrace] if it may only have lapsed.
//
// It guards against the loss of every upstream after an outage of the store, whose leases lapse
// together: callers would be refused until the upstreams have registered again. What lapsed is back two
// seconds after the store's return, so the grace ends then, however late the removal is seen: a node that
// was merely cut off sees upstreams leave that did not lapse.
func (r *Registry) Delete(now sageclock.Instant, id string) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	lapse := r.away || r.returned && now.Sub(r.backAt) < returnWindow
	if !lapse || e.Draining {
		r.drop(now, e)
		return
	}
	if r.lapsed == nil {
		r.lapsed = make(map[string]sageclock.Instant)
	}
	if _, ok := r.lapsed[id]; ok {
		return
	}
	from := now
	if !r.away {
		from = r.backAt
	}
	r.lapsed[id] = from.Add(LapseGrace)
}

// drop takes an entry out.
func (r *Registry) drop(now sageclock.Instant, e *Entry) {
	delete(r.entries, e.ID)
	delete(r.lapsed, e.ID)
	if r.left == nil {
		r.left = make(map[string]departed)
	}
	r.sweep(now)
	r.left[e.ID] = departed{entry: e, until: now.Add(LingerTime)}
}

// sweep takes note of the departed upstreams that have stopped.
func (r *Registry) sweep(now sageclock.Instant) {
	for id, d := range r.left {
		if now < d.until {
			continue
		}
		delete(r.left, id)
		if r.entries[id] == nil {
			r.ended = append(r.ended, id)
		}
	}
}

// Ended returns the IDs of departed upstreams that have stopped since it was last called.
func (r *Registry) TakeStopped(now sageclock.Instant) []string {
	r.sweep(now)
	out := r.ended
	r.ended = nil
	return out
}

// Keep deletes every entry whose ID the complete listing does not hold.
func (r *Registry) Retain(now sageclock.Instant, listed map[string]bool) {
	for id := range r.entries {
		if !listed[id] {
			r.Delete(now, id)
		}
	}
}

// Away notes that the store does not answer.
func (r *Registry) StoreUnreachable() { r.away = true }

// Back notes that the store answers. Lapsed entries get their grace from here on.
func (r *Registry) StoreReachable(now sageclock.Instant) {
	if !r.away {
		return
	}
	r.away, r.returned, r.backAt = false, true, now
	for id := range r.lapsed {
		r.lapsed[id] = now.Add(LapseGrace)
	}
}

// Settle drops the lapsed entries whose grace is over, and reports whether there were any.
func (r *Registry) ExpireLapsed(now sageclock.Instant) bool {
	if r.away {
		return false
	}
	dropped := false
	for id, until := range r.lapsed {
		if now >= until {
			r.drop(now, r.entries[id])
			dropped = true
		}
	}
	return dropped
}

// Close takes data centres out of service; those not named are in service.
func (r *Registry) SetClosedDataCentres(dataCentres map[string]bool) { r.closed = dataCentres }

// Hold keeps the upstreams of some IDs without requests; those not named may get some.
func (r *Registry) SetExcluded(ids map[string]bool) { r.held = ids }

// Each calls visit for each entry.
func (r *Registry) Each(visit func(e *Entry)) {
	for _, e := range r.entries {
		visit(e)
	}
}

// Set returns the present view.
func (r *Registry) Snapshot() *Set {
	s := &Set{
		services: make(map[string][]*Entry),
		all:      make(map[string][]*Entry),
		byID:     make(map[string]*Entry, len(r.entries)),
		closed:   make(map[string]bool, len(r.closed)),
		held:     r.held,
		left:     maps.Clone(r.left),
	}
	for dc := range r.closed {
		s.closed[dc] = true
	}
	for id, e := range r.entries {
		s.byID[id] = e
		s.all[e.Service] = append(s.all[e.Service], e)
		if !e.Draining && !s.closed[e.DataCentre] && !s.held[id] {
			s.services[e.Service] = append(s.services[e.Service], e)
		}
	}
	for _, es := range s.services {
		slices.SortFunc(es, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}
