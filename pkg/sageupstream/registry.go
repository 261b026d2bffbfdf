package sageupstream

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// LapseGrace is the time after a store outage in which an entry that lapsed may still be renewed. The
// platform promises renewed entries within about two seconds.
const LapseGrace = 2 * time.Second

// lapseWindow is the time after a store outage in which a deletion may still be a lapse. The store
// deletes lapsed entries when it returns, and a watch may deliver the deletions somewhat later.
const lapseWindow = 1500 * time.Millisecond

// LingerTime is the time for which an upstream usually continues to run after its entry is gone. It
// is the shortest time for which the platform keeps leaving upstreams running.
const LingerTime = 2 * time.Second

// MaxSlots is more than any upstream has, and so few that sums don't overflow.
const MaxSlots = 100_000

// Entry is the registration of an upstream.
type Entry struct {
	// ID identifies one start of an upstream, or its successive starts (see Born).
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the upstream's software.
	Version string
	// Era and Revision are the point in the store's history at which this start of the upstream was first observed.
	Era, Revision uint64
	// Created is the store's revision at which the upstream's entry was created; 0 if unknown.
	Created uint64
	// Slots is the number of requests that the upstream runs at a time, 0 if unknown. The [Registry] limits it to
	// [MaxSlots]; a negative one counts as unknown.
	Slots    int
	Draining bool
	// LeaveAnnounced is set by the [Registry] if this start of the upstream announced in a response that it leaves.
	// Draining is set as well.
	LeaveAnnounced bool
	// ColdUntil is the time at which the upstream will be warm; zero if it is warm.
	ColdUntil sageclock.Instant
	// Born distinguishes the starts of one ID, later ones having greater values; 0 if unknown.
	Born int64
}

// Start identifies one start of an upstream. What an upstream says of itself ends with its start.
type Start struct {
	ID, Address string
	Born        int64
}

// Start returns the start that the entry describes.
func (e *Entry) Start() Start { return Start{e.ID, e.Address, e.Born} }

// Set is an immutable snapshot of the upstreams.
type Set struct {
	available         map[string][]*Entry
	all               map[string][]*Entry
	byID              map[string]*Entry
	closedDataCentres map[string]bool
	excluded          map[string]bool
	departed          map[string]departedEntry
}

// departedEntry is the entry of an upstream that was removed, with the time until which it may still
// run.
type departedEntry struct {
	entry *Entry
	until sageclock.Instant
}

// Available returns the entries of a service that may get new requests, ordered by ID.
func (s *Set) Available(service string) []*Entry {
	if s == nil {
		return nil
	}
	return s.available[service]
}

// All returns all entries of a service, usable or not.
func (s *Set) All(service string) []*Entry {
	if s == nil {
		return nil
	}
	return s.all[service]
}

