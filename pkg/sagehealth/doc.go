// Package sagehealth implements passive health checks: it judges upstreams by the results of requests.
//
// Active health checks aren't used, since an upstream may pass them and fail its requests, or the reverse. A
// [Tracker] distinguishes three kinds of [Result]. A broken exchange (refused, reset, without an answer) excludes
// an upstream for a time that doubles with each further one, up to a limit. Failures that the upstream reports
// itself exclude it only if it fails clearly more often than the other upstreams of its service: if all fail
// alike, the cause is in the requests or in a common dependency, and avoiding one upstream doesn't help.
//
// Nodes report broken exchanges to each other. Enough reports eject an upstream as well, unless this node itself
// got an answer from it recently. The nodes whose own exchanges broke are the ones that try it again.
//
// # Usage
//
//	t := &sagehealth.Tracker{Self: "vm1"}
//	t.Record(now, service, upstream, sagehealth.Broken)
//	if t.Avoid(now, service, upstream) {
//		// prefer another one
//	}
//	send(t.RecentlyBroken(now))                   // to the other nodes
//	t.RecordReports(now, service, upstream, 2, 1) // two other nodes report it, one request is in flight there
package sagehealth
