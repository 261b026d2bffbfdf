// Package sagehealth judges upstreams by how their answers end.
//
// Health checks are not asked: an upstream may pass them and fail its requests, or the reverse. A
// [Tracker] counts three kinds of [Result]. A broken exchange (refused, reset, silent) takes an
// upstream out for a while that doubles with each one in a row. Failures that the upstream itself
// reports take it out only when it fails clearly more often than the others of its service: where
// all fail alike, the cause lies in the requests or behind all upstreams, and avoiding one helps
// nobody.
//
// Nodes report broken exchanges to each other. Enough reports eject an upstream as well, unless this node
// itself got an answer of late; the nodes whose own exchanges broke are the ones that try again.
//
// # Usage
//
//	b := &sagehealth.Tracker{Self: "vm1"}
//	b.Note(now, service, upstream, sagehealth.Broken)
//	if b.Avoid(now, service, upstream) {
//		// prefer another one
//	}
//	send(b.Broken(now))                      // to the other nodes
//	b.Reported(now, service, upstream, 2, 1) // two others report it, one request is in flight there
package sagehealth
