package sageconfig

import (
	"iter"
	"maps"
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Entry is the newest change of a key, with the number of the ticket that made it.
type Entry struct {
	TicketNumber uint64 `json:"number"`
	Change       Change `json:"change"`
}

// numPartitions is the number of maps that hold the entries of a state. A ticket copies only the maps
// that it changes: about 135 entries each in a state of 34,500.
const numPartitions = 256

// ownerToken identifies the state that may modify a partition in place. It isn't an empty struct,
// because pointers to distinct zero-size values may compare equal.
type ownerToken struct{ _ byte }

// partition is one map of a state. Clones share it until one of them modifies it.
type partition struct {
	owner   *ownerToken
	entries map[EntryKey]Entry
}

// State maps each key to its newest entry. Reading and cloning are safe for concurrent use as long as
// nobody modifies the state: to change a shared state, modify a clone and replace the state with it.
// The zero value is empty and ready for use.
type State struct {
	partitions [numPartitions]*partition
	count      int
	owner      *ownerToken
	cloned     atomic.Bool
}

// NewState returns an empty state.
func NewState() *State { return new(State) }

func partitionIndex(key EntryKey) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(key.Kind))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(key.Name)
	return int(d.Sum64() % numPartitions)
}

// Get returns the newest entry of a key, including deletions.
func (s *State) Get(key EntryKey) (Entry, bool) {
	p := s.partitions[partitionIndex(key)]
	if p == nil {
		return Entry{}, false
	}
	e, ok := p.entries[key]
	return e, ok
}

// TicketNumber returns the ticket number of the newest entry of a key, or 0 if there is none.
func (s *State) TicketNumber(key EntryKey) uint64 {
	e, _ := s.Get(key)
	return e.TicketNumber
}

// Len returns the number of entries, including deletions.
func (s *State) Len() int { return s.count }

// All returns an iterator over all keys and entries, including deletions, in unspecified order.
func (s *State) All() iter.Seq2[EntryKey, Entry] {
	return func(yield func(EntryKey, Entry) bool) {
		for _, p := range s.partitions {
			if p == nil {
				continue
			}
			for key, e := range p.entries {
				if !yield(key, e) {
					return
				}
			}
		}
	}
}

// Apply merges one entry and reports whether it was newer than the entry in s.
func (s *State) Apply(entry Entry) bool {
	key := entry.Change.Key
	i := partitionIndex(key)
	p := s.partitions[i]
	var current Entry
	ok := false
	if p != nil {
		current, ok = p.entries[key]
	}
	if entry.TicketNumber <= current.TicketNumber {
		return false
	}
	if !ok {
		s.count++
	}
	s.writablePartition(i).entries[key] = entry
	return true
}

// writablePartition returns partition i for modification. It first copies a partition that another
// state may share: otherwise concurrent readers of that state would see the change, and possibly only
// part of a ticket.
func (s *State) writablePartition(i int) *partition {
	if s.owner == nil || s.cloned.Load() {
		s.owner = new(ownerToken)
		s.cloned.Store(false)
	}
	p := s.partitions[i]
	switch {
	case p == nil:
		p = &partition{owner: s.owner, entries: make(map[EntryKey]Entry)}
	case p.owner != s.owner:
		p = &partition{owner: s.owner, entries: maps.Clone(p.entries)}
	}
	s.partitions[i] = p
	return p
}

// ApplyTicket merges all changes of t and returns how many were newer than the entries in s.
func (s *State) ApplyTicket(t *Ticket) int {
	applied := 0
	for _, c := range t.Changes {
		if s.Apply(Entry{TicketNumber: t.Number, Change: c}) {
			applied++
		}
	}
	return applied
}

// Merge merges o into s and returns how many entries of s changed.
func (s *State) Merge(o *State) int {
	applied := 0
	for _, e := range o.All() {
		if s.Apply(e) {
			applied++
		}
	}
	return applied
}

// Clone returns a copy. The copy shares all partitions with s until one of the two modifies them.
func (s *State) Clone() *State {
	c := &State{partitions: s.partitions, count: s.count}
	s.cloned.Store(true)
	return c
}

// Names returns the sorted names of all entries of a kind that aren't deleted.
func (s *State) Names(kind Kind) []string {
	var names []string
	for key, e := range s.All() {
		if key.Kind == kind && !e.Change.Deleted {
			names = append(names, key.Name)
		}
	}
	sort.Strings(names)
	return names
}

// lookup returns the newest change of an entry, and false if the entry is absent or deleted.
func (s *State) lookup(kind Kind, name string) (Change, bool) {
	e, ok := s.Get(EntryKey{Kind: kind, Name: name})
	return e.Change, ok && !e.Change.Deleted
}

// Route returns the route with that name.
func (s *State) Route(name string) (*Route, bool) {
	c, ok := s.lookup(KindRoute, name)
	return c.Route, ok
}

// DataCentre returns the data centre with that name.
func (s *State) DataCentre(name string) (*DataCentre, bool) {
	c, ok := s.lookup(KindDataCentre, name)
	return c.DataCentre, ok
}

// Upstream returns the upstream with that name.
func (s *State) Upstream(name string) (*Upstream, bool) {
	c, ok := s.lookup(KindUpstream, name)
	return c.Upstream, ok
}

// UpstreamSet returns the upstream set with that name.
func (s *State) UpstreamSet(name string) (*UpstreamSet, bool) {
	c, ok := s.lookup(KindUpstreamSet, name)
	return c.UpstreamSet, ok
}

// ClientAccount returns the client account with that name.
func (s *State) ClientAccount(name string) (*ClientAccount, bool) {
	c, ok := s.lookup(KindClientAccount, name)
	return c.ClientAccount, ok
}

// ModelSet returns the model set with that name.
func (s *State) ModelSet(name string) (*ModelSet, bool) {
	c, ok := s.lookup(KindModelSet, name)
	return c.ModelSet, ok
}

// Order returns the order with that name.
func (s *State) Order(name string) (*Order, bool) {
	c, ok := s.lookup(KindOrder, name)
	return c.Order, ok
}
