// Package sagedispatch is one exchange with one upstream: it sends a request, checks that the answer
// is the whole answer of that very request, passes it on, and says truthfully how it ended.
//
// # What counts as not run
//
// A result is [sagewire.NotRun] in two cases only. Either no byte of the request can have left this
// process: the connection failed, or the request was given up before its first write, and the
// connection was sealed so that no later write can follow. Or the upstream itself says so: status
// 429 or 503 with the header Sagestand-Not-Run: true and the id of this request. Everything else
// that is not a whole answer is [sagewire.Unknown].
//
// # Repeats inside net/http
//
// [http.Transport] sends a request again by itself when a reused connection breaks and it holds the
// request for idempotent; a header Idempotency-Key is enough for that, and a nil body too. Here each
// request has a body that is not nil and can't be rewound (GetBody is nil), which switches both
// repeats off, and redirects are not followed. A request that may run only once is moreover sent
// on a fresh connection: on a reused one an upstream's idle timeout would turn many of them into
// unknown ones.
//
// # Answers
//
// An answer must echo the request's id; another one is dropped and its connection closed. An answer
// whose end can't be checked (neither Content-Length nor chunks) is never passed as complete. Small
// answers are held until they are whole; larger ones are passed on as they come, with the outcome in
// a trailer, and broken off on a shortfall. Streams are read event by event: positions must follow
// each other, a broken stream is resumed at the same upstream from the last position passed on, and
// only `data: [DONE]` ends it. One that can't be completed ends with an event named error.
//
// Reading and writing are one loop, so that a slow caller holds one event in memory, and each write
// has a deadline.
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
//	if !res.Started {
//		... another attempt, or a refusal made from res
//	}
package sagedispatch
