// Package sagemesh lets the nodes tell each other what they are and know, by datagrams.
//
// Each node sends a [Heartbeat] to every other one some times a second, much less often in a large fleet.
// It carries what changes all the time and may be lost: whether the node serves, how far its copies
// of the store are, its requests in flight, which upstreams fail it, which engines hold which prompt
// parts. Datagrams need no connection, so none can go silent unnoticed. Larger things, the content of
// copies, are fetched over HTTP ([Fetcher]).
//
// # Hubs
//
// In a fleet of more than some twenty nodes one node of each data centre is its hub, and another one its
// deputy. Nodes tell both at the shortest interval. The hub adds up what its nodes count, tells the other hubs the sum and its
// nodes the total, and passes on which engine holds which part and which nodes fell silent. Nobody
// appoints a hub: each node takes the one with the widest link of those that it hears. Without hubs
// everything but the sums and what engines listed still comes with the rounds to all, later. The nodes that stand by for the
// store tell each other at the shortest interval as well.
//
// # Silence
//
// A node that is silent for too long is asked for a heartbeat, and dropped if it does not answer at once. What is
// too long depends on how soon the node has to speak; a hub's word that a node is silent only has it asked.
//
// # Proofs and identities
//
// A heartbeat echoes the stamp of the last one that came from its receiver, by which the receiver
// dates what it is told (see package sagefresh). Stamps carry the incarnation of their process, so
// that one from before a restart is never taken for a newer one. Who the sender is goes only to
// receivers that haven't echoed a stamp of its incarnation.
//
// # Usage
//
//	m := &sagemesh.Service{
//		Name: "vm1", Address: "10.0.0.1:7340", DataCentre: "north", LinkMbps: 200, Seeds: seeds,
//		Fill: fill, FillSum: fillSum, FillNews: fillNews, Heard: heard, Joined: joined, Lost: lost,
//	}
//	if err := m.Open(); err != nil { ... }
//	go m.Run(ctx)
//	m.Nudge(true)      // tell everyone now
//	m.Live()           // the nodes heard of lately
//	m.Rank(false)      // this node's place among them
package sagemesh
