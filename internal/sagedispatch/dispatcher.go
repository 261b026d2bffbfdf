package sagedispatch

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Defaults of the fields of a [Dispatcher].
const (
	DefaultMaxBufferedBytes = 1 << 20
	DefaultMaxEventBytes    = 1 << 20
	DefaultMaxResumes       = 4
	DefaultStallTimeout     = 10 * time.Second
	DefaultWriteTimeout     = 10 * time.Second
	DefaultDialTimeout      = time.Second

	idleTimeout       = 20 * time.Second
	cancelTimeout     = 2 * time.Second
	resumeBackoff     = 20 * time.Millisecond // doubled with each consecutive resume that brings no event
	maxIdlePerAddress = 64
)

// Dispatcher sends attempts to upstreams. The zero value is ready for use. Fields must not be changed after
// the first attempt.
type Dispatcher struct {
	// Dial connects to an upstream. Nil means TCP with a timeout of DefaultDialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBufferedBytes is the size of the largest response that is buffered until it is complete.
	MaxBufferedBytes int
	// MaxEventBytes is the size of the largest accepted event of a stream.
	MaxEventBytes int
	// MaxResumes limits consecutive attempts to resume a stream without receiving a new event.
	MaxResumes int
	// StallTimeout is how long a stream may deliver no data before it counts as broken.
	StallTimeout time.Duration
	// WriteTimeout limits one write to the caller.
	WriteTimeout time.Duration

	once            sync.Once
	reusedTransport *http.Transport
	freshTransport  *http.Transport
	cancels         sync.WaitGroup
}

func intOrDefault(v, d int) int {
	if v > 0 {
		return v
	}
	return d
}

func durationOrDefault(v, d time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return d
}

func (d *Dispatcher) init() {
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	wrapped := sageconn.Dialer(dial)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d.reusedTransport = &http.Transport{
		DialContext: wrapped, Protocols: protocols, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerAddress, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
	}
	d.freshTransport = &http.Transport{
		DialContext: wrapped, Protocols: protocols, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
	}
}

// Close waits for pending cancel requests and closes idle connections.
func (d *Dispatcher) Close() {
	d.once.Do(d.init)
	d.cancels.Wait()
	d.reusedTransport.CloseIdleConnections()
}

// noRewindBody is a request body that net/http can neither rewind nor treat as absent. This disables the
// automatic retries of [http.Transport]; see the package documentation.
type noRewindBody struct{ *bytes.Reader }

// Close implements [io.Closer].
func (noRewindBody) Close() error { return nil }

// exchange is the state of an attempt in progress.
type exchange struct {
	d      *Dispatcher
	a      *Attempt
	w      http.ResponseWriter
	result Result
}

// Do sends a and forwards the response to w, which may already have headers set. It writes nothing but the
// response: if ResponseStarted is false in the result, w is unchanged.
func (d *Dispatcher) Do(ctx context.Context, w http.ResponseWriter, a *Attempt) Result {
	d.once.Do(d.init)
	x := &exchange{d: d, a: a, w: w}
	if err := a.Check(); err != nil {
		x.result.fail(sagewire.NotRun, sagewire.ReasonBadRequest, "%v", err)
		return x.result
	}
	callerCtx := ctx
	if a.AtMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	x.run(ctx)
	if callerCtx.Err() != nil {
		x.result.CallerGone = true
	}
	if a.Engine && x.result.Connected && x.result.Outcome == sagewire.Unknown {
		d.sendCancel(a)
	}
	return x.result
}

