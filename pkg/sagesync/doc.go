// Package sagesync keeps each node's copy of the configuration up to date and says whether it may
// be served from.
//
// A [Replica] holds a revision, the state at that revision, and the newest records. Few nodes watch
// the store ([Watchers]); they feed what they read to their replica ([Replica.ApplyHead],
// [Replica.ApplyLoaded]). The others learn from peers: a Replica is a section of the anti-entropy
// exchange of package sagegossip. A peer that is some tickets behind gets the records it lacks, in
// order; one that is further behind, or has just started, gets the state in chunks that fit the
// exchange's byte budget, and resumes after a lost one. The state that requests are served from is
// replaced as a whole, and only by that of a complete, higher revision.
//
// Digests also carry evidence of freshness: "at this instant the store's revision was R", issued by
// a watcher that compared its copy with the store. It costs no further messages. [Rule.Evaluate] turns
// the evidence into what a node may serve, see docs/design/distribution.md.
//
// References: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987,
// section 1.3 (anti-entropy); Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", IEEE/ACM ToN 6(1), 1998 (rendezvous hashing); Gray, Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989 (serving a copy only
// until a deadline).
//
// # Usage
//
//	r := &sagesync.Replica{Now: time.Now}
//	exchange.Register(r) // the node's anti-entropy exchange
//	if sagesync.IsWatcher("vm-3", live, 2) {
//		r.TakeHead(head, askedAt)
//	}
//	switch v := rule.Judge(now, r.Standing()); v.May {
//	case sagesync.ServeAll:
//		state := r.Current().State
//	}
package sagesync
