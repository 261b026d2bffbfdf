// Package sagerouter implements the router daemon for platforms whose configuration and upstreams are kept in an
// external store.
//
// A [Node] keeps copies of the store's objects (configuration, upstreams, data centres that are out of service,
// quarantines, rollout orders), exchanges heartbeats with the other nodes, and relays requests. A platform adapter
// supplies a [Decoder] for the objects, a dialect for the protocol of callers and upstreams, a store and settings.
//
// Package sagenode is the daemon for platforms that offer plain named values, with change tickets, claims and an
// interface for callers of its own.
//
// # Usage
//
//	n := &sagerouter.Node{Settings: cfg, Store: store, Kinds: kinds, Decoder: dec, Dialect: dialect, Log: log}
//	if err := n.Open(); err != nil { ... }
//	n.Ready(); n.EntryAddresses(...) // for the readiness and directory handlers
//	err := n.Run(ctx)                // until ctx ends, then a graceful stop
package sagerouter
