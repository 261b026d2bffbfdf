// Package sagerelay takes callers' requests to upstreams and the answers back.
//
// One [Service] is an http.Handler. A request is matched to a route and an account, checked against
// the freshness of the configuration, read whole, and sent to an upstream that the [Fleet] picks.
// What happens next depends on whether the request may be executed again:
//
//   - nothing was sent, or the upstream says that it did not execute the request: another upstream;
//   - the exchange failed and the request is repeatable: another upstream, within the route's
//     attempts and the fleet's retry budget; a resumable stream goes on after its last whole event;
//   - the exchange failed and the request may be executed once: 502, never a refusal that would say
//     it did not run.
//
// An answer is passed on only if it bears the request's id and, for a success, the upstream's seal;
// plain answers are held until they are whole, streams are passed on event by event, and one that
// can't be completed ends with a closed connection, never with a regular end.
//
// How ids, keys, deadlines and refusals are written on the wire is the [Dialect]'s matter.
//
// # Usage
//
//	s := &sagerelay.Service{Dialect: d, Fleet: f, Log: log}
//	srv := &http.Server{Handler: s}
package sagerelay
