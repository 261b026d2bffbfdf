package sagerelay

import (
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
)

// AbortRequests ends all requests in progress, since the node exits: with a refusal those that weren't sent, with the statement
// that they may have been executed the others, and by the end of their connection the streams that have begun.
func (s *Service) AbortRequests() {
	s.cutting.Store(true)
	for _, j := range s.jobs.list() {
		j.cancel(errExit)
	}
}

// abort ends the connection of a request that gets no complete response.
func (j *job) abort() {
	if j.s.cutting.Load() {
		j.logCut()
	}
	panic(http.ErrAbortHandler)
}

func (j *job) logCut() {
	j.s.Metrics.GetOrCreateCounter("sagestand_requests_cut_total").Inc()
	if j.route == nil || j.deadline.IsZero() {
		j.s.Log.Limited(sagelog.KindExit, "Request cut by the exit of the node before it was read.", "id", j.meta.ID, "age_ms", time.Since(j.start).Milliseconds())
		return
	}
	j.s.Log.Limited(sagelog.KindExit, "Request cut by the exit of the node.", "id", j.meta.ID, "route", j.route.Name, "service", j.serviceName, "upstreams", len(j.tried),
		"last_event", j.lastEventID, "from", j.relay.from, "deadline_ms", time.Until(j.deadline).Milliseconds(), "age_ms", time.Since(j.start).Milliseconds())
}
