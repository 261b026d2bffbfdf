package sageentry

import (
	"net/http"
	"time"

	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagewire"
)

// setClosing has requests refused from now on that may not end before stopBy, when they would be aborted.
func (s *Service) setClosing(serveUntil, stopBy time.Time) {
	if serveUntil.After(stopBy) {
		serveUntil = stopBy
	}
	s.closing.Store(&sagedrain.Closing{CertainFrom: serveUntil, CloseAt: serveUntil, CutAt: stopBy, UnknownFits: true})
}

// leaving returns the refusal of a request that may not end before the stop of the process; nil if it is accepted.
func (s *Service) leaving(w http.ResponseWriter, req *Request) *sagewire.Refusal {
	c, now := s.closing.Load(), time.Now()
	if c == nil {
		return nil
	}
	if estimate, known := s.durations.Estimate(now, req.Route); c.Accepts(now, req.Deadline, estimate, known) {
		return nil
	}
	w.Header().Set("Connection", "close")
	return sagewire.Refuse(sagewire.ReasonLeaving, "this VM stops before requests like this one end; use another address", now)
}

// mayRetry reports whether a request may be sent once more: unless the process stops before requests like it end.
func (s *Service) mayRetry(req *Request) bool {
	c, now := s.closing.Load(), time.Now()
	if c == nil || !req.Deadline.After(c.CutAt) {
		return true
	}
	estimate, known := s.durations.Estimate(now, req.Route)
	return !known || estimate <= c.CutAt.Sub(now)
}

// recordDuration records how long a request took that was sent.
func (s *Service) recordDuration(req *Request) {
	now := time.Now()
	s.durations.Record(now, req.Route, now.Sub(req.ArrivedAt))
}
