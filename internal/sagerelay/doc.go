// Package sagerelay forwards callers' requests to upstreams and returns the responses.
//
// [Service] is an http.Handler. It matches a request to a route and an account, checks that the
// configuration is fresh, buffers the body and sends the request to an upstream that the [Fleet]
// picks. If that fails, the next step depends on whether the request may be executed again:
//
//   - Nothing was sent, or the upstream declined the request: another upstream is tried.
//   - The exchange failed and the request is repeatable: another upstream is tried, within the
//     route's maximum of attempts and the fleet's retry budget. A resumable stream continues after
//     its last complete event.
//   - The exchange failed and the request must be executed at most once: the response is 502, never
//     a refusal that would say that the request was not executed.
//
// A response is forwarded only if it bears the request's ID and, unless the upstream declined, the
// upstream's seal. Plain responses are buffered until they are complete, streams are forwarded event
// by event. If a stream can't be completed, the caller's connection is closed without the regular
// end of the body, so that a truncated stream can't be taken for a complete one.
//
// The upstream whose first event is passed on fixes the service and software version of a stream. Every later send of it goes
// there or isn't made: by this node, over a peer, or by the node to which the caller returns. [Origins] keeps where streams
// began, see package sageorigin. A return whose stream can't go on is refused as not executed.
//
// If this node has no path to the upstreams of a service, a request takes one hop: it is sent to a peer that has one, a
// [Helper], which serves it with [Service.ServeRelayed] and never sends it to another peer. A peer that can't take a request
// says so in a header, and another one is tried. The node that received the request counts it for the retry budget.
//
// A [Dialect] defines how IDs, keys, deadlines and refusals are written in headers.
//
// # Usage
//
//	s := &sagerelay.Service{Dialect: d, Fleet: f, Origins: o, Log: log}
//	srv := &http.Server{Handler: s}
package sagerelay
