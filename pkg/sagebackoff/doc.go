// Package sagebackoff keeps the back-off from upstreams that decline requests.
//
// An upstream that declines a request may say for how long it wants no requests from the sender, usually in the header
// Retry-After. [Pauses] stores the end of the longest pause of each upstream. A pause is an order, not a
// preference: it holds until its end, whatever other results arrive meanwhile, and even if no other upstream is left.
//
// An upstream that declines without saying for how long is in [Declines]. The sender backs off for a time that doubles
// with each decline in a row. This is only a preference: a declining upstream answers at once and has little load, so
// it would otherwise attract requests while others are idle, but it may be the only one left.
//
// The key of an upstream must differ between its starts, so that the back-off ends with the process that asked for it.
// Records are kept until they end, whether the upstream is listed or not; their number is limited.
//
// # Usage
//
//	var p sagebackoff.Pauses[string]
//	p.Pause(now, "engine1", now.Add(3*time.Second))
//	if p.PausedUntil(now, "engine1") != 0 {
//		// send the request to another upstream
//	}
//
//	var d sagebackoff.Declines[string]
//	d.RecordDecline(now, "engine2")
//	switch d.State(now, "engine2") {
//	case sagebackoff.BackingOff:
//		// prefer another one
//	case sagebackoff.TrialDue:
//		d.BeginTrial(now, "engine2") // if the request can be retried when it is declined
//	}
//	d.RecordAccept("engine2")
//
// # References
//
// RFC 9110, "HTTP Semantics", 2022, section 10.2.3 (Retry-After); Brooker, "Exponential Backoff And Jitter", 2015
// (equal jitter).
package sagebackoff
