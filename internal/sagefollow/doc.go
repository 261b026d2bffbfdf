// Package sagefollow keeps a copy of one kind of objects of the platform's store and the proof of
// how fresh it is.
//
// A [Follower] lists the kind once. Then two nodes ask the store for all: the first by rank watches, so
// that the fleet hears of changes as they happen, and the second polls, since the answer to a call that
// doesn't wait proves at once how fresh the copy is. They tell the others up to which revision they know
// everything and how old their proof is. A node that holds the same content takes the proof over; one
// that lacks changes fetches them from the peer. A node whose proof grows too old, because these two
// died, are cut off or are refused by the store, polls itself, those with a lower rank first. How old a
// proof may get follows from the bound on changes of the kind, [Follower.MaxStaleness].
//
// No call holds a node up: one that isn't answered gets a fresh one beside it, and the first answer
// anywhere in the fleet serves all.
//
// # Usage
//
//	f := &sagefollow.Follower{Kind: "servers", Source: store, Peers: peers, Rank: rank, Apply: apply, ...}
//	go f.Run(ctx)
//	f.Told(peer, position, stamp) // what a peer's heartbeat says
//	f.Since(revision)             // what a peer asks for
//	f.Proof.Age(sageclock.Now())
package sagefollow
