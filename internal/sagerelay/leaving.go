package sagerelay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagedrain"
)

// Causes with which a leaving node cancels requests.
var (
	errLeaving = errors.New("the node leaves, and the request may not end before its exit")
	errExit    = errors.New("the node exits")
)

// sendState says whether a request has been sent, or may no longer be.
type sendState = int32

const (
	sendWaiting sendState = iota // not sent yet
	sendBegun                    // may have been sent
	sendRefused                  // refused by a leaving node
)

// closing returns when the node stops, or nil if it doesn't.
func (s *Service) closing() *sagedrain.Closing {
	if s.Closing == nil {
		return nil
	}
	return s.Closing()
}

// estimate returns how long a request of a route is expected to take at most, or false if that isn't known. Requests in progress
// count with their age, since those that have ended say nothing of upstreams that have become slow.
func (s *Service) estimate(now time.Time, route string) (time.Duration, bool) {
	out, ok := s.durations.Estimate(now, route)
	for _, j := range s.jobs.list() {
		if j.state.Load() == sendBegun && j.route.Name == route {
			out = max(out, now.Sub(j.bodyRead))
		}
	}
	return out, ok
}

// fitsBeforeExit reports whether the request, if it is sent now, is expected to end before the node aborts it.
func (j *job) fitsBeforeExit() bool {
	c, now := j.s.closing(), time.Now()
	if c == nil {
		return true
	}
	estimate, known := j.s.estimate(now, j.route.Name)
	return c.Fits(now, j.deadline, estimate, known)
}

// acceptBeforeExit refuses the request and returns false if the node is leaving and may abort it.
//
// A refusal costs the caller a new connection to another node; a request that is cut may have been executed, and can't be
// sent again if it must be executed at most once.
func (j *job) acceptBeforeExit() bool {
	c := j.s.closing()
	if c == nil {
		return true
	}
	now := time.Now()
	estimate, known := j.s.estimate(now, j.route.Name)
	if c.Accepts(now, j.deadline, estimate, known) {
		j.recordLeaving(c, "accepted", estimate, known)
		return true
	}
	j.recordLeaving(c, "refused", estimate, known)
	j.refuse(http.StatusServiceUnavailable, j.leavingReason(), minReturn)
	return false
}

// recordLeaving logs and counts a decision on a request at a leaving node.
func (j *job) recordLeaving(c *sagedrain.Closing, decision string, estimate time.Duration, known bool) {
	j.s.Metrics.GetOrCreateCounter(`sagestand_leaving_requests_total{decision="` + decision + `"}`).Inc()
	j.s.Log.Limited(sagelog.KindExit, "Request at a leaving node.", "id", j.meta.ID, "decision", decision, "route", j.route.Name, "from", j.relay.from, "cut_in_ms", time.Until(c.CutAt).Milliseconds(),
		"deadline_ms", time.Until(j.deadline).Milliseconds(), "estimate_ms", estimate.Milliseconds(), "estimate_known", known, "age_ms", time.Since(j.start).Milliseconds())
}

// RefuseWaiting refuses the requests that a leaving node has accepted and not sent yet, if they may no longer end before its
// exit. It has to be called several times a second.
func (s *Service) RefuseWaiting() {
	c, now := s.closing(), time.Now()
	if c == nil {
		return
	}
	for _, j := range s.jobs.list() {
		estimate, known := s.estimate(now, j.route.Name)
		if c.Fits(now, j.deadline, estimate, known) || !j.state.CompareAndSwap(sendWaiting, sendRefused) {
			continue
		}
		j.recordLeaving(c, "refused_waiting", estimate, known)
		j.cancel(errLeaving)
	}
}

// beginSend reports whether the request may be sent. From then on, [Service.RefuseWaiting] leaves it alone.
func (j *job) beginSend() bool {
	return j.state.CompareAndSwap(sendWaiting, sendBegun) || j.state.Load() == sendBegun
}

// leavingReason returns the reason of a refusal by a leaving node. Peers of any version try another node after RelayBusy.
func (j *job) leavingReason() Reason {
	if j.relay.from != "" {
		return RelayBusy
	}
	return Leaving
}

// recordDuration records how long the request took from when its body had been read, as the decision is taken then.
func (j *job) recordDuration(complete bool) {
	now := time.Now()
	if complete {
		j.s.durations.Record(now, j.route.Name, now.Sub(j.bodyRead))
	} else if j.state.Load() == sendBegun {
		j.s.durations.RecordIncomplete(now, j.route.Name, now.Sub(j.bodyRead))
	}
}
