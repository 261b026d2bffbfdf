// Package sagesync keeps each node's copy of the configuration up to date and decides what may be
// served from it.
//
// A [Replica] holds a revision, the state at that revision, and the newest ticket records. A few nodes
// watch the store ([Watchers]) and pass what they read to their replica ([Replica.ApplyHead],
// [Replica.ApplyLoaded]). The others get it from peers: a Replica is a section of the anti-entropy
// exchange of package sagegossip. A peer that is a few tickets behind receives the missing records in
// order. A peer that is further behind, or has just started, receives the state in chunks that fit the
// byte budget of an exchange, and resumes after a lost chunk. The state from which requests are served
// is replaced atomically, and only by a complete one of a higher revision.
//
// Digests also carry evidence of freshness: "at this instant the store's revision was R", issued by a
// watcher that compared its copy with the store. This needs no further messages. [Rule.Evaluate]
// decides from the evidence what a node may serve; see docs/design/distribution.md.
//
// References: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987,
// section 1.3 (anti-entropy); Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM ToN 6(1), 1998 (rendezvous hashing); Gray, Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency", SOSP 1989 (serving a copy only until a deadline).
//
// # Usage
//
//	r := &sagesync.Replica{Now: time.Now}
//	exchange.Register(r) // the node's anti-entropy exchange
//	if sagesync.IsWatcher("vm-3", live, 2) {
//		r.ApplyHead(head, requestedAt)
//	}
//	switch d := rule.Evaluate(now, r.Status()); d.Level {
//	case sagesync.ServeAll:
//		state := r.Current().State
//	}
package sagesync
