// Package sagefresh tracks how fresh a copy of the store's state is proven to be.
//
// A copy is proven up to an instant if it contains every change that the store acknowledged before that instant. A
// read proves the instant at which the request was sent, not the one at which the answer arrived, since the answer
// may have been delayed for seconds.
//
// # Relayed proofs
//
// A peer with the same content can send the age of its own proof. The age is applied to a stamp that this process
// sent and the peer echoed. The peer answered after it had received the stamp, so the copy is proven up to the
// stamp minus the age, however long the answer was delayed by a slow network, a frozen sender or a suspended
// receiver.
//
// # Usage
//
//	var p sagefresh.Proof
//	sent := sageclock.Now()
//	... // a successful read of the store
//	p.RecordRead(sent)
//	p.RecordRelayed(echoedStamp, ageOfPeerProof)
//	if p.Age(sageclock.Now()) > limit {
//		// the copy may lack acknowledged changes
//	}
package sagefresh
