package sagerelay

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Limits of one exchange.
const (
	// maxPlainResponseBytes is the maximum size of a response that isn't a stream; it is buffered
	// completely.
	maxPlainResponseBytes = 4 << 20
	// firstByteShare is the fraction of the route's objective after which a repeatable request
	// without any response data is sent to another upstream. The rest of the objective is left for
	// that upstream.
	firstByteShare = 0.6
	// minStallTimeout is the lower limit of first-byte and stall timeouts. It is four times the usual
	// response time of a plain service, so that a slow response isn't taken for a lost one.
	minStallTimeout = 200 * time.Millisecond
	// prefillFactor multiplies the prefill time of an idle engine in the first-byte timeout, since
	// the engine may prefill one or two other prompts first.
	prefillFactor = 2.75
	// stallRecheckInterval is how often a stalled exchange checks whether the path is still being probed.
	stallRecheckInterval = 100 * time.Millisecond
)

// errStalled is the cause with which a stalled exchange is cancelled.
var errStalled = errors.New("upstream stalled: no data within the timeout")

// exchange is one attempt to send a request to one upstream.
type exchange struct {
	j     *job
	p     *Pick
	start time.Time
	// helper is the peer that the request is sent to; nil if it is sent to the upstream of p.
	helper *Helper
	// helperOrigin is where the events of the peer's response come from.
	helperOrigin sageorigin.Origin
	// freshConn is set if the connection was opened for this exchange.
	freshConn bool
	// conn is the state of its connection.
	conn connUse
	// events is the number of events received, firstEvent the time of the first one.
	events     int
	firstEvent time.Time
	// begun is set once the answer has begun.
	begun atomic.Bool
	// unusableSince is when the upstream was first found unusable; only CancelUndelivered uses it.
	unusableSince sageclock.Instant
	// skipped is the number of skipped responses that have been recorded.
	skipped int
	// identified is set once the response to the request has arrived.
	identified atomic.Bool
	// heldPause is the [sageclock.Instant] until which a response without an ID asked for no requests; zero if none did.
	heldPause atomic.Int64
	tracker   sageconn.Tracker
	cancel    context.CancelCauseFunc
}

