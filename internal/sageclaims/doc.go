// Package sageclaims is the service "claims" of a node: it claims idempotency keys before a request
// is sent to an upstream, and records how the request ended.
//
// The claims of one object are batched by one node, its owner: the first of the live nodes in a rendezvous
// order. The owner only reduces the number of writes. If the owner can't be reached, or can't reach the store,
// the node commits the claim itself under the same claim id, and the store's conditional update decides which
// claim of a key is granted.
//
// The response to a request depends on the record of its key in the store:
//
//	no claim, or a released one     the request runs
//	claimed, in flight              waits up to the request's deadline, then already_run, key_in_use
//	claimed, its deadline passed    already_run, answer_lost; an operator has to resolve it
//	finished                        already_run, with the answer while it is cached
//	claimed by a different request  not_run, bad_request
//	store unavailable               not_run immediately, unless this node has a claim of the key in its cache
//
// A refusal refers to one attempt of the caller: "not_run" says that this attempt was not run. While the store is
// unavailable, it can't be known whether an earlier attempt with the same key ran; the detail of the refusal says
// so. To send the request again with the same key is always safe.
//
// # Usage
//
//	s := &sageclaims.Service{Rules: rules, Committer: &sageclaim.Committer{Store: st, Window: w},
//		Self: "10.0.0.1:7002", Peers: live, Dial: dial, MaxAnswerBytes: 4 << 20}
//	err := s.Run(ctx)
package sageclaims
