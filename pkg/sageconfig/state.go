package sageconfig

import "sort"

// Entry is the newest change of a thing and the number of the ticket that carried it.
type Entry struct {
	Number uint64 `json:"number"`
	Change Change `json:"change"`
}

// State maps each thing to its newest entry. It is a plain value: whoever shares it between
// goroutines replaces it as a whole, see [State.Clone].
type State struct {
	Entries map[Thing]Entry
}

// NewState returns an empty state.
func NewState() *State { return &State{Entries: make(map[Thing]Entry)} }

// Apply merges one entry and reports whether it was newer than what s held.
func (s *State) Apply(e Entry) bool {
	if e.Number <= s.Entries[e.Change.Thing].Number {
		return false
	}
	s.Entries[e.Change.Thing] = e
	return true
}

// ApplyTicket merges every change of t and returns how many were newer than what s held.
func (s *State) ApplyTicket(t *Ticket) int {
	n := 0
	for _, c := range t.Changes {
		if s.Apply(Entry{Number: t.Number, Change: c}) {
			n++
		}
	}
	return n
}

// Merge joins o into s and returns how many entries changed.
func (s *State) Merge(o *State) int {
	n := 0
	for _, e := range o.Entries {
		if s.Apply(e) {
			n++
		}
	}
	return n
}

// Clone returns a copy that shares the immutable changes.
func (s *State) Clone() *State {
	c := &State{Entries: make(map[Thing]Entry, len(s.Entries))}
	for k, e := range s.Entries {
		c.Entries[k] = e
	}
	return c
}

// Names returns the names of all things of a kind that are not deleted, in order.
func (s *State) Names(kind Kind) []string {
	var names []string
	for t, e := range s.Entries {
		if t.Kind == kind && !e.Change.Deleted {
			names = append(names, t.Name)
		}
	}
	sort.Strings(names)
	return names
}

// live returns the change of a thing unless it is absent or deleted.
func (s *State) live(kind Kind, name string) (Change, bool) {
	e, ok := s.Entries[Thing{Kind: kind, Name: name}]
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