// sendTo sends the request to an upstream and forwards the response.
func (j *job) sendTo(ctx context.Context, p *Pick) (v verdict) {
	if !j.s.Fleet.Usable(p.Upstream) || j.keyChecked && !j.s.Fleet.Fresh() {
		j.tried, j.cause = append(j.tried, p.Upstream.ID), "upstream no longer usable"
		return notSent
	}
	if !j.beginSend() {
		j.cause = errLeaving.Error()
		return notSent
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{j: j, p: p, start: time.Now(), cancel: cancel}
	j.recordResend(p.Upstream.ID)
	defer func() { x.recordEnd(p.Upstream.ID, v) }()
	j.sends++
	j.tried = append(j.tried, p.Upstream.ID)
	j.s.sending.add(x)
	defer j.s.sending.remove(x)
	stallTimer := x.startStallTimer(ctx)
	if stallTimer != nil {
		defer stallTimer.Stop()
	}
	defer x.releaseConn()
	res, err := x.send(ctx)
	if errors.Is(err, errNoConn) {
		return x.failWithoutConn(err)
	}
	if err != nil {
		return x.failExchange(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	return x.handleResponse(ctx, res, stallTimer)
}

// startStallTimer starts a timer that cancels the exchange of a repeatable request if no response
// data arrives while another upstream could still respond in time, but only if the fleet allows a
// retry: without one, a late response is better than none.
//
// While several upstreams are unresponsive and the path is probed, it waits: a retry would get no response either. An answer that
// has begun isn't cancelled while nothing could continue it, since its caller would get nothing more.
func (x *exchange) startStallTimer(ctx context.Context) *time.Timer {
	j := x.j
	if !j.route.Repeatable() || j.relay.earlierRuns+j.possibleRuns+1 >= j.route.MaxAttempts || j.sends >= maxSends {
		return nil
	}
	timeout := j.firstByteTimeout()
	if x.helper != nil {
		timeout *= helperStallFactor
	}
	sends, tried := j.sends, slices.Clone(j.tried) // the timer may still run when the next exchange begins
	reported := false
	var t *time.Timer
	t = time.AfterFunc(math.MaxInt64, func() {
		if ctx.Err() != nil {
			return
		}
		if x.helper == nil && j.s.Fleet.PathState(j.serviceName) == sagereach.Suspected {
			t.Reset(stallRecheckInterval)
			return
		}
		if x.begun.Load() && !x.replaceable(tried) {
			if !reported {
				x.recordUnanswered() // has the path probed
				reported = true
			}
			t.Reset(stallRecheckInterval)
			return
		}
		if j.allowRetry(true, sends, errStalled.Error()) {
			j.retryGranted.Store(true)
			x.cancel(errStalled)
		}
	})
	t.Reset(timeout)
	return t
}

// replaceable reports whether another upstream or a peer may continue the answer of the exchange.
func (x *exchange) replaceable(tried []string) bool {
	j := x.j
	if x.helper != nil || j.s.Fleet.PathState(j.serviceName) != sagereach.Open {
		return true
	}
	q := &Query{Service: j.serviceName, Route: j.route.Name, Tried: tried}
	if j.tracksOrigin() {
		o := x.exchangeOrigin()
		q.Origin = &o
	}
	return j.s.Fleet.HasAnother(q)
}

// firstByteTimeout is the time allowed for the first byte of the response to a repeatable request.
//
// It includes the prefill time of the prompt. Otherwise the exchange is cancelled during prefill, the
// next engine starts from the beginning and is cancelled as well. Only completely prefilled prompts
// stay in the cache, so every attempt would fail in the same way. It also includes the wait at the upstream: a second
// execution would only make the queue longer.
func (j *job) firstByteTimeout() time.Duration {
	timeout := max(minStallTimeout, time.Duration(firstByteShare*float64(j.route.Objective))) + j.s.Fleet.QueueTime(j.serviceName)
	return timeout + time.Duration(prefillFactor*float64(j.s.Fleet.PrefillTime(j.serviceName, j.meta.Chain.Tokens())))
}

// send sends the request and returns when the response header has arrived.
func (x *exchange) send(ctx context.Context) (*http.Response, error) {
	j := x.j
	x.tracker.AtMostOnce = true // further sends are decided by mayResend
	x.tracker.Owner = func(res *http.Response) sageconn.Owner { return x.examineOwner(ctx, res) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.handleConn, PutIdleConn: x.tracker.PutIdleConn})
	u := *j.r.URL
	u.Scheme, u.Host = "http", x.address()
	req := (&http.Request{Method: j.r.Method, URL: &u, Host: j.r.Host, Header: sageheader.EndToEnd(j.r.Header), ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	j.setBody(req)
	removeRelayHeader(req.Header)
	if x.helper != nil {
		j.setRelayHeader(req.Header)
		return x.tracker.RoundTrip(j.s.toPeers().forRequest(j.route.Repeatable()), req)
	}
	s := ForwardMetadata{Upstream: x.p.Upstream, Account: j.accountName(), Deadline: j.deadline, Priority: j.priority(), CacheSource: x.p.CacheSource, LastEventID: j.lastEventID}
	j.s.Dialect.SetForwardHeader(req.Header, &s)
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	if err := x.acquireConn(ctx); err != nil {
		return nil, err
	}
	return x.roundTrip(req)
}

// setBody sets the body of a request that is about to be sent.
//
// An empty body is set too, if the method usually has none: net/http sends requests without a body again on its own when a
// reused connection breaks, and that send would not count as a retry. It finds out that the body is empty and sends none.
func (j *job) setBody(req *http.Request) {
	switch {
	case len(j.body) > 0:
		req.ContentLength = int64(len(j.body))
	case req.Method != http.MethodGet && req.Method != http.MethodHead && req.Method != http.MethodOptions:
		return
	}
	req.Body = io.NopCloser(onceReader{bytes.NewReader(j.body)})
}

// address returns the address of the exchange's other end.
func (x *exchange) address() string {
	if x.helper != nil {
		return x.helper.Address
	}
	return x.p.Upstream.Address
}

// handleConn is called when the exchange has a connection. The prompt counts as cached by the upstream from here on, so
// that requests with the same prompt follow it.
func (x *exchange) handleConn(info httptrace.GotConnInfo) {
	if !x.useConn(info) {
		return
	}
	if x.helper == nil && len(x.j.meta.Chain) > 0 {
		x.j.s.Fleet.RecordPrompt(x.p.Upstream, x.j.meta.Chain)
	}
}

// onceReader hides the type of the reader, so that net/http can't resend the body on its own.
type onceReader struct{ io.Reader }

// priority returns the priority of the account if it has one, otherwise that of the route.
func (j *job) priority() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}

// failExchange handles an exchange that broke before its response was complete.
func (x *exchange) failExchange(ctx context.Context, err error) verdict {
	j := x.j
	j.cause = err.Error()
	unsent := x.tracker.Seal()
	x.recordSkipped()
	x.tracker.Reset()
	x.recordReset(err)
	if j.r.Context().Err() != nil {
		if !unsent {
			x.recordAbandoned()
		}
		return callerGone
	}
	if errors.Is(err, sageconn.ErrMergedHead) {
		x.countForeign("merged", 1)
		return x.rejectResponse(err.Error()) // says nothing about the connection's idle time
	}
	if errors.Is(context.Cause(ctx), errUnidentified) {
		x.believePause(0)
		x.recordAbandoned()
		return x.rejectResponse(errUnidentified.Error())
	}
	if cause := context.Cause(ctx); errors.Is(cause, errQuarantined) || errors.Is(cause, errUndelivered) || errors.Is(cause, errExit) || errors.Is(cause, errPeerLost) {
		return x.failCancelled(cause, unsent)
	}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	timedOut := ctx.Err() != nil && !stalled
	if !x.identified.Load() {
		x.believePause(0)
	}
	if !timedOut {
		x.recordUnanswered()
		x.recordExchange(brokenResult(err, stalled))
	}
	if unsent {
		x.recordUnsent(err)
		return notSent
	}
	if stalled || timedOut {
		x.recordTimeout()
		x.recordAbandoned()
		x.recordFailedResponse()
	} else {
		x.checkCrash()
	}
	j.possibleRuns++
	return failed
}

// brokenResult returns how an exchange broke.
func brokenResult(err error, stalled bool) sagehealth.Result {
	var timeout net.Error
	if stalled || errors.As(err, &timeout) && timeout.Timeout() {
		return sagehealth.Stalled
	}
	return sagehealth.Broken
}

// handleResponse settles whose response it is, checks its header and forwards it.
func (x *exchange) handleResponse(ctx context.Context, res *http.Response, stallTimer *time.Timer) verdict {
	j := x.j
	if !x.owns(res) {
		return x.rejectForeign(res)
	}
	if res.StatusCode < http.StatusOK {
		return x.rejectResponse("response has status " + strconv.Itoa(res.StatusCode)) // an upgrade nobody asked for, or no status at all
	}
	meta := j.s.Dialect.ParseResponse(res)
	j.unreached = nil
	if x.helper != nil {
		return x.handleHelperResponse(ctx, res, &meta, stallTimer)
	}
	removeRelayHeader(res.Header) // only nodes may set them
	x.recordResponseHeader(res)
	j.s.Fleet.RecordAnswer(x.p.Upstream, x.freshConn)
	if meta.Misdirected {
		x.tracker.Finish()
		j.s.Fleet.RecordMisdirected(x.p.Upstream)
		j.cause = "the address belongs to another upstream"
		return notRun
	}
	j.setRelayUpstream(j.w.Header(), x.p.Upstream)
	j.observeAnnouncements(x.p.Upstream, res.StatusCode, &meta)
	if meta.NotRun {
		x.tracker.Finish()
		if isOverload(res.StatusCode) {
			j.s.Fleet.RecordDecline(x.p, meta.PauseUntil != 0)
		}
		j.cause = "declined with status " + strconv.Itoa(res.StatusCode)
		return notRun
	}
	if meta.ID == "" || !meta.Sealed {
		return x.rejectResponse("response has no id or no seal")
	}
	x.recordReuse()
	j.s.Fleet.RecordAccept(x.p)
	return x.forwardResponse(ctx, res, stallTimer)
}

// forwardResponse forwards an upstream's response to this request.
func (x *exchange) forwardResponse(ctx context.Context, res *http.Response, stallTimer *time.Timer) verdict {
	j := x.j
	if promisesNotRun(res.StatusCode) || res.StatusCode >= http.StatusInternalServerError && x.helper == nil {
		return x.handleFailure(ctx, res, stallTimer)
	}
	if sageheader.IsEventStream(res) {
		if !x.fitsOrigin() {
			return x.rejectResponse("upstream of another version than the one that began the stream")
		}
		return x.forwardStream(ctx, res, stallTimer)
	}
	if j.headerSent {
		// A plain response must not be written into a stream that the caller has begun to read.
		return x.rejectResponse("upstream answered a resumed stream with a plain response")
	}
	return x.forwardPlain(ctx, res, stallTimer)
}

// promisesNotRun reports whether callers read a status as the promise that the request is never executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isOverload reports whether a status says that the upstream has too much to do.
func isOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// observeAnnouncements records what a response says about its upstream.
func (j *job) observeAnnouncements(u *sageupstream.Entry, status int, meta *ResponseMetadata) {
	if meta.Leaving {
		j.s.countAnnouncement(u.Service, "leaving")
		if j.s.Fleet.RecordLeaving(u) {
			j.s.Log.Limited(sagelog.KindStateChange, "Response announces that its upstream leaves.", "id", j.meta.ID, "upstream", u.ID, "born", u.Born, "status", status)
		}
	}
	if meta.Brittle {
		j.s.countAnnouncement(u.Service, "brittle")
		if j.s.Fleet.RecordBrittle(u, meta.MaxDeclines) {
			j.s.Log.Limited(sagelog.KindStateChange, "Response announces brittle upstreams.", "id", j.meta.ID, "upstream", u.ID, "service", u.Service, "status", status,
				"max_declines", meta.MaxDeclines)
		}
	}
	if meta.PauseUntil != 0 {
		j.s.countAnnouncement(u.Service, "retry_after")
		if j.s.Fleet.RecordPause(u, meta.PauseUntil) {
			j.s.Log.Limited(sagelog.KindStateChange, "Response asks for no requests.", "id", j.meta.ID, "upstream", u.ID, "born", u.Born, "status", status,
				"retry_after_ms", meta.PauseUntil.Sub(sageclock.Now()).Milliseconds())
		}
	}
}

// handleFailure buffers a failure that the upstream returned. It is forwarded if no other upstream gives a better response,
// unless callers would read in it that the request has not been executed, which only the upstream's own statement shows.
func (x *exchange) handleFailure(ctx context.Context, res *http.Response, stallTimer *time.Timer) verdict {
	j := x.j
	h, v := x.readResponse(ctx, res, stallTimer)
	if h == nil {
		return v
	}
	j.possibleRuns++
	if res.StatusCode >= http.StatusInternalServerError {
		x.recordExchange(sagehealth.Failed)
		x.recordResponse(ResponseResult{Failed: true})
	} else { // it is no failure of the upstream
		x.recordExchange(sagehealth.OK)
		x.recordResponse(ResponseResult{Duration: time.Since(x.start)})
	}
	j.cause = "upstream status " + strconv.Itoa(res.StatusCode)
	switch {
	case promisesNotRun(res.StatusCode):
		j.s.countUnstated(j.serviceName, res.StatusCode)
		j.cause += " without the statement that the request has not been executed"
	case !j.headerSent:
		j.upstreamFailure = h
	}
	return failed
}

// forwardPlain forwards a response that isn't a stream once it is complete.
func (x *exchange) forwardPlain(ctx context.Context, res *http.Response, stallTimer *time.Timer) verdict {
	h, v := x.readResponse(ctx, res, stallTimer)
	if h == nil {
		return v
	}
	if x.endedWithUpstream(res) {
		return x.failExchange(ctx, errUpstreamEnded)
	}
	x.recordExchange(sagehealth.OK)
	x.recordSuccess(res)
	x.recordResponse(ResponseResult{Duration: time.Since(x.start)})
	h.writeTo(x.j)
	return answered
}

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo writes the response to the caller.
func (h *bufferedResponse) writeTo(j *job) {
	copyHeader(j.w.Header(), h.header)
	if j.r.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	j.w.WriteHeader(h.status)
	_, _ = j.w.Write(h.body) // fails only if the caller has disconnected
}

// copyHeader copies the end-to-end headers of a response.
func copyHeader(dst, src http.Header) {
	sageheader.Copy(dst, src)
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil // suppresses content sniffing by net/http
	}
}
