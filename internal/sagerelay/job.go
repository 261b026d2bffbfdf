package sagerelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Limits of one request.
const (
	// maxSends is the maximum number of upstreams that one request is sent to, including those that
	// decline it.
	maxSends = 4
	// minRemaining is the minimum time before the deadline at which a request is still sent. No
	// upstream can respond in less.
	minRemaining = 5 * time.Millisecond
	// maxReturnSpread and 1/returnSpreadDivisor of a pause limit the time over which callers return
	// after it.
	maxReturnSpread     = 500 * time.Millisecond
	returnSpreadDivisor = 8
)

// verdict is the outcome of one exchange.
type verdict int

const (
	// answered: the caller has received the final response.
	answered verdict = iota
	// notSent: no byte of the request left this node.
	notSent
	// notRun: the upstream states that it did not execute the request.
	notRun
	// failed: the request may have been executed and nothing was forwarded to the caller.
	failed
	// streamTruncated: the stream broke off after events had been forwarded.
	streamTruncated
	// callerGone: the caller has disconnected.
	callerGone
)

// job is the state of one request.
type job struct {
	s          *Service
	w          http.ResponseWriter
	r          *http.Request
	start      time.Time
	bodyRead   time.Time // when the body had been read
	meta       RequestMetadata
	route      *sageroute.Route
	version    uint64 // of the configuration that the request was matched against
	account    *sageroute.Account
	keyChecked bool
	body       []byte
	// reservedBytes is the part of the buffer limit that is reserved for the body.
	reservedBytes int64
	// responses are the reservations of buffered responses.
	responses []*reservation

	deadline    time.Time
	serviceName string
	sends       int
	cancel      context.CancelCauseFunc
	// callerConn is the caller's connection, and leave ends the request as if net/http had noticed its end; nil if it isn't known.
	callerConn   syscall.RawConn
	leave        context.CancelFunc
	state        atomic.Int32 // a sendState
	possibleRuns int          // sends after which the request may have been executed
	tried        []string
	headerSent   bool   // the response header has been written to the caller
	lastEventID  string // ID of the last event written to the caller
	// lastEventNumber is lastEventID as a number; 0 before the first event.
	lastEventNumber uint64
	upstreamFailure *bufferedResponse
	retryGranted    atomic.Bool // a retry was granted before the exchange was cancelled
	cause           string      // of the last failed exchange, for the log
	// sentTo are the addresses of the upstreams that the request was sent to.
	sentTo []string
	// lastEnd is the end of the last exchange; its zero value is none.
	lastEnd exchangeEnd
	// connWait is how long the request has waited for free connections.
	connWait time.Duration
	// unreached are the upstreams of the sends in a row that got no connection.
	unreached []string
	relay     relayState
	originState
	fpOnce, partsOnce sync.Once
	fp                sagequarantine.Fingerprint
	suspectParts      []sagequarantine.Suspect
	quarantineEnd     sageclock.Instant // end of the request's quarantine
}

// serve sends the request to upstreams until one responds or no further attempt is allowed.
func (j *job) serve() {
	j.bodyRead, j.deadline = time.Now(), j.finalDeadline()
	j.lastEventID = j.meta.LastEventID
	j.lastEventNumber, _ = strconv.ParseUint(j.meta.LastEventID, 10, 64) // 0 if not numeric
	if j.serviceName = j.relay.service; j.serviceName == "" {
		j.serviceName = j.pickService()
	}
	if !j.acceptBeforeExit() {
		return
	}
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	ctx, j.cancel = context.WithCancelCause(ctx)
	defer j.cancel(nil)
	j.s.jobs.add(j)
	defer j.s.jobs.remove(j)
	complete := false
	defer func() { j.recordDuration(complete) }()
	defer j.endOrigin()
	j.setWriteDeadline()
	if reason, ok := j.findOrigin(ctx); !ok {
		j.finish(ctx, reason)
		return
	}
	if j.relay.from == "" { // otherwise the peer has counted it
		j.s.Fleet.RecordFirstSend(j.serviceName)
	}
	j.s.Fleet.AwaitCacheSync(ctx, j.serviceName, j.meta.Chain)
	if j.quarantined() {
		j.finish(ctx, Quarantined)
		return
	}
	if !j.admit(ctx) {
		return
	}
	if j.needsHelper() {
		complete = j.serveByHelper(ctx)
		return
	}
	leave, ok := j.s.Fleet.AdmitAccount(j.serviceName, j.accountName())
	if !ok {
		j.finish(ctx, AccountLimited)
		return
	}
	defer leave()
	complete = j.serveByUpstream(ctx)
}

