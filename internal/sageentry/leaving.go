package sageentry

import (
	"net/http"
	"sync"
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
	if estimate, known := s.estimate(now, req.Route); c.Accepts(now, req.Deadline, estimate, known) {
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
	estimate, known := s.estimate(now, req.Route)
	return !known || estimate <= c.CutAt.Sub(now)
}

// sentRequests is the set of requests that were sent and haven't ended. Its zero value is ready to use.
type sentRequests struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
}

func (x *sentRequests) add(req *Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.requests == nil {
		x.requests = make(map[*Request]struct{})
	}
	x.requests[req] = struct{}{}
}

func (x *sentRequests) remove(req *Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.requests, req)
}

// oldest returns the age of the oldest request of a route; 0 if there is none.
func (x *sentRequests) oldest(now time.Time, route string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	var age time.Duration
	for req := range x.requests {
		if req.Route == route {
			age = max(age, now.Sub(req.ReadAt))
		}
	}
	return age
}

// estimate returns how long a request of a route is expected to take at most, or false if that isn't known. Requests in progress
// count with their age, since those that have ended say nothing of upstreams that have become slow.
func (s *Service) estimate(now time.Time, route string) (time.Duration, bool) {
	estimate, known := s.durations.EstimateWithin(now, route)
	return max(estimate, s.sent.oldest(now, route)), known
}

// recordDuration records how long a request took that was sent, from when its body had been read, as the decision is taken then. One that wasn't answered completely would have taken longer.
func (s *Service) recordDuration(req *Request, complete bool) {
	now := time.Now()
	if complete {
		s.durations.Record(now, req.Route, now.Sub(req.ReadAt))
	} else {
		s.durations.RecordIncomplete(now, req.Route, now.Sub(req.ReadAt))
	}
}
