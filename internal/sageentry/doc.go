// Package sageentry is the callers' HTTP interface and the way of a request through a node.
//
// A request passes these steps, each a service found by name: configuration, admission, claim (only
// if it must not run twice), placement, dispatch, record. Whatever happens, it ends with exactly one
// outcome in the header Sagestand-Outcome, and unless that is "complete" with a
// [sagewire.Refusal] as its body. A request that is given up is answered at once.
//
// Two kinds of request are told apart. An idempotent one (a chat, a GET or HEAD, a route marked
// idempotent) may be tried at several upstreams. Any other one is sent to an upstream at most once:
// another attempt follows only on proof that the earlier one did not run. With an Idempotency-Key,
// also the caller's own repeats, through any node, run at most once.
//
// # Usage
//
//	s := &sageentry.Service{Listener: l, Config: cfg, Admission: adm, Claims: cl, Placement: pl,
//		Retries: re, Dispatch: &sagedispatch.Dispatcher{}, Locator: loc, Leaver: mem, Recorder: burn,
//		Limits: settings.Limits}
//	err := s.Run(ctx)
package sageentry
