// Package sageticket accepts change tickets by conditional updates of a single object.
//
// The head object ([HeadKey]) holds the revision, which counts accepted tickets, and a tail with the
// records of the newest tickets. [Acceptor.Submit] reads the head, checks the ticket against the
// configuration at that revision, and writes the head with the ticket appended, on the condition that
// the head hasn't changed meanwhile. A ticket is therefore accepted completely or not at all, however
// many entries it changes, and concurrent submissions are put into one order.
//
// Compaction ([Acceptor.Compact]) copies the tail into [NumShards] shard objects, keyed by a hash of
// the entry key, and then shortens the tail. Shards are merged by the semilattice join of package
// sageconfig, so repeated, concurrent and interrupted compactions converge.
//
// Shards also keep the number, digest and author of accepted tickets, so that a repeated submission is
// recognised after its record has left the tail. They keep about 16,000 numbers. The head holds a
// floor: a number at or below it that is in neither tail nor shards is rejected, because its content
// may have been dropped. A number thus never gets a second content.
//
// References: Shapiro et al., "Conflict-free Replicated Data Types", SSS 2011, section 2, for the join.
// After a lost response, the read back matches records by number and digest; these have the role of the
// tracking id in the retriable writes of Azure Cosmos DB.
//
// # Usage
//
//	a := &sageticket.Acceptor{Store: st}
//	accepted, err := a.Submit(ctx, t)
//	switch {
//	case errors.Is(err, sageticket.ErrOutcomeUnknown):
//		// submit the same ticket again
//	case err != nil:
//		// rejected: none of its changes was applied
//	}
//	l, err := sageticket.Load(ctx, st) // l.State is the state at l.Head.Revision
package sageticket
