// Package sageconfigd is the service "config" of a node: it keeps the node's copy of the
// configuration, says whether it may be served from, and accepts tickets.
//
// A few nodes of each data centre watch the store; every node takes part in the anti-entropy
// exchange with the section that [Service.Section] returns. A node that is not among the watchers
// asks the store itself only while it has no configuration, or no fresh evidence that its own is the
// newest, so that neither the loss of all watchers nor that of all peers starves it.
//
// # Usage
//
//	s := &sageconfigd.Service{Node: "vm-3", Store: st, Rule: rule, Log: logger}
//	k.Register("config", s)
//	exchange.Sections = append(exchange.Sections, s.Section())
//	if ref := s.Serving(now, idempotent); ref != nil {
//		return ref
//	}
//	state := s.State()
package sageconfigd
