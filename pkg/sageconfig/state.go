package sageconfig

import (
	"iter"
	"maps"
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Entry is the newest change of a thing and the number of the ticket that carried it.
type Entry struct {
	TicketNumber uint64 `json:"number"`
	Change       Change `json:"change"`
}

// stateParts is the number of maps that a state spreads its things over. A ticket copies those that
// it touches; at 34,500 things each holds about 135.
const stateParts = 256

// owner marks the parts that a state may change in place. It has a size, since pointers to values
// of no size may be equal.
type owner struct{ _ byte }

// statePart is one map of a state, shared by the states that were cloned from each other until one
// of them changes it.
type statePart struct {
	owner   *owner
	entries map[EntryKey]Entry
}

// State maps each thing to its newest entry. Reading and cloning are safe for concurrent use as long
// as nobody changes it: whoever shares a state changes a clone and replaces the state as a whole.
// The zero value is empty and ready for use.
type State struct {
	parts  [stateParts]*statePart
	n      int
	owner  *owner
	cloned atomic.Bool
}

// NewState returns an empty state.
func NewState() *State { return new(State) }

func partOf(t EntryKey) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(t.Kind))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(t.Name)
	return int(d.Sum64() % stateParts)
}

// Get returns the newest entry of a thing, that of a deleted one included.
func (s *State) Get(t EntryKey) (Entry, bool) {
	p := s.parts[partOf(t)]
	if p == nil {
		return Entry{}, false
	}
	e, ok := p.entries[t]
	return e, ok
}

// Number returns the ticket number of a thing's newest entry, 0 if it has none.
func (s *State) TicketNumber(t EntryKey) uint64 {
	e, _ := s.Get(t)
	return e.TicketNumber
}

// Len returns the number of things, deleted ones included.
func (s *State) Len() int { return s.n }

// All yields every thing with its entry, deleted ones included, in no order.
func (s *State) All() iter.Seq2[EntryKey, Entry] {
	return func(yield func(EntryKey, Entry) bool) {
		for _, p := range s.parts {
			if p == nil {
				continue
			}
			for t, e := range p.entries {
				if !yield(t, e) {
					return
				}
			}
		}
	}
}

// Apply merges one entry and reports whether it was newer than what s held.
func (s *State) Apply(e Entry) bool {
	t := e.Change.Key
	i := partOf(t)
	p := s.parts[i]
	var have Entry
	ok := false
	if p != nil {
		have, ok = p.entries[t]
	}
	if e.TicketNumber <= have.TicketNumber {
		return false
	}
	if !ok {
		s.n++
	}
	s.own(i).entries[t] = e
	return true
}

// own returns part i for changing. A part that another state shares is copied first; else readers of
// that state would see the change, and one half of its ticket.
func (s *State) own(i int) *statePart {
	if s.owner == nil || s.cloned.Load() {
		s.owner = new(owner)
		s.cloned.Store(false)
	}
	p := s.parts[i]
	switch {
	case p == nil:
		p = &statePart{owner: s.owner, entries: make(map[EntryKey]Entry)}
	case p.owner != s.owner:
		p = &statePart{owner: s.owner, entries: maps.Clone(p.entries)}
	}
	s.parts[i] = p
	return p
}

// ApplyTicket merges every change of t and returns how many were newer than what s held.
func (s *State) ApplyTicket(t *Ticket) int {
	n := 0
	for _, c := range t.Changes {
		if s.Apply(Entry{TicketNumber: t.Number, Change: c}) {
			n++
		}
	}
	return n
}

// Merge joins o into s and returns how many entries changed.
func (s *State) Merge(o *State) int {
	n := 0
	for _, e := range o.All() {
		if s.Apply(e) {
			n++
		}
	}
	return n
}

// Clone returns a copy. It shares what neither of the two changes afterwards.
func (s *State) Clone() *State {
	c := &State{parts: s.parts, n: s.n}
	s.cloned.Store(true)
	return c
}

// Names returns the names of all things of a kind that are not deleted, in order.
func (s *State) Names(kind Kind) []string {
	var names []string
	for t, e := range s.All() {
		if t.Kind == kind && !e.Change.Deleted {
			names = append(names, t.Name)
		}
	}
	sort.Strings(names)
	return names
}

// live returns the change of a thing unless it is absent or deleted.
func (s *State) live(kind Kind, name string) (Change, bool) {
	e, ok := s.Get(EntryKey{Kind: kind, Name: name})
	return e.Change, ok && !e.Change.Deleted
}

// Route returns the route of that name.
func (s *State) Route(name string) (*Route, bool) {
	c, ok := s.live(KindRoute, name)
	return c.Route, ok
}

// DataCentre returns the data centre of that name.
func (s *State) DataCentre(name string) (*DataCentre, bool) {
	c, ok := s.live(KindDataCentre, name)
	return c.DataCentre, ok
}

// Upstream returns the upstream of that name.
func (s *State) Upstream(name string) (*Upstream, bool) {
	c, ok := s.live(KindUpstream, name)
	return c.Upstream, ok
}

// UpstreamSet returns the upstream set of that name.
func (s *State) UpstreamSet(name string) (*UpstreamSet, bool) {
	c, ok := s.live(KindUpstreamSet, name)
	return c.UpstreamSet, ok
}

// ClientAccount returns the client account of that name.
func (s *State) ClientAccount(name string) (*ClientAccount, bool) {
	c, ok := s.live(KindClientAccount, name)
	return c.ClientAccount, ok
}

// ModelSet returns the model set of that name.
func (s *State) ModelSet(name string) (*ModelSet, bool) {
	c, ok := s.live(KindModelSet, name)
	return c.ModelSet, ok
}

// Order returns the order of that name.
func (s *State) Order(name string) (*Order, bool) {
	c, ok := s.live(KindOrder, name)
	return c.Order, ok
}
