// Package sagequarantine stops requests that crash the upstreams that execute them.
//
// Such a request is repeated, by its caller or a retry, under a new ID and at any node. With each exchange judged
// on its own, a crash looks like a fault of the upstream, and the request is sent to the next healthy one. A
// [Tracker] connects the attempts by a [Fingerprint] of client account, method, target and body.
//
// # Evidence
//
// When an upstream crashes, every request that it was executing becomes suspect. Nodes report the crashes they see
// to each other ([Report]), so that the crashes under one request add up even if different nodes handled its
// attempts. A crash counts once, however many nodes report it. A request under which [Tracker.Threshold] upstreams
// crashed is quarantined: all nodes refuse it before it reaches an upstream.
//
// Harmless requests also run at upstreams that crash. Two rules protect them. A request that any upstream executes
// completely is cleared on all nodes. And a crash under a quarantined request doesn't count against requests that
// have no other crash.
//
// # Store
//
// Quarantines are written to the platform's store, so that they survive restarts of the nodes.
// [Tracker.Differences] returns the requests that have to be added to or deleted from the store, and
// [Tracker.Restore] and [Tracker.Release] apply changes of the store. A quarantine ends after
// [QuarantineDuration], when an operator deletes the object, or when the request succeeds in a trial, an attempt
// that one node lets through ([Tracker.AllowTrial]).
//
// All collections are bounded. When one is full, the suspect with the oldest crash or the quarantine that ends
// first is evicted.
//
// # Usage
//
//	t := new(sagequarantine.Tracker)
//	f := sagequarantine.FingerprintOf(account, r.Method, r.Host+r.URL.RequestURI(), body)
//	if until, ok := t.QuarantinedUntil(now, f); ok { ... } // refuse it
//	t.RecordCrash(now, sagequarantine.CrashIDOf(upstream, incarnation), f)
//	t.RecordSuccess(now, f)
//	reports, cleared := t.Reports(now, forward) // send to the peers
//	t.Merge(now, reports, cleared)              // on a peer
package sagequarantine
