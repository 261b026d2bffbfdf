// Package sagefollow keeps a copy of one kind of objects of the platform's store and the proof of
// how fresh it is.
//
// A [Follower] lists the kind once and then watches it. Not every node has to: the two nodes that
// come first by rank always watch, and tell the others up to which revision they know everything
// and how old their proof is. A node that holds the same content takes the proof over; one that
// lacks changes fetches them from the peer. A node whose proof grows too old, because the watchers
// died, are cut off or are refused by the store, asks the store itself, those with a lower rank
// first.
//
// # Usage
//
//	f := &sagefollow.Follower{Kind: "servers", Source: store, Peers: peers, Rank: rank, Apply: apply, ...}
//	go f.Run(ctx)
//	f.Told(peer, position, stamp) // what a peer's heartbeat says
//	f.Since(revision)             // what a peer asks for
//	f.Proof.Age(sageclock.Now())
package sagefollow
