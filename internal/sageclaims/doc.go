// Package sageclaims is the service "claims" of a node: it claims idempotency keys before a request
// is sent to an upstream, and records how the request ended.
//
// Claims of one object are collected by one node, its owner: the first in a rendezvous order of the
// live nodes. The owner only saves writes. When it can't be reached, or can't reach the store, the
// node commits by itself, under the same claim id, and the conditional update decides.
//
// What a caller is told, by what stands in the store:
//
//	no claim, or a released one     the request runs
//	claimed, in flight              wait inside the own deadline, then already_run, key_in_use
//	claimed, its deadline passed    already_run, answer_lost; a person has to settle it
//	finished                        already_run, with the answer while it is held
//	another request of that key     not_run, bad_request
//	store unavailable               not_run at once, unless this node knows of a claim of that key
//
// A refusal speaks of one sending of a request: "not_run" says that this sending was not run. Whether
// an earlier sending with the same key ran can't be known while the store is down; the detail of
// the refusal says so, and sending again with the same key is always safe.
//
// # Usage
//
//	s := &sageclaims.Service{Rules: rules, Committer: &sageclaim.Committer{Store: st, Window: w},
//		Self: "10.0.0.1:7002", Peers: live, Dial: dial, HeldBytes: 4 << 20}
//	err := s.Run(ctx)
package sageclaims
