package sageentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sagewire"
)

// upstreamResponseHeaders are set before an attempt, for the upstream's response, and are removed from
// a refusal.
var upstreamResponseHeaders = []string{sagewire.HeaderPlacement, sagewire.HeaderUpstream}

// refuse responds with a refusal and records it.
func (s *Service) refuse(w http.ResponseWriter, req *Request, ref *sagewire.Refusal, attempts int) {
	for _, name := range upstreamResponseHeaders {
		w.Header().Del(name)
	}
	writeRefusal(w, req.ID, ref)
	s.Log.Info("Request refused.", "request_id", req.ID, "account", req.Account, "outcome", ref.Outcome, "reason", ref.Reason, "detail", ref.Detail)
	s.Recorder.Record(newObservation(req, ref.Outcome, ref.Reason, attempts))
}

// writeRefusal writes the status, headers and body of a refusal.
func writeRefusal(w http.ResponseWriter, id string, ref *sagewire.Refusal) {
	out := *ref
	out.RequestID = id
	h := w.Header()
	h.Set(sagewire.HeaderRequestID, id)
	h.Set(sagewire.HeaderOutcome, string(out.Outcome))
	h.Set("Content-Type", "application/json")
	if !out.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.Itoa(retryAfter(time.Now(), out.RetryAt)))
	}
	w.WriteHeader(out.HTTPStatus())
	_ = json.NewEncoder(w).Encode(&out)
}

// retryAfter returns the number of seconds until at, rounded up, at least 1.
func retryAfter(now, at time.Time) int {
	d := at.Sub(now)
	return max(1, int((d+time.Second-1)/time.Second))
}

// refuseClaim responds to a request whose key is already claimed, with the stored response if there is
// one.
func (s *Service) refuseClaim(w http.ResponseWriter, req *Request, storedResponse *sagedispatch.BufferedResponse, ref *sagewire.Refusal) {
	if storedResponse == nil || ref.Outcome != sagewire.AlreadyRun {
		s.refuse(w, req, ref, 0)
		return
	}
	h := w.Header()
	for k, v := range storedResponse.Header {
		h[k] = v
	}
	h.Set(sagewire.HeaderOutcome, string(sagewire.AlreadyRun))
	h.Set("Content-Length", strconv.Itoa(len(storedResponse.Body)))
	w.WriteHeader(storedResponse.Status)
	_, _ = w.Write(storedResponse.Body)
	s.Recorder.Record(newObservation(req, sagewire.AlreadyRun, ref.Reason, 0))
}

func newObservation(req *Request, o sagewire.Outcome, reason sagewire.Reason, attempts int) Observation {
	return Observation{
		Account: req.Account, Route: req.Route, Priority: req.Priority, Outcome: o, Reason: reason,
		ArrivedAt: req.ArrivedAt, EndedAt: time.Now(), Deadline: req.Deadline, Attempts: attempts,
	}
}
