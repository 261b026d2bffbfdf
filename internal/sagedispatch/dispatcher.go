package sagedispatch

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
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

	idleTimeout    = 20 * time.Second
	cancelTimeout  = 2 * time.Second
	resumePause    = 20 * time.Millisecond
	idlePerAddress = 64
)

// Dispatcher sends attempts to upstreams. The zero value is ready for use; fields are set before
// the first attempt.
type Dispatcher struct {
	// Dial connects to an upstream; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxHeld is the greatest answer in bytes that is held until it is whole.
	MaxBufferedBytes int
	// MaxEvent is the greatest event of a stream in bytes.
	MaxEventBytes int
	// MaxResumes bounds the resumptions in a row that bring no event.
	MaxResumes int
	// StallTimeout is how long a stream may bring nothing before it counts as broken.
	StallTimeout time.Duration
	// WriteTimeout is how long one write to the caller may take.
	WriteTimeout time.Duration

	once   sync.Once
	reused *http.Transport
	fresh  *http.Transport
	cancel sync.WaitGroup
}

func orInt(v, d int) int {
	if v > 0 {
		return v
	}
	return d
}

func orDuration(v, d time.Duration) time.Duration {
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
	wrapped := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return sageconn.Wrap(c), nil
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d.reused = &http.Transport{
		DialContext: wrapped, Protocols: protocols, DisableCompression: true,
		MaxIdleConnsPerHost: idlePerAddress, IdleConnTimeout: idleTimeout,
	}
	d.fresh = &http.Transport{
		DialContext: wrapped, Protocols: protocols, DisableCompression: true, DisableKeepAlives: true,
	}
}

// Close ends idle connections and waits for cancels under way.
func (d *Dispatcher) Close() {
	d.once.Do(d.init)
	d.cancel.Wait()
	d.reused.CloseIdleConnections()
}

// onceBody is a request body that net/http neither rewinds nor takes for absent, which switches off
// its own repeats (package documentation).
type onceBody struct{ *bytes.Reader }

// Close implements [io.Closer].
func (onceBody) Close() error { return nil }

// exchange is an attempt under way.
type exchange struct {
	d   *Dispatcher
	a   *Attempt
	w   http.ResponseWriter
	res Result
}

// Do sends a and passes its answer on to w, whose headers the caller may have set beforehand. It
// writes to w only what belongs to an answer: when the result is not Started, w is untouched.
func (d *Dispatcher) Do(ctx context.Context, w http.ResponseWriter, a *Attempt) Result {
	d.once.Do(d.init)
	x := &exchange{d: d, a: a, w: w}
	if err := a.Check(); err != nil {
		x.res.fail(sagewire.NotRun, sagewire.ReasonBadRequest, "%v", err)
		return x.res
	}
	caller := ctx
	if a.AtMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	x.run(ctx)
	if caller.Err() != nil {
		x.res.CallerGone = true
	}
	if a.Engine && x.res.Connected && x.res.Outcome == sagewire.Unknown {
		d.sendCancel(a)
	}
	return x.res
}

func (x *exchange) run(ctx context.Context) {
	sent := &sageconn.Tracker{BootID: x.a.BootID}
	res, err := x.send(ctx, sent)
	x.res.Connected = sent.Connected()
	if err != nil {
		x.lost(ctx, sent, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.res.Status = res.StatusCode
	if got := res.Header.Get(sagewire.HeaderRequestID); got != x.a.RequestID {
		sent.Close()
		x.res.fail(sagewire.Unknown, sagewire.ReasonAnswerLost, "the answer bears the id %q", got)
		return
	}
	x.readHeader(res.Header)
	if notRun(res) {
		x.res.fail(sagewire.NotRun, sagewire.ReasonUpstreamRefused, "upstream status %d", res.StatusCode)
		x.res.RetryAt = retryAt(res.Header, time.Now())
		return
	}
	if x.a.Stream && sageheader.IsEventStream(res) {
		x.stream(ctx, res, sent)
		return
	}
	x.plain(ctx, res, sent)
}

// lost settles an attempt that brought no answer.
func (x *exchange) lost(ctx context.Context, sent *sageconn.Tracker, err error) {
	reason := sagewire.ReasonUpstreamFailed
	if ctx.Err() != nil {
		reason = sagewire.ReasonDeadline
	}
	if sent.Seal() {
		x.res.fail(sagewire.NotRun, reason, "nothing was sent: %v", err)
		return
	}
	if reason == sagewire.ReasonUpstreamFailed {
		reason = sagewire.ReasonAnswerLost
	}
	x.res.fail(sagewire.Unknown, reason, "no answer: %v", err)
}

func (x *exchange) send(ctx context.Context, sent *sageconn.Tracker) (*http.Response, error) {
	a := x.a
	req, err := newRequest(ctx, a.Method, a.Address, a.Path, a.Body, sent)
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
	t := x.d.reused
	if a.AtMostOnce {
		t = x.d.fresh
	}
	return t.RoundTrip(req)
}

func newRequest(ctx context.Context, method, address, path string, body []byte, sent *sageconn.Tracker) (*http.Request, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	u.Scheme, u.Host = "http", address
	if sent != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.GotConn})
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

// sendCancel tells an engine, without waiting, that nobody wants the answer any more.
//
// It goes on a fresh connection: an idle one that the engine has closed meanwhile would swallow it
// without an error that could be told from others, and the engine would generate on for nobody.
func (d *Dispatcher) sendCancel(a *Attempt) {
	d.cancel.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		req, err := newRequest(ctx, http.MethodDelete, a.Address, streamPath(a.RequestID), nil, nil)
		if err != nil {
			return
		}
		req.Header.Set(sagewire.HeaderRequestID, a.RequestID)
		if res, err := d.fresh.RoundTrip(req); err == nil {
			_ = res.Body.Close()
		}
	})
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

func notRun(res *http.Response) bool {
	refused := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	return refused && res.Header.Get(sagewire.HeaderNotRun) == "true"
}

func retryAt(h http.Header, now time.Time) time.Time {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(s) * time.Second)
}
