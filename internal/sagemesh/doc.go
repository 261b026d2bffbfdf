// Package sagemesh exchanges heartbeats between the nodes of a fleet as datagrams.
//
// Each node sends a [Heartbeat] to every other one some times a second, much less often in a large fleet. It
// carries state that changes often and may be lost: whether the node serves, how current its copies of the store
// are, its requests in flight, the upstreams whose exchanges with it break, and which engines have cached which
// prompt parts. Datagrams need no connection, so there is none that can stall unnoticed. Larger data, such as
// the content of copies, is fetched over HTTP ([Fetcher]).
//
// # Aggregators
//
// In a fleet of more than twenty nodes, one node of each data centre is its aggregator and another one the backup
// aggregator. Nodes send heartbeats to both at the shortest interval. The aggregator adds up the counts of its
// nodes, sends the sum to the other aggregators and the total of all data centres to its nodes, and forwards which
// engine has cached which prompt part and which nodes are unresponsive. There is no election: each node regards
// the one with the fastest link among those in contact as the aggregator. Without aggregators, everything but the
// sums and the prompt parts listed by engines still arrives later, with the broadcast rounds. The standby nodes,
// which query the store or stand by to do so, also exchange heartbeats at the shortest interval.
//
// # Liveness
//
// A node without contact for too long is probed, and dropped if it doesn't reply soon. How long that is depends
// on the interval at which its heartbeats are expected. An aggregator's report that a node is unresponsive only
// causes a probe.
//
// # Proofs and identities
//
// A heartbeat echoes the last stamp that its sender received from the receiver, by which the receiver dates the
// content (see package sagefresh). Stamps contain the incarnation of their process, so that a stamp from before a
// restart is never mistaken for a newer one. A heartbeat contains the sender's identity only for receivers that
// have not echoed a stamp of the sender's incarnation.
//
// # Usage
//
//	m := &sagemesh.Service{
//		Name: "vm1", Address: "10.0.0.1:7340", DataCentre: "north", LinkMbps: 200, Seeds: seeds, Fill: fill,
//		FillSum: fillSum, FillUpdates: fillUpdates, OnHeartbeat: onHeartbeat, OnJoined: onJoined, OnLost: onLost,
//	}
//	if err := m.Open(); err != nil { ... }
//	go m.Run(ctx)
//	m.TriggerHeartbeats(true) // send to all nodes now
//	m.Live()                  // the other live nodes
//	m.Rank(false)             // this node's rank among them
package sagemesh
