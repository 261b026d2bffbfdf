// Package sageconn determines whether any byte of an HTTP request may have been sent, and ends connections so that nothing of
// a request that was given up arrives later.
//
// [Wrap] wraps the connections that a transport dials. A [Tracker] observes one round trip by its
// httptrace hook. If [Tracker.Seal] reports that nothing was sent, it forbids every later write of that
// round trip, so that the caller can safely get a refusal that says the request was not executed.
//
// A connection is examined just before the first byte of a request is written. If the other end has closed it
// or has sent anything since the last response, the write fails, [Tracker.Seal] reports that nothing was sent, and the
// request may be sent on another connection whatever it does. An idle connection of [WrapIdle] is closed after
// a time that [Tracker.SetKeepIdle] sets to what the other end states.
//
// A faulty server may send a second copy of an answer, which arrives before the answer to a later request on the same
// connection. With [Tracker.Owner], such copies are skipped, and a connection is not used again after an answer that doesn't
// say whose it is. So an answer without an ID is no copy. Answers are examined before the transport sees them, since it hands
// out a connection again before it returns an answer without a body.
//
// Heads are checked before the transport sees them: net/http accepts lines that are no fields of HTTP/1. The kernel reports a reset of
// the connection once; if the write of the request gets it, the end of the data that a read finds counts as that error.
//
// After a close in order, the kernel goes on sending what hasn't been acknowledged: bytes that a partition holds up arrive when it
// heals. A reset discards them. So a connection is reset unless its response is complete, also by the end of the process, and
// closed in order between requests. A reset says nothing about whether the request had arrived before.
//
// # Usage
//
// A [Transport] observes all its requests:
//
//	client := &http.Client{Transport: &sageconn.Transport{Base: &http.Transport{DialContext: sageconn.Dialer(dialer.DialContext)}}}
//
// A [Tracker] observes one of them in detail:
//
//	tracker := &sageconn.Tracker{AtMostOnce: true}
//	res, err := tracker.RoundTrip(transport, req.WithContext(tracker.WithTrace(ctx)))
//	if err != nil && tracker.Seal() {
//		// nothing of the request was sent, and nothing will be
//	}
package sageconn
