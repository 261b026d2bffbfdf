// Package sagerouter is the daemon of a router whose configuration and upstreams live in a store
// that others write.
//
// A [Node] follows three kinds of objects (configuration, upstreams, data centres that are out of
// service), exchanges heartbeats with the other nodes, and relays requests. What the objects look
// like is the [Decoder]'s matter and what is spoken with callers and upstreams the dialect's, so
// that a platform's adapter supplies these two, a store and settings, and nothing else.
//
// Beside it, package sagenode is the daemon for a platform that offers plain named values, with
// change tickets, claims and its own callers' interface.
//
// # Usage
//
//	n := &sagerouter.Node{Settings: cfg, Store: store, Kinds: kinds, Decoder: dec, Dialect: dialect, Log: log}
//	if err := n.Open(); err != nil { ... }
//	n.HandleReadiness(mux); n.Locate(...)
//	err := n.Run(ctx) // until ctx ends, then a graceful stop
package sagerouter
