package sagerelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// Bounds on one exchange.
const (
	// maxHeld is the greatest plain answer that is held until it is whole.
	maxHeld = 4 << 20
	// silentShare is the part of the objective after which a repeatable request that brought nothing
	// goes to another upstream, which then still has the rest of the objective.
	silentShare = 0.6
	// silentLeast is the least such time: four times the usual work of a plain service, so that a
	// slow answer isn't taken for a lost one.
	silentLeast = 200 * time.Millisecond
	// silentReads is how many times the time in which an idle engine reads the prompt is added: it may read
	// one or two others first (an estimate).
	silentReads = 2.75
)

// errSilent cancels an exchange that brought nothing for too long.
var errSilent = errors.New("the upstream stays silent")

// exchange is one send of a request to one upstream.
type exchange struct {
	j      *job
	p      *Pick
	began  time.Time
	sent   sageconn.Tracker
	cancel context.CancelCauseFunc
}

// try sends the request to an upstream and passes its answer on.
func (j *job) try(ctx context.Context, p *Pick) verdict {
	if !j.s.Fleet.Usable(p.Upstream) || j.keyed && !j.s.Fleet.Fresh() {
		j.tried, j.cause = append(j.tried, p.Upstream.ID), "no longer usable"
		return notSent
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{j: j, p: p, began: time.Now(), cancel: cancel}
	j.sends++
	j.tried = append(j.tried, p.Upstream.ID)
	silent := x.watchSilence()
	if silent != nil {
		defer silent.Stop()
	}
	res, err := x.send(ctx)
	if err != nil {
		return x.broken(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	return x.reply(ctx, res, silent)
}

// watchSilence sets a timer that cancels the exchange of a repeatable request if nothing comes in
// time for another upstream to answer. It asks for the retry first: without one, a late answer is
// better than none.
func (x *exchange) watchSilence() *time.Timer {
	j := x.j
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts || j.sends >= maxSends {
		return nil
	}
	within := j.silence()
	return time.AfterFunc(within, func() {
		if j.s.Fleet.AllowRetry(j.target) {
			j.granted.Store(true)
			x.cancel(errSilent)
		}
	})
}

// silence is how long the first byte of a repeatable request may take.
//
// It guards against prompts that are given up while an engine still reads them: the next engine
// starts from the beginning and is given up as well, and since only a prompt that was read to its end
// stays in the cache, the same prompt fails again and again.
func (j *job) silence() time.Duration {
	within := max(silentLeast, time.Duration(silentShare*float64(j.route.Objective)))
	return within + time.Duration(silentReads*float64(j.s.Fleet.PrefillTime(j.target, j.call.Chain.Tokens())))
}

// send makes the round trip up to the header of the answer.
func (x *exchange) send(ctx context.Context) (*http.Response, error) {
	j := x.j
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.sent.GotConn})
	u := *j.r.URL
	u.Scheme, u.Host = "http", x.p.Upstream.Address
	req := (&http.Request{Method: j.r.Method, URL: &u, Host: j.r.Host, Header: sageheader.EndToEnd(j.r.Header), ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	if len(j.bytes) > 0 {
		req.Body = io.NopCloser(onceReader{bytes.NewReader(j.bytes)})
		req.ContentLength = int64(len(j.bytes))
	}
	s := ForwardMetadata{Upstream: x.p.Upstream, Deadline: j.until, Priority: j.priority(), CacheSource: x.p.CacheSource, LastEventID: j.lastEvent}
	if j.account != nil {
		s.Account = j.account.Name
	}
	j.s.Dialect.SetForwardHeader(req.Header, &s)
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""} // no name that the caller didn't give
	}
	if len(j.call.Chain) > 0 {
		j.s.Fleet.RecordPrompt(x.p.Upstream, j.call.Chain)
	}
	return j.s.upstreams.of(j.route.Repeatable()).RoundTrip(req)
}

// onceReader hides the reader's type, so that net/http doesn't send the body again by itself.
type onceReader struct{ io.Reader }

// priority is the account's urgency, or else the route's.
func (j *job) priority() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}

