// Package sagedispatch performs one exchange with one upstream: it sends a request, verifies that the response
// is complete and belongs to that request, forwards it to the caller, and reports the outcome.
//
// # Requests that were not run
//
// A result is [sagewire.NotRun] in two cases only. In the first, no byte of the request can have left this
// process: the connection failed, or the attempt ended before its first write and the connection was sealed
// against later writes. In the second, the upstream itself reports that it did not run the request, by status
// 429 or 503 with the header Sagestand-Not-Run: true and the id of this request. Any other attempt without a
// complete response is [sagewire.Unknown].
//
// # Automatic retries of net/http
//
// [http.Transport] retries a request when a reused connection breaks and it considers the request idempotent,
// for which a nil body or a header Idempotency-Key is enough. Each request here has a non-nil body that can't
// be rewound (GetBody is nil), which disables these retries. Redirects are not followed. A request that must
// run at most once is also sent on a new connection: on a reused connection, the upstream's idle timeout would
// leave many such requests with an unknown outcome.
//
// # Responses
//
// A response must echo the request id; otherwise it is dropped and its connection is closed. A response whose
// end can't be verified (neither Content-Length nor chunked encoding) is never reported as complete. Small
// responses are buffered until they are complete. Larger ones are forwarded as they arrive, with the outcome
// in a trailer, and the caller's connection is aborted if the response is truncated. Streams are read event by
// event. Event ids must be consecutive, a broken stream is resumed at the same upstream after the last event
// forwarded, and only `data: [DONE]` ends it. A stream that can't be completed ends with an event of type error.
//
// One loop reads and writes, so that a slow caller causes at most one event to be buffered. Each write has a
// deadline.
//
// # Usage
//
//	d := &sagedispatch.Dispatcher{}
//	res := d.Do(ctx, w, &sagedispatch.Attempt{
//		RequestID: id, Address: "127.0.0.1:9001", Method: "POST", Path: "/v1/chat/completions",
//		Header: h, Body: body, Deadline: deadline, Stream: true, Engine: true,
//	})
//	if res.Abort {
//		panic(http.ErrAbortHandler)
//	}
//	if !res.ResponseStarted {
//		... // start another attempt, or send res.Refusal to the caller
//	}
package sagedispatch
