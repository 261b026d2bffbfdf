package sagerelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageheader"
)

// minResponseBuffer is the first buffer size of a response of unknown length. Each further one is twice as large.
const minResponseBuffer = 4 << 10

// errTooLarge is the error of a response that exceeds maxPlainResponseBytes.
var errTooLarge = errors.New("response too large to buffer")

// bufferLimit returns the limit on all buffered bytes for what this request adds.
func (j *job) bufferLimit() int64 {
	if j.relay.from != "" {
		return j.s.MaxBufferedBytes / 2 // keeps capacity for this node's own callers
	}
	return j.s.MaxBufferedBytes
}

// releaseBuffers releases the buffer space of the request and its responses.
func (j *job) releaseBuffers() {
	j.s.buffers.release(j.reservedBytes)
	for _, r := range j.responses {
		r.release()
	}
}

// readResponse reads a complete response. If that fails it returns nil and the verdict of the
// exchange.
func (x *exchange) readResponse(ctx context.Context, res *http.Response, stallTimer *time.Timer) (*bufferedResponse, verdict) {
	x.begun.Store(true)
	r := &reservation{budget: &x.j.s.buffers, upstream: x.upstreamID(), usual: x.j.s.responseSizes.usual(x.j.route.Name), most: maxPlainResponseBytes + 1}
	if res.ContentLength >= 0 {
		r.most = min(res.ContentLength+1, r.most)
	}
	b, err := x.readBody(ctx, res, r, stallTimer)
	if stallTimer != nil {
		stallTimer.Stop()
	}
	if err == nil && x.holdsForeign(b) {
		r.release()
		return nil, x.rejectForeign(res)
	}
	if err == nil {
		r.complete()
		x.j.s.responseSizes.record(x.j.route.Name, len(b))
		x.j.responses = append(x.j.responses, r)
		return &bufferedResponse{status: res.StatusCode, header: sageheader.EndToEnd(res.Header), body: b}, answered
	}
	r.release()
	switch {
	case errors.Is(err, errTooLarge):
		r.recordOversized()
		return nil, x.rejectResponse(err.Error())
	case errors.Is(err, errNoBuffer):
		return nil, x.failWithoutBuffer(err)
	}
	return nil, x.failExchange(ctx, err)
}

// readBody reads a response body. It reserves the space before it reads, so that the upstream has to wait while there is
// none.
func (x *exchange) readBody(ctx context.Context, res *http.Response, r *reservation, stallTimer *time.Timer) ([]byte, error) {
	if res.ContentLength > maxPlainResponseBytes && x.j.r.Method != http.MethodHead {
		return nil, errTooLarge
	}
	next := minResponseBuffer
	if res.ContentLength >= 0 {
		next = int(min(res.ContentLength, maxPlainResponseBytes)) + 1 // one byte more, so that the end is read
	}
	if res.Body == http.NoBody {
		return nil, nil
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			if err := x.reserveBuffer(ctx, r, int64(next-cap(b)), stallTimer); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, next), b...)
			next = min(2*next, maxPlainResponseBytes+1)
		}
		n, err := res.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > maxPlainResponseBytes:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserveBuffer reserves n bytes. The upstream isn't timed while its response waits for space, unless it has sent oversized ones: the
// request then goes to another one if it may be repeated.
func (x *exchange) reserveBuffer(ctx context.Context, r *reservation, n int64, stallTimer *time.Timer) error {
	limit := x.j.bufferLimit()
	if freed, err := r.tryGrow(n, limit); freed == nil {
		return err
	}
	x.j.s.Metrics.GetOrCreateCounter("sagestand_response_buffer_waits_total").Inc()
	if stallTimer != nil && !r.waitsAsSuspect() {
		stallTimer.Stop()
		defer func() { stallTimer.Reset(x.j.firstByteTimeout()) }()
	}
	return r.grow(ctx, n, limit)
}

// failWithoutBuffer handles an exchange whose response found no buffer space, which says nothing about the upstream.
func (x *exchange) failWithoutBuffer(err error) verdict {
	x.tracker.Reset()
	x.j.cause = err.Error()
	x.recordAbandoned()
	if x.j.r.Context().Err() != nil {
		return callerGone
	}
	x.j.possibleRuns++
	return failed
}
