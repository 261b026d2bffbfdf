package sagerelay

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Bounds on one request.
const (
	// maxSends bounds how many upstreams one request is offered to, refusals included.
	maxSends = 4
	// leastTime is the least time left with which a request is sent: less than an upstream needs
	// for the shortest answer.
	leastTime = 5 * time.Millisecond
)

// verdict is how one exchange ended.
type verdict int

const (
	// answered: the caller has its final answer.
	answered verdict = iota
	// notSent: no byte left this node.
	notSent
	// notRun: the upstream says that it did not execute the request.
	notRun
	// failed: the request may have been executed and nothing was passed on.
	failed
	// cut: the stream broke after events were passed on.
	cut
	// callerGone: nobody waits any more.
	callerGone
)

// job is one request under way.
type job struct {
	s       *Service
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time
	call    RequestMetadata
	route   *sageroute.Route
	version uint64 // of the configuration
	account *sageroute.Account
	keyed   bool
	bytes   []byte
	// reserved is the memory taken for the body.
	reserved int64

	until     time.Time
	target    string // service
	sends     int
	runs      int // sends after which the request may have been executed
	tried     []string
	started   bool   // the header has been passed on
	lastEvent string // id of the last event that the caller has
	// lastPosition is lastEvent as a number; 0 before the first event.
	lastPosition uint64
	held         *heldAnswer
	granted      atomic.Bool // a retry was granted before the exchange was given up
	cause        string      // of the last failed exchange, for the log
	print        *sagequarantine.Fingerprint
	freeAt       sageclock.Instant // end of the request's quarantine
}

// serve sends the request until it is answered or nothing more may be tried.
func (j *job) serve() {
	j.until = j.deadline()
	j.lastEvent = j.call.LastEventID
	j.lastPosition, _ = strconv.ParseUint(j.call.LastEventID, 10, 64) // one that isn't a number is passed on as it is
	j.target = j.service()
	ctx, cancel := context.WithDeadline(j.r.Context(), j.until)
	defer cancel()
	j.writeUntil()
	j.s.Fleet.RecordFirstSend(j.target)
	j.s.Fleet.AwaitCacheSync(ctx, j.target, j.call.Chain)
	if j.quarantined() {
		j.finish(ctx, Quarantined)
		return
	}
	for {
		p := j.s.Fleet.Pick(&Query{Service: j.target, Route: j.route.Name, Chain: j.call.Chain, Tried: j.tried})
		if p == nil {
			j.finish(ctx, NoUpstream)
			return
		}
		began := time.Now()
		v := j.try(ctx, p)
		p.Done()
		j.s.countSend(j.target, v)
		if v == answered {
			j.succeeded()
			j.s.Fleet.RecordServiceTime(j.target, time.Since(began))
			j.s.count(Answered)
			j.s.observe(j)
			j.logServed(p)
			return
		}
		j.note(p, v)
		if v == callerGone {
			j.s.count(CallerLeft)
			panic(http.ErrAbortHandler)
		}
		if reason, ok := j.again(ctx, v); !ok {
			j.finish(ctx, reason)
			return
		}
	}
}

// note logs an exchange that brought no final answer.
func (j *job) note(p *Pick, v verdict) {
	j.s.Log.Limited(sagelog.KindExchange, "Exchange failed.", "id", j.call.ID, "upstream", p.Upstream.ID, "verdict", v.String(),
		"cause", j.cause, "send", j.sends, "why", p.Rule, "load", p.Load, "fingerprint", j.fingerprint().String(), "age_ms", time.Since(j.began).Milliseconds())
}

// String returns the verdict's name for the log.
func (v verdict) String() string {
	return [...]string{"answered", "not_sent", "not_run", "failed", "cut", "caller_gone"}[v]
}

// again reports whether one more upstream may have the request.
func (j *job) again(ctx context.Context, v verdict) (Reason, bool) {
	reason := AnswerLost
	switch {
	case j.runs == 0:
		reason = UpstreamFull
	case j.held != nil:
		reason = UpstreamFailed
	}
	switch {
	case ctx.Err() != nil || time.Until(j.until) < leastTime:
		return TimedOut, false
	case j.sends >= maxSends:
		return reason, false
	case j.quarantined():
		return Quarantined, false
	case v == notSent:
		return "", true
	case v != notRun && !(j.route.Repeatable() && j.runs < j.route.MaxAttempts):
		return reason, false
	case !j.granted.Swap(false) && !j.s.Fleet.AllowRetry(j.target):
		return reason, false
	}
	return "", true
}

// finish gives the final answer of a request that no upstream answered to the end.
//
// Only a request that was never sent, or whose every send was declined, is called not run.
func (j *job) finish(ctx context.Context, reason Reason) {
	j.log(reason)
	switch {
	case j.started:
		panic(http.ErrAbortHandler) // a cut stream must not look finished
	case j.r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case j.held != nil:
		j.held.pass(j)
	case j.runs > 0 && ctx.Err() != nil:
		j.refuse(http.StatusGatewayTimeout, TimedOut, 0)
	case j.runs > 0:
		j.refuse(http.StatusBadGateway, reason, 0)
	case reason == Quarantined:
		j.refuseQuarantined()
	default:
		j.refuse(http.StatusServiceUnavailable, reason, retrySoon)
	}
}

func (j *job) log(reason Reason) {
	j.s.Log.Limited(sagelog.KindAbandoned, "Request given up.", "id", j.call.ID, "reason", string(reason), "route", j.route.Name, "service", j.target,
		"sends", j.sends, "runs", j.runs, "cause", j.cause, "fingerprint", j.fingerprint().String(), "config_version", j.version, "age_ms", time.Since(j.began).Milliseconds())
}

// logServed tells of an answered request; most of these lines are left out and counted.
func (j *job) logServed(p *Pick) {
	j.s.Log.Limited(sagelog.KindServed, "Request answered.", "id", j.call.ID, "route", j.route.Name, "upstream", p.Upstream.ID, "why", p.Rule,
		"load", p.Load, "sends", j.sends, "config_version", j.version, "age_ms", time.Since(j.began).Milliseconds())
}

// refuse answers for this node itself.
func (j *job) refuse(status int, reason Reason, after time.Duration) {
	j.s.count(reason)
	if status != http.StatusNotFound && status != http.StatusUnauthorized {
		j.s.Log.Limited(sagelog.KindRefused, "Request refused.", "id", j.call.ID, "status", status, "reason", string(reason),
			"config_version", j.version, "proof_age_ms", j.s.Fleet.ProofAge().Milliseconds(), "age_ms", time.Since(j.began).Milliseconds())
	}
	h := j.w.Header()
	j.s.Dialect.SetRefusalHeader(h, j.call.ID, after)
	body := `{"reason":` + strconv.Quote(string(reason)) + `}`
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(status)
	_, _ = j.w.Write([]byte(body)) // a caller that left meanwhile needs no answer
}

// writeUntil bounds the writes to a caller that doesn't read.
func (j *job) writeUntil() {
	// Writers without deadlines, as in tests, are left alone.
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.until.Add(writeSlack))
}

// ended tells the fleet how an exchange ended, unless it was this side that ended it.
func (j *job) ended(p *Pick, res sagehealth.Result) { j.s.Fleet.RecordExchange(p.Upstream, res) }
