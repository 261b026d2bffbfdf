// Package sagemember keeps each node's view of the other nodes: who is there, in which data centre,
// who is leaving, and which configuration revision each holds.
//
// A [Table] is a section of the anti-entropy exchange ([sagegossip.Section]). Each process start is
// an incarnation of its own with a random number, a heartbeat counter that only it advances, and a
// [Phase] that only moves forward. What travels is a digest: the counters of the nodes of the own
// data centre, a rotating window of the others, and checksums over the records. Only where a
// checksum differs are records sent, most recently changed first, so that the cost of an exchange
// doesn't grow with the number of nodes.
//
// Rules that keep the view right when things fail:
//
//   - A node counts as alive only after its counter was seen to advance, so that an old message,
//     from a node that was paused or a slow path, never brings a departed node back.
//   - A silent node is suspected first. It counts as dead only after several other nodes were asked
//     about it and had no later heartbeat either. Those that are asked try to reach it themselves,
//     over links of their own. One bad link therefore evicts nobody.
//   - A node that was dead and comes back has to stay for the longer the more often it flapped.
//   - A process that was paused distrusts its own view until it has met other nodes again.
//   - When a call to an address is answered by another incarnation than the one known there, the
//     older one is gone for good: an address has one process at a time.
//
// All instants are local instants of receipt; clocks of different nodes are never compared.
//
// [Health] applies the same hysteresis to things that are probed, such as upstreams.
//
// References: van Renesse, Minsky, Hayden, "A Gossip-Style Failure Detection Service", Middleware
// 1998 (heartbeat counters); Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002, sections 3.1 and 4.2 (indirect
// checks, suspicion); Demers et al., PODC 1987, section 1.3 (checksums and recent updates first);
// Dadgar, Phillips, Currey, "Lifeguard", DSN-W 2018 (a slow member distrusts itself first).
//
// # Usage
//
//	t := &sagemember.Table{
//		Self:   sagemember.Node{Address: addr, DataCentre: "derby"},
//		Limits: sagemember.DefaultLimits(),
//	}
//	err := t.Start()
//	...
//	t.Tick() // once a heartbeat period
//	for _, n := range t.Live() {
//		...
//	}
package sagemember