// serveByUpstream sends the request to upstreams, or to peers if no upstream can be reached. It reports whether the caller got the
// complete response of one.
func (j *job) serveByUpstream(ctx context.Context) bool {
	waited := false
	for {
		if j.needsHelper() {
			return j.serveByHelper(ctx)
		}
		if j.relay.from != "" && j.unreachable() {
			j.finish(ctx, NoPath)
			return false
		}
		if j.sends == 0 && !j.fitsBeforeExit() {
			j.finish(ctx, j.leavingReason())
			return false
		}
		p := j.s.Fleet.Pick(&Query{Service: j.serviceName, Route: j.route.Name, Chain: j.meta.Chain, Tried: j.tried, Origin: j.origin})
		if p == nil && !waited {
			waited = true
			if j.s.Fleet.AwaitPlace(ctx, j.serviceName, j.route.Objective) {
				continue
			}
		}
		if p == nil {
			j.finish(ctx, j.missingReason())
			return false
		}
		start := time.Now()
		v := j.sendTo(ctx, p)
		p.Done()
		j.s.countSend(j.serviceName, v)
		if v == answered {
			j.s.Fleet.RecordServiceTime(j.serviceName, time.Since(start))
			j.s.countEnd(Answered)
			j.s.observeDuration(j)
			j.logAnswered(p)
			return true
		}
		j.logFailure(p, v)
		if v == callerGone {
			j.abandon()
		}
		if reason, ok := j.mayResend(ctx, v); !ok {
			j.finish(ctx, reason)
			return false
		}
	}
}

// accountName returns the name of the request's account; empty on public routes.
func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}
	return j.account.Name
}

// abandon ends a request whose caller has disconnected.
func (j *job) abandon() {
	j.s.countEnd(CallerLeft)
	j.abort()
}

// logFailure logs an exchange that produced no final response.
func (j *job) logFailure(p *Pick, v verdict) {
	j.s.Log.Limited(sagelog.KindExchange, "Exchange failed.", "id", j.meta.ID, "upstream", p.Upstream.ID, "version", p.Upstream.Version, "verdict", v.String(),
		"resumes", j.meta.Resumes, "cause", j.cause, "send", j.sends, "why", p.Rule, "load", p.Load, "fingerprint", j.fingerprint().String(), "account", j.accountName(), "parts", j.meta.Chain.Shared().String(),
		"age_ms", time.Since(j.start).Milliseconds())
}

// String returns the name of the verdict in logs and metrics.
func (v verdict) String() string {
	return [...]string{"answered", "not_sent", "not_run", "failed", "cut", "caller_gone"}[v]
}

// mayRunAgain reports whether the route lets the request run once more than it may have so far.
func (j *job) mayRunAgain() bool {
	return j.route.Repeatable() && j.relay.earlierRuns+j.possibleRuns < j.route.MaxAttempts
}

// mayResend reports whether the request may be sent to another upstream, and otherwise why not.
func (j *job) mayResend(ctx context.Context, v verdict) (Reason, bool) {
	reason := AnswerLost
	switch {
	case j.possibleRuns == 0:
		reason = UpstreamFull
	case j.upstreamFailure != nil:
		reason = UpstreamFailed
	}
	switch {
	case ctx.Err() != nil || time.Until(j.deadline) < minRemaining:
		return TimedOut, false
	case j.sends >= maxSends:
		return reason, false
	case !j.headerSent && !j.fitsBeforeExit():
		if j.possibleRuns == 0 && j.relay.from == "" {
			reason = Leaving // a peer needs a token of its retry budget to send it on
		}
		return reason, false
	case j.quarantined():
		return Quarantined, false
	case v == notSent:
		return "", true
	case v != notRun && !j.mayRunAgain():
		return reason, false
	case !j.retryGranted.Swap(false) && !j.allowRetry(j.possibleRuns > 0, j.sends, j.cause):
		return reason, false
	}
	return "", true
}

// finish ends a request for which no upstream produced a complete response.
//
// It reports the request as not executed only if it was never sent or every upstream declined it.
func (j *job) finish(ctx context.Context, reason Reason) {
	j.logGivenUp(reason)
	cause := context.Cause(ctx)
	exits := errors.Is(cause, errExit)
	switch {
	case j.headerSent:
		j.abort() // a truncated stream must not look complete
	case j.r.Context().Err() != nil:
		j.abort()
	case errors.Is(cause, errPeerLost):
		j.abandon()
	case j.upstreamFailure != nil:
		j.upstreamFailure.writeTo(j)
	case j.possibleRuns > 0 && exits:
		j.logCut()
		j.refuse(http.StatusBadGateway, Leaving, 0)
	case j.possibleRuns > 0 && ctx.Err() != nil:
		j.refuse(http.StatusGatewayTimeout, TimedOut, 0)
	case j.possibleRuns > 0:
		j.refuse(http.StatusBadGateway, reason, 0)
	case exits, errors.Is(cause, errLeaving):
		j.refuseNotRun(j.leavingReason())
	case reason == Quarantined:
		j.refuseQuarantined()
	default:
		j.refuseNotRun(reason)
	}
}

