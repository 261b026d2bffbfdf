package sagerelay

import (
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
)

// RecordCuts has the requests that end from now on without a complete response logged as cut by the node's exit.
func (s *Service) RecordCuts() { s.cutting.Store(true) }

// abort ends the connection of a request that gets no complete response.
func (j *job) abort() {
	if j.s.cutting.Load() {
		j.logCut()
	}
	panic(http.ErrAbortHandler)
}

func (j *job) logCut() {
	j.s.Metrics.GetOrCreateCounter("sagestand_requests_cut_total").Inc()
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	j.s.Log.Limited(sagelog.KindAbandoned, "Request cut by the exit of the node.", "id", j.meta.ID, "route", route, "service", j.serviceName, "upstreams", len(j.tried),
		"last_event", j.lastEventID, "from", j.relay.from, "deadline_ms", time.Until(j.deadline).Milliseconds(), "age_ms", time.Since(j.start).Milliseconds())
}