func (x *exchange) run(ctx context.Context) {
	tracker := &sageconn.Tracker{BootID: x.a.BootID, Owner: x.ownerOf}
	res, err := x.send(ctx, tracker)
	x.result.Connected = tracker.Connected()
	if err != nil {
		x.handleSendError(ctx, tracker, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.result.Status = res.StatusCode
	if got := res.Header.Get(sagewire.HeaderRequestID); x.ownerOf(res) != sageconn.OwnerSelf {
		tracker.Discard()
		x.result.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the answer bears the id %q", got)
		return
	}
	x.readHeader(res.Header)
	if isNotRun(res) {
		tracker.Finish()
		x.result.fail(sagewire.NotRun, sagewire.ReasonUpstreamRefused, "upstream status %d", res.StatusCode)
		x.result.RetryAt = parseRetryAfter(res.Header, time.Now())
		return
	}
	if x.a.Stream && sageheader.IsEventStream(res) {
		x.forwardStream(ctx, res, tracker)
		return
	}
	x.forwardPlain(ctx, res, tracker)
}

// ownerOf returns whose a response is.
func (x *exchange) ownerOf(res *http.Response) sageconn.Owner {
	switch res.Header.Get(sagewire.HeaderRequestID) {
	case x.a.RequestID:
		return sageconn.OwnerSelf
	case "":
		return sageconn.OwnerUnknown
	}
	return sageconn.OwnerOther
}

// handleSendError sets the result of an attempt without a response.
func (x *exchange) handleSendError(ctx context.Context, tracker *sageconn.Tracker, err error) {
	reason := sagewire.ReasonUpstreamFailed
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	if tracker.Seal() {
		x.result.fail(sagewire.NotRun, reason, "nothing was sent: %v", err)
		return
	}
	if reason == sagewire.ReasonUpstreamFailed {
		reason = sagewire.ReasonAnswerLost
	}
	x.result.fail(sagewire.Unknown, reason, "no answer: %v", err)
}

func (x *exchange) send(ctx context.Context, tracker *sageconn.Tracker) (*http.Response, error) {
	a := x.a
	req, err := newRequest(ctx, a.Method, a.Address, a.Path, a.Body, tracker)
	if err != nil {
		return nil, err
	}
	sageheader.Copy(req.Header, a.Header)
	req.Header.Set(sagewire.HeaderRequestID, a.RequestID)
	req.Header.Set(sagewire.HeaderPriority, a.Priority.String())
	req.Header.Set(sagewire.HeaderDeadline, a.Deadline.UTC().Format(time.RFC3339Nano))
	if a.IdempotencyKey != "" {
		req.Header.Set(sagewire.HeaderIdempotencyKey, a.IdempotencyKey)
	}
	t := x.d.reusedTransport
	if a.AtMostOnce {
		t = x.d.freshTransport
	}
	return tracker.RoundTrip(t, req)
}

func newRequest(ctx context.Context, method, address, path string, body []byte, tracker *sageconn.Tracker) (*http.Request, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	u.Scheme, u.Host = "http", address
	req, err := http.NewRequestWithContext(tracker.WithTrace(ctx), method, u.String(), noRewindBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

// sendCancel asks an engine in the background to stop generating a response that is no longer needed.
//
// It uses a new connection. If the engine has closed an idle connection in the meantime, a cancel request
// written to it would be lost, and the engine would continue to generate.
func (d *Dispatcher) sendCancel(a *Attempt) {
	d.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		tracker := new(sageconn.Tracker)
		req, err := newRequest(ctx, http.MethodDelete, a.Address, streamPath(a.RequestID), nil, tracker)
		if err != nil {
			return
		}
		req.Header.Set(sagewire.HeaderRequestID, a.RequestID)
		if res, err := tracker.RoundTrip(d.freshTransport, req); err == nil {
			_ = res.Body.Close()
		}
	})
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

func isNotRun(res *http.Response) bool {
	refused := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	return refused && res.Header.Get(sagewire.HeaderNotRun) == "true"
}

// maxRetryAfter limits the pause that an upstream may ask for.
const maxRetryAfter = 24 * time.Hour

// parseRetryAfter returns the end of the pause that an upstream asks for, in seconds or a fraction of them, or the zero
// time if there is no valid one.
func parseRetryAfter(h http.Header, now time.Time) time.Time {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s >= 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second)))
}
