// Package sagereach distinguishes upstreams that failed from upstreams that this node can't reach.
//
// An exchange without any answer (the connection can't be opened or breaks, or stays unresponsive) is evidence against the
// upstream or against the path between this node and it. A [Tracker] records for each upstream when it last answered
// this node and since when it hasn't. A failed upstream fails alone, and for all nodes. A failed path shows by its
// spread: several upstreams stop answering this node at the same time, while they answer other nodes.
//
// Nodes report to each other which upstreams don't answer them. A node that gets an answer from a reported upstream
// after the report contradicts it, see [Tracker.Contradicted].
//
// # Usage
//
//	t := &sagereach.Tracker{}
//	t.RecordAnswer(now, service, upstream)
//	spread := t.RecordUnanswered(now, service, upstream)
//	t.RecordReports(now, reportedByPeers)
//	send(t.Contradicted(now)) // to the peers
package sagereach
