package sagerelay

import (
	"time"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// The methods below record what an exchange says about its upstream. An exchange with a peer says nothing about one.

// recordExchange records the result of an exchange. It isn't called for exchanges that ended because
// the caller left or its deadline passed, which say nothing about the upstream.
func (x *exchange) recordExchange(res sagehealth.Result) {
	if x.helper != nil {
		return
	}
	x.j.s.Fleet.RecordExchange(x.p.Upstream, res)
	if res == sagehealth.OK || res == sagehealth.Failed {
		x.j.s.Fleet.RecordRun(x.p.Upstream, time.Since(x.start))
	}
}

// recordResponse records the result of the response for the upstream and the route.
func (x *exchange) recordResponse(a ResponseResult) {
	if x.helper == nil {
		x.j.s.Fleet.RecordResponse(x.p, x.j.route.Name, a)
	}
}

// recordUnanswered records that the exchange got no complete answer. Bytes that arrived just before show that the path is sound,
// whatever they are.
func (x *exchange) recordUnanswered() {
	switch {
	case x.helper != nil:
	case receiving(&x.tracker):
		x.j.s.Fleet.RecordAnswer(x.p.Upstream, x.freshConn)
	default:
		x.j.s.Fleet.RecordUnanswered(x.p.Upstream)
	}
}

// receiving reports whether the other end of an exchange's connection sent bytes within the last minStallTimeout, and hasn't ended
// the connection.
func receiving(t *sageconn.Tracker) bool {
	at, open := t.Received()
	return open && time.Since(at) < minStallTimeout
}

// recordUnsent records that the request was not written. A refused connection shows that the upstream has stopped, if
// this node's path is sound.
func (x *exchange) recordUnsent(err error) {
	if x.helper == nil && !x.conn.got {
		x.j.unreached = append(x.j.unreached, x.p.Upstream.ID)
	}
	if x.helper == nil && isConnRefused(err) {
		u := x.p.Upstream
		x.j.s.Fleet.WhenPathVerified(u, true, func() { x.j.s.recordCrash(u) })
	}
}

// recordFailedResponse records that the exchange stalled or timed out, if this node's path is sound.
func (x *exchange) recordFailedResponse() {
	switch {
	case x.helper != nil:
	case receiving(&x.tracker):
		x.recordResponse(ResponseResult{Failed: true})
	default:
		x.j.s.Fleet.WhenPathVerified(x.p.Upstream, false, func() { x.recordResponse(ResponseResult{Failed: true}) })
	}
}
