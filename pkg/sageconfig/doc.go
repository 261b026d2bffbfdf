// Package sageconfig defines the configuration of the system as things, and how states of it merge.
//
// A [EntryKey] is what a change ticket can touch: a route, a data centre, an upstream, an upstream
// set, a client account, a model set or an order. A [Ticket] has a number and carries the whole
// new state of each thing that it touches. A [State] maps each thing to the newest change it has
// seen. Merging takes the higher ticket number for each thing; this merge is commutative,
// associative and idempotent (a join of a semilattice), so copies that exchange changes in any
// order, late or repeatedly, converge and never revert.
//
// Reference: Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types",
// SSS 2011, section 2 (state-based objects).
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