// broken settles an exchange that brought no header of an answer.
func (x *exchange) broken(ctx context.Context, err error) verdict {
	j := x.j
	j.cause = err.Error()
	unsent := x.sent.Seal()
	x.sent.Close()
	if j.r.Context().Err() != nil {
		if !unsent {
			x.abandon()
		}
		return callerGone
	}
	silent := errors.Is(context.Cause(ctx), errSilent)
	timedOut := ctx.Err() != nil && !silent
	if !timedOut {
		j.ended(x.p, sagehealth.Broken)
	}
	if unsent {
		if refused(err) {
			j.s.noteCrash(x.p.Upstream)
		}
		return notSent
	}
	if silent || timedOut {
		x.abandon()
		x.answered(ResponseResult{Failed: true})
	} else {
		x.checkCrash()
	}
	j.runs++
	return failed
}

// reply judges the header of an answer and passes the rest on.
func (x *exchange) reply(ctx context.Context, res *http.Response, silent *time.Timer) verdict {
	j := x.j
	rep := j.s.Dialect.ParseResponse(res)
	if rep.Misdirected {
		j.s.Fleet.RecordMisdirected(x.p.Upstream)
		j.cause = "the address belongs to another upstream"
		return notRun
	}
	if rep.NotRun {
		j.cause = "declined with status " + strconv.Itoa(res.StatusCode)
		return notRun
	}
	if rep.ID != j.call.ID || !rep.Sealed {
		// The late answer to an earlier request on this connection, or bytes of nobody's.
		return x.spoilt("the answer is another request's or has no seal")
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return x.failure(ctx, res, silent)
	}
	if sageheader.IsEventStream(res) {
		return x.stream(ctx, res, silent)
	}
	if j.started {
		// The caller is in the middle of a stream: a plain answer would be written into it.
		return x.spoilt("a stream was to go on and came as a plain answer")
	}
	return x.plain(ctx, res, silent)
}

// answered reports to the fleet how the upstream answered.
func (x *exchange) answered(a ResponseResult) { x.j.s.Fleet.RecordResponse(x.p, x.j.route.Name, a) }

// spoilt settles an exchange whose answer can't be trusted.
func (x *exchange) spoilt(cause string) verdict {
	x.sent.Close()
	x.j.cause = cause
	x.j.runs++
	x.j.ended(x.p, sagehealth.Broken)
	return failed
}

// failure settles a failure that the upstream answered itself. It is kept, to be passed on if no
// other upstream gives a better answer.
func (x *exchange) failure(ctx context.Context, res *http.Response, silent *time.Timer) verdict {
	j := x.j
	h, v := x.hold(ctx, res, silent)
	if h == nil {
		return v
	}
	j.runs++
	j.ended(x.p, sagehealth.Failed)
	x.answered(ResponseResult{Failed: true})
	j.cause = "upstream status " + strconv.Itoa(res.StatusCode)
	if !j.started {
		j.held = h
	}
	return failed
}

// plain passes on an answer that is not a stream, once it is whole.
func (x *exchange) plain(ctx context.Context, res *http.Response, silent *time.Timer) verdict {
	h, v := x.hold(ctx, res, silent)
	if h == nil {
		return v
	}
	x.j.ended(x.p, sagehealth.OK)
	x.answered(ResponseResult{Duration: time.Since(x.began)})
	h.pass(x.j)
	return answered
}

// heldAnswer is a whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// hold reads a whole answer; nil means that it broke, with the verdict on that.
func (x *exchange) hold(ctx context.Context, res *http.Response, silent *time.Timer) (*heldAnswer, verdict) {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxHeld+1))
	if silent != nil {
		silent.Stop()
	}
	if err == nil && len(b) > maxHeld {
		return nil, x.spoilt("the answer is too large to hold")
	}
	if err != nil {
		return nil, x.broken(ctx, err)
	}
	return &heldAnswer{status: res.StatusCode, header: sageheader.EndToEnd(res.Header), body: b}, answered
}

// pass gives a held answer to the caller.
func (h *heldAnswer) pass(j *job) {
	copyInto(j.w.Header(), h.header)
	if j.r.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	j.w.WriteHeader(h.status)
	_, _ = j.w.Write(h.body) // a caller that left meanwhile needs no answer
}

// copyInto passes an answer's header on.
func copyInto(dst, src http.Header) {
	sageheader.Copy(dst, src)
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil // net/http would guess one
	}
}
