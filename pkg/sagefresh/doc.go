// Package sagefresh keeps the proof of how fresh a copy of the store's state is.
//
// A copy is proven up to an instant: every change that the store acknowledged before it is part of
// the copy. An answered read proves the instant at which it was sent, never the one at which its
// answer came, since the answer may have lain somewhere for seconds.
//
// # Relayed proofs
//
// A peer that holds the same content can pass its own proof on, with its age. The age is counted
// from a stamp that this process sent and the peer echoed: the peer spoke after it had received the
// stamp, so the proven instant is the stamp less the age, however long the peer's message was
// delayed by a slow network, a frozen sender or a suspended receiver.
//
// # Usage
//
//	var p sagefresh.Proof
//	sent := sageclock.Now()
//	... // an answered read
//	p.Own(sent)
//	p.Relayed(stampThatThePeerEchoed, ageThatThePeerTold)
//	if p.Age(sageclock.Now()) > limit {
//		// a change may have been acknowledged that this copy lacks
//	}
package sagefresh
