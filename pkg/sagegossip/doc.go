// Package sagegossip is the anti-entropy exchange between nodes: each node, a few times a second,
// meets a few peers, and the two bring each other up to date on every registered [Section].
//
// What is exchanged belongs to the sections: membership heartbeats, configuration tickets, load
// estimates. The exchange only moves their digests and deltas within a byte budget, so that what a
// node spends doesn't grow with the number of nodes. [Chooser] picks whom to meet next: mostly a
// node of the own data centre; gateways, which follow from the set of nodes by rendezvous hashing
// and need no agreement, meet a node of another data centre every second time.
//
// Nothing here does I/O or starts a goroutine; a [Transport] carries the messages.
//
// References: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
// PODC 1987, section 1.3 (anti-entropy, push-pull); Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
//
// # Usage
//
// A node registers its sections, in order of importance, and meets a peer now and then:
//
//	e := &sagegossip.Engine{Sections: []sagegossip.Section{members, tickets}, Budget: 8 << 10}
//	err := e.Exchange(ctx, caller, peer.Address)
//
// The node that is met answers Meet with [Engine.Answer] and Push with [Engine.Merge].
package sagegossip
