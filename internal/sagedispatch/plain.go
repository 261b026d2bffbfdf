package sagedispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagewire"
)

// copyBufferBytes is the size of the buffer through which a large response is copied.
const copyBufferBytes = 32 << 10

// isRetriable reports whether another upstream may be tried after a response with this status.
func isRetriable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// isDelimited reports whether the end of a response can be verified. A truncated response that is delimited
// only by the end of its connection looks complete.
func isDelimited(res *http.Response) bool {
	if res.ContentLength >= 0 {
		return true
	}
	n := len(res.TransferEncoding)
	return n > 0 && res.TransferEncoding[n-1] == "chunked"
}

// forwardPlain forwards a response that is not a stream.
func (x *exchange) forwardPlain(ctx context.Context, res *http.Response, tracker *sageconn.Tracker) {
	if !x.a.AtMostOnce && isRetriable(res.StatusCode) {
		x.result.fail(sagewire.Unknown, sagewire.ReasonUpstreamFailed, "upstream status %d", res.StatusCode)
		x.result.RetryAt = parseRetryAfter(res.Header, time.Now())
		return
	}
	if !isDelimited(res) {
		tracker.Reset()
		x.result.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the answer has no checkable end")
		return
	}
	limit := intOrDefault(x.d.MaxBufferedBytes, DefaultMaxBufferedBytes)
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	if len(body) > 0 {
		x.result.FirstByteAt = time.Now()
	}
	if err != nil {
		tracker.Reset()
		x.failBody(ctx, err)
		return
	}
	if tracker.Reused() && sageconn.HoldsForeign(body, x.ownerOf) {
		tracker.Discard()
		x.result.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the answer holds that to another request")
		return
	}
	if len(body) <= limit {
		x.forwardBuffered(res, body)
		return
	}
	x.forwardLarge(ctx, res, body, tracker)
}

func (x *exchange) failBody(ctx context.Context, err error) {
	reason := sagewire.ReasonAnswerLost
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	x.result.fail(sagewire.Unknown, reason, "the answer broke off: %v", err)
}

// forwardBuffered forwards a response that is completely buffered.
func (x *exchange) forwardBuffered(res *http.Response, body []byte) {
	x.result.Outcome = sagewire.Complete
	if x.a.AtMostOnce {
		x.result.Response = &BufferedResponse{Status: res.StatusCode, Header: bufferedHeader(res.Header), Body: body}
	}
	h := x.w.Header()
	sageheader.Copy(h, res.Header)
	h.Set(sagewire.HeaderOutcome, string(sagewire.Complete))
	if len(body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.result.ResponseStarted = true
	x.setWriteDeadline()
	x.w.WriteHeader(res.StatusCode)
	if err := x.write(body); err != nil {
		x.result.CallerGone = true
	}
}

func bufferedHeader(h http.Header) http.Header {
	c := make(http.Header, 1)
	if t := h.Get("Content-Type"); t != "" {
		c.Set("Content-Type", t)
	}
	return c
}

// forwardLarge forwards a response as it arrives and sends its outcome in the trailer.
func (x *exchange) forwardLarge(ctx context.Context, res *http.Response, buffered []byte, tracker *sageconn.Tracker) {
	h := x.w.Header()
	sageheader.Copy(h, res.Header)
	h.Set("Trailer", sagewire.HeaderOutcome)
	x.result.ResponseStarted = true
	x.w.WriteHeader(res.StatusCode)
	buf := make([]byte, copyBufferBytes)
	chunk, err := buffered, error(nil)
	for {
		if werr := x.write(chunk); werr != nil {
			tracker.Reset()
			x.result.CallerGone, x.result.Abort = true, true
			x.result.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the caller stopped reading: %v", werr)
			return
		}
		if err == io.EOF {
			x.result.Outcome = sagewire.Complete
			h.Set(sagewire.HeaderOutcome, string(sagewire.Complete))
			return
		}
		if err != nil {
			tracker.Reset()
			x.failBody(ctx, err)
			x.result.Abort = true
			return
		}
		var n int
		n, err = res.Body.Read(buf)
		chunk = buf[:n]
	}
}

// setWriteDeadline limits the next write to the caller. Without it, a caller that stops reading would occupy
// the upstream and the memory of this attempt indefinitely. Writers that don't support deadlines are unaffected.
func (x *exchange) setWriteDeadline() {
	at := time.Now().Add(durationOrDefault(x.d.WriteTimeout, DefaultWriteTimeout))
	_ = http.NewResponseController(x.w).SetWriteDeadline(at)
}

func (x *exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	x.setWriteDeadline()
	n, err := x.w.Write(b)
	x.result.BytesSent += int64(n)
	return err
}
