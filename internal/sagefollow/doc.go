// Package sagefollow keeps a local copy of all objects of one kind in the platform's store, with a proof of
// how fresh the copy is.
//
// A [Follower] lists the kind once. After that, two nodes query the store for the whole fleet. The node of
// rank 0 watches, so that changes arrive as they happen. The node of rank 1 polls, because the answer to a
// call that doesn't wait for changes proves immediately how fresh the copy is. Both announce to their peers the
// revision up to which their copy is complete and the age of their proof. A peer whose content is the same
// adopts the proof; a peer that lacks changes fetches them from the announcing node. If the two nodes die, are
// cut off or are refused by the store, proofs grow too old and the other nodes poll themselves, lower
// ranks first. The age that triggers this follows from the bound on changes of the kind,
// [Follower.MaxStaleness].
//
// An unanswered call doesn't block a node: a second call is made beside it, and the first answer that any
// node of the fleet receives serves all nodes.
//
// The store may be restored from a copy some seconds old. It then gives out revisions again, in another era, and lacks
// changes that it has confirmed. A [Point] is an era and a revision; answers and peers' positions of earlier eras are
// ignored. Which changes stay in force until they are written again follows from the kind's [RestorePolicy]. Nodes announce up
// to which point they keep such changes, and a node that kept less adopts the copy of one that kept more.
//
// While a copy isn't proven to be complete, objects may be created and deleted that it never contains: changes arrive as one, and
// a listing has no deletions. [Follower.OnGap] reports such gaps.
//
// # Usage
//
//	f := &sagefollow.Follower{Kind: "servers", Source: store, Peers: peers, Rank: rank, Apply: apply, ...}
//	go f.Run(ctx)
//	f.HandlePosition(ctx, peer, position, stamp, fetchNow) // from a peer's heartbeat
//	f.DeltaSince(point)                                 // requested by a peer
//	f.Proof.Age(sageclock.Now())
package sagefollow
