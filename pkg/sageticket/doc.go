// Package sageticket accepts change tickets by one conditional update of one object.
//
// The head object ([HeadKey]) holds the revision, which counts accepted tickets, and the tail of the
// newest ones. [Acceptor.Submit] reads the head, judges the ticket against the state at that
// revision, and writes the head with the ticket appended on the condition that nobody wrote it
// meanwhile. A ticket that touches many things is therefore accepted whole or not at all, and
// operators who race each other are put into one order.
//
// A fold ([Acceptor.Compact]) moves the tail into [NumShards] shard objects, keyed by a hash of the thing,
// and then shortens the tail. Shards are merged by the join of package sageconfig, so that repeated,
// concurrent and interrupted folds converge.
//
// Shards also remember number, digest and author of past tickets, so that a repeated submission is
// answered truthfully after its fold. They remember about 16,000 numbers. Below that, a floor in
// the head refuses any number whose content may have been forgotten, so that a number has one
// content for good.
//
// References: Shapiro et al., "Conflict-free Replicated Data Types", SSS 2011, section 2, for the
// join. The read back after a lost answer matches by number and digest, which serve as the
// tracking id of Azure Cosmos DB's retriable writes.
//
// # Usage
//
//	a := &sageticket.Acceptor{Store: st}
//	acc, err := a.Submit(ctx, t)
//	switch {
//	case errors.Is(err, sageticket.ErrOutcomeUnknown):
//		// submit the same ticket again
//	case err != nil:
//		// refused: nothing of it was applied
//	}
//	l, err := sageticket.Load(ctx, st) // l.State is that of l.Head.Revision
package sageticket
