// Package sagemesh lets the nodes tell each other what they are and know, by datagrams.
//
// Each node sends a [Heartbeat] to every other one some times a second, less often in a large fleet.
// It carries what changes all the time and may be lost: whether the node serves, how far its copies
// of the store are, its requests in flight, which upstreams fail it, which engines hold which prompt
// parts. In a large fleet one node of each data centre gathers the counts in flight more often and passes
// sums on, and the nodes that stand by for the store tell each other more often. Datagrams need no
// connection, so none can go silent unnoticed. Larger things, the content of copies, are fetched over
// HTTP ([Service.Fetch]).
//
// A heartbeat echoes the stamp of the last one that came from its receiver, by which the receiver
// dates what it is told (see package sagefresh). Stamps carry the incarnation of their process, so
// that one from before a restart is never taken for a newer one. Who the sender is goes only to
// receivers that haven't echoed a stamp of its incarnation.
//
// # Usage
//
//	m := &sagemesh.Service{Name: "vm1", Address: "10.0.0.1:7340", Seeds: seeds, Fill: fill, Heard: heard}
//	if err := m.Open(); err != nil { ... }
//	go m.Run(ctx)
//	m.Nudge(true)      // tell everyone now
//	m.Live()           // the nodes heard of lately
//	m.Rank(false)      // this node's place among them
package sagemesh
