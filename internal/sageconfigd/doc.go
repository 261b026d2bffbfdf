// Package sageconfigd is the service "config" of a node: it maintains the node's copy of the configuration,
// decides whether the node may serve requests with it, and accepts tickets.
//
// A few nodes of each data centre watch the store. All nodes exchange the configuration by anti-entropy gossip,
// with the section that [Service.Section] returns. A node that is not a watcher reads the store only while it has
// no configuration, or no recent evidence that its configuration is the newest. It thus stays up to date even if
// all watchers or all its peers fail.
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
