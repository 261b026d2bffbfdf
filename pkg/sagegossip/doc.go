// Package sagegossip implements push-pull anti-entropy between nodes: a few times a second, each node contacts a
// peer, and the two synchronize every registered [Section].
//
// Sections define the state, for example membership heartbeats, configuration tickets or load estimates. The
// [Engine] only exchanges their digests and deltas within a byte budget, so that a node's traffic doesn't grow
// with the number of nodes. A [Chooser] selects the peers, usually nodes of the same data centre. Gateways contact
// a node of another data centre in every second round; they are determined by rendezvous hashing over the known
// nodes, without agreement.
//
// The package does no I/O and starts no goroutines; a [Transport] sends the messages.
//
// References: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
// PODC 1987, section 1.3 (anti-entropy, push-pull); Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
//
// # Usage
//
// A node registers its sections in order of importance and contacts a peer at intervals:
//
//	e := &sagegossip.Engine{Sections: []sagegossip.Section{members, tickets}, Budget: 8 << 10}
//	err := e.Exchange(ctx, transport, peer.Address)
//
// The peer answers Meet with [Engine.Answer] and Push with [Engine.Merge].
package sagegossip
