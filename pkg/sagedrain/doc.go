// Package sagedrain takes a resource out of service without aborting requests: a node of the system, an
// upstream, or the upstreams of a data centre.
//
// A [Machine] goes through four phases. First it serves. When asked to leave, it announces that and
// continues to serve until every location answer that may still direct work to it has expired: answers
// can't be recalled, so it waits for the longest validity that any node may have given. Then it accepts
// no new work and lets running requests finish. It stops when none is left, or at a deadline at which
// the remaining requests are aborted. The caller of the machine logs each of these and ends its stream
// with an explicit error, so that no stream looks complete.
//
// A process that has to end by a stated time can't let every request finish. [Closing] decides which ones it still accepts: those
// whose deadline passes before, and those whose class has lately taken much less than the time that is left ([Durations]).
//
// # Usage
//
//	m := &sagedrain.Machine{
//		AnswerTTL: 30 * time.Second, PropagationDelay: 10 * time.Second, DrainTimeout: 5 * time.Minute,
//	}
//	m.Leave(time.Now()) // and announce it
//	for {
//		switch m.Step(time.Now(), inFlight()) {
//		case sagedrain.Announced: // continue to serve
//		case sagedrain.Draining: // refuse new work
//		case sagedrain.Aborting: // log and abort the remaining requests, then stop
//		case sagedrain.Done: // stop
//		}
//	}
//
// A process with a time limit, for each request:
//
//	estimate, known := durations.Estimate(now, route)
//	if closing != nil && !closing.Accepts(now, deadline, estimate, known) {
//		// refuse it as not run
//	}
//	defer func() { durations.Record(time.Now(), route, time.Since(start)) }()
package sagedrain
