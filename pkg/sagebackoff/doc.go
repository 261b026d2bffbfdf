// Package sagebackoff keeps the pauses that overloaded upstreams ask for.
//
// An upstream that declines a request may say for how long it wants no requests from the sender, usually in the header
// Retry-After. A [Tracker] stores the end of the longest pause of each upstream. A pause is an order, not a
// preference: it holds until its end, whatever other results arrive meanwhile, and even if no other upstream is left.
//
// The key of an upstream must differ between its starts, so that a pause ends with the process that asked for it.
// Pauses are kept until they end, whether the upstream is listed or not; their number is limited.
//
// # Usage
//
//	var t sagebackoff.Tracker[string]
//	t.Pause(now, "engine1", now.Add(3*time.Second))
//	if t.PausedUntil(now, "engine1") != 0 {
//		// send the request to another upstream
//	}
//
// # References
//
// RFC 9110, "HTTP Semantics", 2022, section 10.2.3 (Retry-After).
package sagebackoff
