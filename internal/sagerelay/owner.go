package sagerelay

import (
	"net/http"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// ownerOf returns whose a response is. A faulty upstream may send a second copy of an earlier response, which arrives before
// the response to the next request on the connection. It is skipped.
func (x *exchange) ownerOf(res *http.Response) sageconn.Owner {
	switch x.j.s.Dialect.ParseResponse(res).ID {
	case x.j.meta.ID:
		return sageconn.OwnerSelf
	case "":
		return sageconn.OwnerUnknown
	}
	return sageconn.OwnerOther
}

// owns reports whether a response is the one to this exchange's request. Until then nothing in it may be believed, neither
// that the request has not run nor what it says about its upstream.
//
// A response with an ID belongs to the request with that ID. Not all others' can be skipped. Rejections may lack one. Such a
// response belongs to this request, since it is no copy: no connection is used again after a response without an ID.
func (x *exchange) owns(res *http.Response) bool {
	x.recordSkipped()
	owner := x.ownerOf(res)
	if owner == sageconn.OwnerUnknown {
		x.recordUnidentified(res)
		x.tracker.Discard()
	}
	return owner != sageconn.OwnerOther
}

// errForeignInside reports an event that holds a response to another request.
var errForeignInside = errors.New("response to another request inside an event")

// holdsForeign reports whether a body, or an event, holds a response to another request.
func (x *exchange) holdsForeign(body []byte) bool {
	return x.conn.reused && sageconn.HoldsForeign(body, x.ownerOf)
}

// recordSkipped records the responses to other requests that have been skipped since it was last called.
func (x *exchange) recordSkipped() {
	n := x.tracker.Skipped() - x.skipped
	if n <= 0 {
		return
	}
	x.skipped += n
	x.countForeign("skipped", n)
	x.j.s.Log.Limited(sagelog.KindExchange, "Responses to other requests skipped.", "id", x.j.meta.ID, "upstream", x.upstreamID(), "skipped", n, "idle_ms", x.conn.idle.Milliseconds())
}

// rejectForeign handles an exchange that got a response which isn't known to be its own. The request may have run.
func (x *exchange) rejectForeign(res *http.Response) verdict {
	j, meta := x.j, x.j.s.Dialect.ParseResponse(res)
	j.s.Log.Limited(sagelog.KindExchange, "Response belongs to another request.", "id", j.meta.ID, "response_id", truncate(meta.ID), "upstream", x.upstreamID(), "status", res.StatusCode,
		"not_run", meta.NotRun, "reused", x.conn.reused, "idle_ms", x.conn.idle.Milliseconds())
	x.countForeign("rejected", 1)
	return x.rejectResponse("response belongs to another request")
}

// recordUnidentified records a response without an ID.
func (x *exchange) recordUnidentified(res *http.Response) {
	x.countForeign("unidentified", 1)
	x.j.s.Log.Limited(sagelog.KindExchange, "Response has no request ID.", "id", x.j.meta.ID, "upstream", x.upstreamID(), "status", res.StatusCode,
		"not_run", x.j.s.Dialect.ParseResponse(res).NotRun, "reused", x.conn.reused, "idle_ms", x.conn.idle.Milliseconds())
}

// countForeign counts responses to other requests.
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
