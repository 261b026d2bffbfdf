// Package sagequarantine stops requests that crash the upstreams that execute them.
//
// Such a request is repeated, by its caller or a retry, under a new ID and at any node. With each exchange judged
// on its own, a crash looks like a fault of the upstream, and the request is sent to the next healthy one. What crashes an
// upstream may also be a part of the prompt, which requests share that have nothing else in common. A [Tracker] connects
// the crashes by what ran there, its [Suspect]s: whole requests, known by a [Fingerprint] of client account, method, target
// and body, and the shared parts of their prompts, known by client account, service, model and the part's ID.
//
// # Evidence
//
// When an upstream crashes, every request that it was executing becomes suspect, and every part of a prompt on which an
// answer was beginning, see [BeginningDuration]. Nodes report the crashes they see to each other ([Report]), so that the
// crashes under one suspect add up even if different nodes handled its attempts. A crash counts once, however many nodes
// report it. A suspect under which [Tracker.Threshold] upstreams crashed is quarantined: all nodes refuse requests that
// hold it before they reach an upstream.
//
// Harmless suspects also run at upstreams that crash. Three rules protect them. One that any upstream executes completely
// after the crash is cleared on all nodes; if it succeeded before, more crashes are needed. Of the suspects that could
// explain a crash, the one with most crashes is quarantined, and what it explains doesn't count against the others. If
// another one later turns out to explain all of that and more, it takes its place.
//
// # Client accounts
//
// Clients write the IDs of parts themselves, and may name any. The crashes of one account therefore bar parts for that
// account only. A part is quarantined for all accounts ([SharedPart]) if crashes under several accounts add up that
// nothing else explains, and no account has used the part with success.
//
// # Store
//
// Quarantines are written to the platform's store, so that they survive restarts of the nodes.
// [Tracker.Differences] returns the suspects that have to be added to or deleted from the store, and
// [Tracker.Restore] and [Tracker.Release] apply changes of the store. A quarantine ends after
// [QuarantineDuration], when an operator deletes the object, or when a request succeeds in a trial, an attempt
// that one node lets through ([Tracker.AllowTrial]).
//
// All collections are bounded. When one is full, the suspect with the fewest crashes or the quarantine that ends
// first is evicted.
//
// # Usage
//
//	t := new(sagequarantine.Tracker)
//	request := sagequarantine.NewRequest(sagequarantine.FingerprintOf(account, r.Method, r.Host+r.URL.RequestURI(), body))
//	part := sagequarantine.NewPart(account, service, model, id)
//	if e := t.Quarantined(now, request, part); len(e) > 0 { ... } // refuse it
//	t.RecordCrash(now, sagequarantine.Crash{ID: sagequarantine.CrashIDOf(upstream, incarnation), At: brokeAt}, request, part)
//	t.RecordSuccess(now, request, part)
//	reports, cleared := t.Reports(now, forward) // send to the peers
//	t.Merge(now, reports, cleared)              // on a peer
package sagequarantine
