// Package sagequarantine stops requests that crash the upstreams which execute them.
//
// Such a request comes again, from its caller or a retry, under a new id and at any node. Judged one exchange at a
// time, each crash looks like a fault of the upstream, and the request is offered the next healthy one. A [Tracker]
// connects the attempts by what they ask for: a [Fingerprint] of client account, method, target and body.
//
// # Evidence
//
// When an upstream crashes, every request that it was executing becomes suspect. Nodes report the crashes they see
// to each other ([Report]), so that those of one request add up wherever its attempts were handled; a crash counts
// once however many nodes report it. A request under which [Book.Threshold] upstreams crashed is quarantined: it is refused
// by all nodes before it reaches an upstream.
//
// Harmless requests run at upstreams that crash as well. Two things speak for them. One that any upstream executes to
// its end is cleared, everywhere. And a crash under a quarantined request speaks against no request that has no other.
//
// # Store
//
// A quarantine outlasts the nodes in the platform's store. [Book.Differences] says what the store lacks or holds in
// vain, [Book.Restore] and [Book.Release] take in what it holds. It ends after [QuarantineDuration], when an operator deletes the
// object, or when the request succeeds: one node lets an attempt through now and then ([Book.AllowTrial]).
//
// All collections are bounded; the oldest suspects and the quarantines that end first give way.
//
// # Usage
//
//	b := new(sagequarantine.Tracker)
//	fp := sagequarantine.FingerprintOf(account, r.Method, r.Host+r.URL.RequestURI(), body)
//	if until, ok := b.Quarantined(now, fp); ok { ... } // refuse it
//	b.Crashed(now, sagequarantine.CrashIDOf(upstream, born), fp)
//	b.Succeeded(now, fp)
//	reports, cleared := b.Reports(now, relays) // to the other nodes
//	b.Learn(now, reports, cleared)             // from another node
package sagequarantine