// ServingVersions returns the versions of a service that have an upstream which can serve: it is neither draining nor in a
// closed data centre. An upstream that is excluded for the moment counts.
func (s *Set) ServingVersions(service string) []string {
	if s == nil {
		return nil
	}
	var out []string
	for _, e := range s.all[service] {
		if !e.Draining && !s.closedDataCentres[e.DataCentre] && !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
}

// Usable reports whether this start of the upstream, at this address, may get new requests.
func (s *Set) Usable(e *Entry) bool {
	if s == nil {
		return false
	}
	current, ok := s.byID[e.ID]
	return ok && current.Start() == e.Start() && !current.Draining && !s.closedDataCentres[current.DataCentre] && !s.excluded[current.ID]
}

// LeaveAnnounced reports whether the set already shows that this start of an upstream announced that it leaves.
func (s *Set) LeaveAnnounced(start *Entry) bool {
	current := s.Get(start.ID)
	return current != nil && current.LeaveAnnounced && current.Start() == start.Start()
}

// Get returns the entry with the ID, usable or not; nil if there is none.
func (s *Set) Get(id string) *Entry {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// Reachable returns the entry with the ID, also for [LingerTime] after its removal; nil if there is
// none. A removed upstream gets no requests, but others can still copy from its cache.
func (s *Set) Reachable(now sageclock.Instant, id string) *Entry {
	if s == nil {
		return nil
	}
	if e := s.byID[id]; e != nil {
		return e
	}
	if d, ok := s.departed[id]; ok && now < d.until {
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

// Registry holds the current entries. It is not safe for concurrent use; its snapshots are.
type Registry struct {
	entries           map[string]*Entry
	lapsed            map[string]sageclock.Instant // end of the grace period of deleted entries
	departed          map[string]departedEntry
	leaving           leavingStarts
	stopped           []string // not yet returned by TakeStopped
	closedDataCentres map[string]bool
	excluded          map[string]bool

	storeUnreachable bool
	storeReachableAt sageclock.Instant
	hadOutage        bool
}

// Put adds an entry or replaces the one with the same ID. A start that announced that it leaves is
// draining, whatever its entry says.
func (r *Registry) Put(e Entry) {
	if r.entries == nil {
		r.entries = make(map[string]*Entry)
	}
	delete(r.lapsed, e.ID)
	e.Slots = min(max(0, e.Slots), MaxSlots)
	if r.leaving.contains(&e) {
		e.Draining, e.LeaveAnnounced = true, true
	}
	r.entries[e.ID] = &e
}

// AnnounceLeaving records that a start of an upstream announced in a response that it leaves, and
// reports whether that changed its entry.
//
// The store may not show it: it may be out, or not have accepted the upstream's write. The
// announcement ends with the start, since a process that leaves doesn't change its mind.
func (r *Registry) AnnounceLeaving(now sageclock.Instant, start *Entry) bool {
	r.leaving.add(now, start)
	current := r.entries[start.ID]
	if current == nil || current.Start() != start.Start() || current.LeaveAnnounced {
		return false
	}
	e := *current // snapshots share the present one
	e.Draining, e.LeaveAnnounced = true, true
	r.entries[e.ID] = &e
	return true
}

// LeaveAnnounced reports whether this start of an upstream announced that it leaves.
func (r *Registry) LeaveAnnounced(start *Entry) bool { return r.leaving.contains(start) }

// Delete removes an entry immediately, or after [LapseGrace] if it may have lapsed during a store
// outage.
//
// The leases of all upstreams lapse together during an outage. Without the grace period callers would
// be refused until the upstreams have registered again. Lapsed entries are renewed within two seconds
// of the store's return, so the grace period starts then, however late the deletion arrives. If only
// this node was cut off, upstreams that leave did not lapse, and a later start of the grace period would
// keep them in use for too long.
func (r *Registry) Delete(now sageclock.Instant, id string) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	mayHaveLapsed := r.storeUnreachable || r.hadOutage && now.Sub(r.storeReachableAt) < lapseWindow
	if !mayHaveLapsed || e.Draining {
		r.remove(now, e)
		return
	}
	if r.lapsed == nil {
		r.lapsed = make(map[string]sageclock.Instant)
	}
	if _, ok := r.lapsed[id]; ok {
		return
	}
	from := now
	if !r.storeUnreachable {
		from = r.storeReachableAt
	}
	r.lapsed[id] = from.Add(LapseGrace)
}

// remove removes an entry and adds it to the departed ones.
func (r *Registry) remove(now sageclock.Instant, e *Entry) {
	delete(r.entries, e.ID)
	delete(r.lapsed, e.ID)
	if e.Born == 0 {
		r.leaving.forget(e) // the next start can't be distinguished from this one
	}
	if r.departed == nil {
		r.departed = make(map[string]departedEntry)
	}
	r.sweepDeparted(now)
	r.departed[e.ID] = departedEntry{entry: e, until: now.Add(LingerTime)}
}

// sweepDeparted moves departed upstreams whose linger time is over to the stopped ones, unless they
// have registered again.
func (r *Registry) sweepDeparted(now sageclock.Instant) {
	for id, d := range r.departed {
		if now < d.until {
			continue
		}
		delete(r.departed, id)
		if r.entries[id] == nil {
			r.stopped = append(r.stopped, id)
		}
	}
}

// TakeStopped returns the IDs of departed upstreams that have stopped since the last call.
func (r *Registry) TakeStopped(now sageclock.Instant) []string {
	r.sweepDeparted(now)
	out := r.stopped
	r.stopped = nil
	return out
}

// Retain deletes every entry whose ID isn't in present, a complete listing of the store.
func (r *Registry) Retain(now sageclock.Instant, present map[string]bool) {
	for id := range r.entries {
		if !present[id] {
			r.Delete(now, id)
		}
	}
}

// StoreUnreachable records that the store doesn't answer.
func (r *Registry) StoreUnreachable() { r.storeUnreachable = true }

// StoreReachable records that the store answers. The grace period of lapsed entries starts now.
func (r *Registry) StoreReachable(now sageclock.Instant) {
	if !r.storeUnreachable {
		return
	}
	r.storeUnreachable, r.hadOutage, r.storeReachableAt = false, true, now
	for id := range r.lapsed {
		r.lapsed[id] = now.Add(LapseGrace)
	}
}

// ExpireLapsed removes the lapsed entries whose grace period is over and reports whether there were
// any.
func (r *Registry) ExpireLapsed(now sageclock.Instant) bool {
	if r.storeUnreachable {
		return false
	}
	r.leaving.sweep(now, r.entries)
	dropped := false
	for id, until := range r.lapsed {
		if now >= until {
			r.remove(now, r.entries[id])
			dropped = true
		}
	}
	return dropped
}

// SetClosedDataCentres sets the data centres that are out of service. All others are in service.
func (r *Registry) SetClosedDataCentres(dataCentres map[string]bool) {
	r.closedDataCentres = dataCentres
}

// SetExcluded sets the IDs of upstreams that get no requests. It replaces the previous ones.
func (r *Registry) SetExcluded(ids map[string]bool) { r.excluded = ids }

// Each calls visit for each entry, in no particular order.
func (r *Registry) Each(visit func(e *Entry)) {
	for _, e := range r.entries {
		visit(e)
	}
}

// Snapshot returns the current set of upstreams.
func (r *Registry) Snapshot() *Set {
	s := &Set{
		available:         make(map[string][]*Entry),
		all:               make(map[string][]*Entry),
		byID:              make(map[string]*Entry, len(r.entries)),
		closedDataCentres: make(map[string]bool, len(r.closedDataCentres)),
		excluded:          r.excluded,
		departed:          maps.Clone(r.departed),
	}
	for dc := range r.closedDataCentres {
		s.closedDataCentres[dc] = true
	}
	for id, e := range r.entries {
		s.byID[id] = e
		s.all[e.Service] = append(s.all[e.Service], e)
		if !e.Draining && !s.closedDataCentres[e.DataCentre] && !s.excluded[id] {
			s.available[e.Service] = append(s.available[e.Service], e)
		}
	}
	for _, es := range s.available {
		slices.SortFunc(es, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}
