package sagerelay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// errUnidentified is the cause with which an exchange is cancelled that got a response without an ID, and no other one after it.
var errUnidentified = errors.New("no response after one without a request ID")

// maxUnidentifiedPause limits the pause that a response without an ID asks for. Who wrote it is less certain.
const maxUnidentifiedPause = 5 * time.Second

// ownerOf returns whose a response is. A faulty upstream may send a second copy of an earlier response, or one to no request,
// which arrives before the response to the next request on the connection. It is skipped.
func (x *exchange) ownerOf(res *http.Response) sageconn.Owner {
	switch x.j.s.Dialect.ParseResponse(res).ID {
	case x.j.meta.ID:
		return sageconn.OwnerSelf
	case "":
		return sageconn.OwnerUnknown
	}
	return sageconn.OwnerOther
}

// examineOwner is [exchange.ownerOf] for responses as they arrive. One without an ID counts as another's, so that it is skipped on
// a reused connection: the response to the request may still come. But the upstream may also have rejected the request
// without its ID, so the exchange ends if none comes within [job.identifyTimeout].
func (x *exchange) examineOwner(ctx context.Context, res *http.Response) sageconn.Owner {
	owner := x.ownerOf(res)
	if owner != sageconn.OwnerUnknown {
		return owner
	}
	x.recordUnidentified(res)
	x.holdPause(res)
	t := time.AfterFunc(x.j.identifyTimeout(), func() {
		// Without a skipped response, the exchange has taken another connection since.
		if ctx.Err() == nil && !x.identified.Load() && x.tracker.Skipped() > 0 {
			x.cancel(errUnidentified)
		}
	})
	context.AfterFunc(ctx, func() { t.Stop() })
	return sageconn.OwnerOther
}

// identifyTimeout is the time allowed for the response to the request after one without an ID. A request that must be executed at
// most once can't go to another upstream, so its response may take up to the route's objective.
func (j *job) identifyTimeout() time.Duration {
	if j.route.Repeatable() {
		return j.firstByteTimeout()
	}
	return max(j.firstByteTimeout(), j.route.Objective)
}

// owns reports whether a response is the one to this exchange's request. Until then nothing in it may be believed, neither
// that the request has not run nor what it says about its upstream, but for [exchange.holdPause]. Upstreams and peers echo the request's ID, so a response
// without one belongs to no request.
func (x *exchange) owns(res *http.Response) bool {
	x.recordSkipped()
	own := x.ownerOf(res) == sageconn.OwnerSelf
	x.identified.Store(own)
	return own
}

// errForeignInside reports an event that holds a response to another request.
var errForeignInside = errors.New("response to another request inside an event")

// holdsForeign reports whether a body, or an event, holds a response to another request.
func (x *exchange) holdsForeign(body []byte) bool {
	return x.conn.reused && sageconn.HoldsForeign(body, x.ownerOf)
}

// recordSkipped records the responses that have been skipped since it was last called.
func (x *exchange) recordSkipped() {
	n := x.tracker.Skipped() - x.skipped
	if n <= 0 {
		return
	}
	x.skipped += n
	x.countForeign("skipped", n)
	x.j.s.Log.Limited(sagelog.KindExchange, "Responses to other requests, or to none, skipped.", "id", x.j.meta.ID, "upstream", x.upstreamID(), "skipped", n, "idle_ms", x.conn.idle.Milliseconds())
}

// rejectForeign handles an exchange that got a response which isn't known to be its own. The request may have run.
func (x *exchange) rejectForeign(res *http.Response) verdict {
	j, meta := x.j, x.j.s.Dialect.ParseResponse(res)
	j.s.Log.Limited(sagelog.KindExchange, "Response isn't known to belong to its request.", "id", j.meta.ID, "response_id", truncate(meta.ID), "upstream", x.upstreamID(), "status", res.StatusCode,
		"not_run", meta.NotRun, "reused", x.conn.reused, "idle_ms", x.conn.idle.Milliseconds())
	x.countForeign("rejected", 1)
	if meta.ID == "" && !x.conn.reused {
		x.believePause(res.StatusCode) // nothing precedes it on the connection
	}
	return x.rejectResponse("response isn't known to belong to the request")
}

// holdPause remembers the pause that a response without an ID asks for. It is about the upstream and no request, but on a reused
// connection the response may be an old one or inside another's body, so it is believed only once the request's own doesn't follow.
func (x *exchange) holdPause(res *http.Response) {
	until := x.j.s.Dialect.ParseResponse(res).PauseUntil
	if x.helper != nil || until == 0 {
		return
	}
	x.heldPause.Store(int64(min(until, sageclock.Now().Add(maxUnidentifiedPause))))
}

// believePause records the pause that [exchange.holdPause] remembered, after which no response to the request came.
func (x *exchange) believePause(status int) {
	if until := sageclock.Instant(x.heldPause.Swap(0)); until != 0 {
		x.j.observeAnnouncements(x.p.Upstream, status, &ResponseMetadata{ID: x.j.meta.ID, PauseUntil: until})
	}
}

// recordUnidentified records a response without an ID.
func (x *exchange) recordUnidentified(res *http.Response) {
	x.countForeign("unidentified", 1)
	x.j.s.Log.Limited(sagelog.KindExchange, "Response has no request ID.", "id", x.j.meta.ID, "upstream", x.upstreamID(), "status", res.StatusCode,
		"not_run", x.j.s.Dialect.ParseResponse(res).NotRun)
}

// countForeign counts responses that aren't the request's own.
func (x *exchange) countForeign(outcome string, n int) {
	x.j.s.Metrics.GetOrCreateCounter(`sagestand_foreign_responses_total{service="` + x.j.serviceName + `",outcome="` + outcome + `"}`).Add(n)
}

// rejectResponse handles an exchange whose response can't be trusted.
func (x *exchange) rejectResponse(cause string) verdict {
	x.tracker.Discard()
	x.j.cause = cause
	x.j.possibleRuns++
	x.recordExchange(sagehealth.Broken)
	return failed
}
