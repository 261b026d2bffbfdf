// Package sageentry implements the HTTP interface for callers and the processing of a request within a
// node.
//
// A request passes through these steps: configuration, admission, claim (only if the request must not
// run twice), placement, dispatch and record. Each step is a service that is looked up by name. Every
// request ends with exactly one outcome in the header Sagestand-Outcome. Unless the outcome is
// "complete", the body is a [sagewire.Refusal]. A request that can't be served is refused immediately.
//
// There are two kinds of request. An idempotent one (a chat without Idempotency-Key, a GET or HEAD, a
// route marked idempotent) may be tried at several upstreams. Any other request is sent to at most one
// upstream, unless it is proven that the earlier attempt did not run. With an Idempotency-Key, repeats
// by the caller run at most once too, whichever node receives them.
//
// # Usage
//
//	s := &sageentry.Service{Listener: l, Config: cfg, Admission: adm, Claims: cl, Placement: pl,
//		Retries: re, Dispatch: &sagedispatch.Dispatcher{}, Locator: loc, Leaver: mem, Recorder: burn,
//		Limits: settings.Limits}
//	err := s.Run(ctx)
package sageentry
