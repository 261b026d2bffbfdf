// Package sageconfig defines the configuration of the system as a set of entries, and how two copies of
// it are merged.
//
// An [EntryKey] names one configuration entry: a route, a data centre, an upstream, an upstream set, a
// client account, a model set or an order. A [Ticket] is a numbered change and carries the complete new
// value of every entry that it changes. A [State] maps each key to the newest entry seen for it.
// Merging two states keeps the entry with the higher ticket number for each key. This merge is
// commutative, associative and idempotent (the join of a semilattice), so copies that exchange changes
// late, repeatedly or in any order converge and never go back to an older value.
//
// Reference: Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", SSS 2011,
// section 2 (state-based objects).
//
// # Usage
//
//	t, err := sageconfig.DecodeTicket(body)
//	if err != nil {
//		return fmt.Errorf("read ticket: %w", err)
//	}
//	s := sageconfig.NewState()
//	s.ApplyTicket(t)
//	dc, ok := s.DataCentre("derby")
package sageconfig
