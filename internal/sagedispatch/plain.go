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

// copyChunk is how much of a large answer is in memory at a time.
const copyChunk = 32 << 10

// retriable reports a status with which another upstream may be asked instead.
func retriable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// delimited reports whether the end of an answer can be checked. An answer that ends with its
// connection looks whole when it was cut short.
func delimited(res *http.Response) bool {
	if res.ContentLength >= 0 {
		return true
	}
	n := len(res.TransferEncoding)
	return n > 0 && res.TransferEncoding[n-1] == "chunked"
}

// plain passes on an answer that is not a stream.
func (x *exchange) plain(ctx context.Context, res *http.Response, sent *sageconn.Tracker) {
	if !x.a.AtMostOnce && retriable(res.StatusCode) {
		x.res.fail(sagewire.Unknown, sagewire.ReasonUpstreamFailed, "upstream status %d", res.StatusCode)
		x.res.RetryAt = retryAt(res.Header, time.Now())
		return
	}
	if !delimited(res) {
		sent.Close()
		x.res.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the answer has no checkable end")
		return
	}
	limit := orInt(x.d.MaxBufferedBytes, DefaultMaxBufferedBytes)
	held, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	if len(held) > 0 {
		x.res.FirstByteAt = time.Now()
	}
	if err != nil {
		sent.Close()
		x.broken(ctx, err)
		return
	}
	if len(held) <= limit {
		x.whole(res, held)
		return
	}
	x.large(ctx, res, held, sent)
}

func (x *exchange) broken(ctx context.Context, err error) {
	reason := sagewire.ReasonAnswerLost
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	x.res.fail(sagewire.Unknown, reason, "the answer broke off: %v", err)
}

// whole passes on an answer that is held completely.
func (x *exchange) whole(res *http.Response, body []byte) {
	x.res.Outcome = sagewire.Complete
	if x.a.AtMostOnce {
		x.res.Response = &BufferedResponse{Status: res.StatusCode, Header: answerHeader(res.Header), Body: body}
	}
	h := x.w.Header()
	sageheader.Copy(h, res.Header)
	h.Set(sagewire.HeaderOutcome, string(sagewire.Complete))
	if len(body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.res.ResponseStarted = true
	x.deadline()
	x.w.WriteHeader(res.StatusCode)
	if err := x.write(body); err != nil {
		x.res.CallerGone = true
	}
}

func answerHeader(h http.Header) http.Header {
	c := make(http.Header, 1)
	if t := h.Get("Content-Type"); t != "" {
		c.Set("Content-Type", t)
	}
	return c
}

// large passes on an answer as it comes. Its outcome stands in the trailer.
func (x *exchange) large(ctx context.Context, res *http.Response, held []byte, sent *sageconn.Tracker) {
	h := x.w.Header()
	sageheader.Copy(h, res.Header)
	h.Set("Trailer", sagewire.HeaderOutcome)
	x.res.ResponseStarted = true
	x.w.WriteHeader(res.StatusCode)
	buf := make([]byte, copyChunk)
	part, err := held, error(nil)
	for {
		if werr := x.write(part); werr != nil {
			sent.Close()
			x.res.CallerGone, x.res.Abort = true, true
			x.res.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the caller stopped reading: %v", werr)
			return
		}
		if err == io.EOF {
			x.res.Outcome = sagewire.Complete
			h.Set(sagewire.HeaderOutcome, string(sagewire.Complete))
			return
		}
		if err != nil {
			sent.Close()
			x.broken(ctx, err)
			x.res.Abort = true
			return
		}
		var n int
		n, err = res.Body.Read(buf)
		part = buf[:n]
	}
}

// deadline limits the next write to the caller. It guards against a caller that reads nothing and
// so holds an upstream's work and this attempt's memory; writers without deadlines are left alone.
func (x *exchange) deadline() {
	at := time.Now().Add(orDuration(x.d.WriteTimeout, DefaultWriteTimeout))
	_ = http.NewResponseController(x.w).SetWriteDeadline(at)
}

func (x *exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	x.deadline()
	n, err := x.w.Write(b)
	x.res.BytesSent += int64(n)
	return err
}
