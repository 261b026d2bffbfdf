// Package sagemember is the membership protocol of the fleet. It keeps each node's view of the other
// nodes: which nodes exist, in which data centre, which are leaving, and which configuration revision
// each holds.
//
// A [Table] is a section of the anti-entropy exchange ([sagegossip.Section]). Each start of a process
// is a separate incarnation with a random number, a heartbeat counter that only it advances, and a
// [Phase] that only moves forward. Nodes exchange digests: the heartbeat counters of the nodes of the
// local data centre, a rotating window of those of other data centres, and checksums over the records.
// Records are sent only where a checksum differs, most recently changed first, so that the cost of an
// exchange doesn't grow with the number of nodes.
//
// Rules that keep the view correct under failures:
//
//   - A node counts as alive only after its counter was seen to advance. An old message, from a node that was
//     paused or over a slow path, therefore never revives a departed node.
//   - A node without contact is first suspected. It counts as dead only after several other nodes were asked
//     about it and had no later heartbeat either. The nodes that are asked try to reach it themselves, over
//     their own links, so that one bad link never causes an eviction.
//   - The more often a node has flapped, the more consecutive heartbeats it needs to come back from dead.
//   - A process that was paused treats its own view as unconfirmed until it has been in contact with other
//     nodes again.
//   - When a call to an address is answered by another incarnation than the one known there, the older one is
//     marked as gone permanently: an address has one process at a time.
//
// All instants are times of receipt by the local clock; clocks of different nodes are never compared.
//
// [Health] applies the same hysteresis to targets that are probed, such as upstreams.
//
// References: van Renesse, Minsky, Hayden, "A Gossip-Style Failure Detection Service", Middleware 1998
// (heartbeat counters); Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002, sections 3.1 and 4.2 (indirect checks, suspicion); Demers et
// al., PODC 1987, section 1.3 (checksums and recent updates first); Dadgar, Phillips, Currey,
// "Lifeguard", DSN-W 2018 (a slow member distrusts itself first).
//
// # Usage
//
//	t := &sagemember.Table{
//		Self:   sagemember.Node{Address: addr, DataCentre: "derby"},
//		Limits: sagemember.DefaultLimits(),
//	}
//	err := t.Start()
//	...
//	t.Tick() // once per heartbeat period
//	for _, n := range t.Live() {
//		...
//	}
package sagemember