// spreadReturn returns a random time after a pause of the given length, so that the callers that were
// refused meanwhile don't all return at its end.
func spreadReturn(left time.Duration) time.Duration {
	return rand.N(min(left/returnSpreadDivisor, maxReturnSpread) + 1)
}

// refuseNotRun refuses a request that no upstream has executed. If all upstreams are paused, the
// caller is asked to return soon after the first pause ends.
func (j *job) refuseNotRun(reason Reason) {
	retryAfter := shortRetryAfter
	switch reason {
	case Leaving, RelayBusy:
		j.refuse(http.StatusServiceUnavailable, reason, minReturn)
		return
	case OriginMoved:
		retryAfter = 0 // it won't lead there again
	case VersionGone:
		retryAfter = versionReturn
	case OriginUnknown:
		retryAfter = max(shortRetryAfter, j.originFollowsIn)
		if left := max(0, time.Until(j.deadline).Truncate(time.Millisecond)); !j.originMayFollow || left < retryAfter {
			retryAfter = left // it won't be known in time
		}
	}
	if until := j.relay.pauseUntil; until != 0 && reason == j.relay.refusal {
		j.refuse(http.StatusServiceUnavailable, reason, max(time.Millisecond, until.Sub(sageclock.Now())))
		return
	}
	if reason == NoPath {
		left := j.s.Fleet.PathReturn(j.serviceName)
		j.refuse(http.StatusServiceUnavailable, reason, left+spreadReturn(left).Truncate(time.Millisecond))
		return
	}
	if until := j.s.Fleet.PausedUntil(j.serviceName); until != 0 {
		left := max(0, until.Sub(sageclock.Now()))
		retryAfter = (left + spreadReturn(left)).Truncate(time.Millisecond) + time.Millisecond
		if reason == NoUpstream || reason == UpstreamFull {
			reason = UpstreamsPaused
		}
	}
	j.refuse(http.StatusServiceUnavailable, reason, retryAfter)
}

func (j *job) logGivenUp(reason Reason) {
	j.s.Log.Limited(sagelog.KindAbandoned, "Request given up.", "id", j.meta.ID, "reason", string(reason), "route", j.route.Name, "service", j.serviceName,
		"sends", j.sends, "runs", j.possibleRuns, "hops", len(j.relay.tried), "from", j.relay.from, "cause", j.cause, "fingerprint", j.fingerprint().String(), "config_version", j.version, "age_ms", time.Since(j.start).Milliseconds())
}

// logAnswered logs an answered request. The logger drops and counts most of these lines.
func (j *job) logAnswered(p *Pick) {
	j.s.Log.Limited(sagelog.KindServed, "Request answered.", "id", j.meta.ID, "route", j.route.Name, "upstream", p.Upstream.ID, "version", p.Upstream.Version, "why", p.Rule,
		"load", p.Load, "sends", j.sends, "resumes", j.meta.Resumes, "from", j.relay.from, "config_version", j.version, "age_ms", time.Since(j.start).Milliseconds())
}

// refuse writes a response that this node generates itself.
func (j *job) refuse(status int, reason Reason, retryAfter time.Duration) {
	j.s.countEnd(reason)
	if status != http.StatusNotFound && status != http.StatusUnauthorized {
		j.s.Log.Limited(sagelog.KindRefused, "Request refused.", "id", j.meta.ID, "status", status, "reason", string(reason),
			"config_version", j.version, "proof_age_ms", j.s.Fleet.ProofAge().Milliseconds(), "age_ms", time.Since(j.start).Milliseconds())
	}
	h := j.w.Header()
	j.setRelayRefusal(h, status, reason)
	j.s.Dialect.SetRefusalHeader(h, j.meta.ID, retryAfter)
	body := `{"reason":` + strconv.Quote(string(reason)) + `}`
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(status)
	_, _ = j.w.Write([]byte(body)) // fails only if the caller has disconnected
}

// setWriteDeadline limits the time for writes to a caller that doesn't read.
func (j *job) setWriteDeadline() {
	// Ignores the error of writers without deadline support, such as test recorders.
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.deadline.Add(writeGrace))
}
