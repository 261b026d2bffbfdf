// Package sagedrain takes something out of service without cutting a request: a node of the system,
// an upstream, or the upstreams of a data centre.
//
// A [Machine] goes through four phases. It serves. When asked to leave it announces that, and serves
// on until every answer that may still send work to it has expired; it can't call those answers
// back, so it waits out the longest that any node could have given. Then it takes no new work and
// lets the running requests finish. It stops when none is left, or at a stated deadline, at which
// the rest has to be cut: the caller of the machine logs each and ends each stream with an explicit
// error, so that none looks finished.
//
// # Usage
//
//	m := &sagedrain.Machine{AnswersLast: 30 * time.Second, SpreadWithin: 10 * time.Second, DrainWithin: 5 * time.Minute}
//	m.Leave(time.Now()) // and announce it
//	for {
//		switch m.Step(time.Now(), inFlight()) {
//		case sagedrain.Announced: // serve on
//		case sagedrain.Draining: // refuse new work
//		case sagedrain.Aborting: // log and end what is left, then stop
//		case sagedrain.Done: // stop
//		}
//	}
package sagedrain
