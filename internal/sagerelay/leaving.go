package sagerelay

import (
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagedrain"
)

// closing returns when the node stops, or nil if it doesn't.
func (s *Service) closing() *sagedrain.Closing {
	if s.Closing == nil {
		return nil
	}
	return s.Closing()
}

// fitsBeforeExit reports whether the request is expected to end before the node aborts it, also if it is sent once more.
func (j *job) fitsBeforeExit() bool {
	c := j.s.closing()
	return c == nil || c.Fits(time.Now(), j.deadline, j.route.Name, &j.s.durations)
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
	ok := c.Accepts(now, j.deadline, j.route.Name, &j.s.durations)
	estimate, known := j.s.durations.Estimate(now, j.route.Name)
	decision := "accepted"
	if !ok {
		decision = "refused"
	}
	j.s.Metrics.GetOrCreateCounter(`sagestand_leaving_requests_total{decision="` + decision + `"}`).Inc()
	j.s.Log.Limited(sagelog.KindStateChange, "Request at a leaving node.", "id", j.meta.ID, "decision", decision, "route", j.route.Name, "from", j.relay.from,
		"cut_in_ms", c.CutAt.Sub(now).Milliseconds(), "deadline_ms", j.deadline.Sub(now).Milliseconds(), "estimate_ms", estimate.Milliseconds(), "estimate_known", known)
	if !ok {
		j.refuse(http.StatusServiceUnavailable, j.leavingReason(), minReturn)
	}
	return ok
}

// leavingReason returns the reason of a refusal by a leaving node. Peers of any version try another node after RelayBusy.
func (j *job) leavingReason() Reason {
	if j.relay.from != "" {
		return RelayBusy
	}
	return Leaving
}

// recordDuration records how long a request took that was sent.
func (j *job) recordDuration() {
	if j.route != nil && (j.sends > 0 || len(j.relay.tried) > 0) {
		now := time.Now()
		j.s.durations.Record(now, j.route.Name, now.Sub(j.start))
	}
}
