// Package sageretryd is the service "retry" of a node: the retry budgets and circuits of package
// sageretry behind one lock.
//
// # Usage
//
//	s := &sageretryd.Service{Policy: sageretry.Policy{Source: source}}
//	s.First(now)
//	if s.Lets(now, "engine1", deadline) {
//		... // one attempt
//		s.Ended(now, "engine1", &result)
//	}
package sageretryd

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageretry"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Service implements [sageentry.Retries] and keeps the circuits for placement. Policy is set before
// first use.
type Service struct {
	Policy sageretry.Policy

	mu sync.Mutex
}

// First implements [sageentry.Retries].
func (s *Service) RecordFirstAttempt(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy.RecordFirstAttempt()
}

// Allow implements [sageentry.Retries].
func (s *Service) Allow(now time.Time, r *sageentry.Request, tried []string, notRun bool) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.Policy.Retry(now, sageretry.Attempt{Idempotent: r.Idempotent, NotRun: notRun, Tried: tried, Untried: 1, Deadline: r.Deadline})
	return d.At, d.OK
}

// Lets reports whether the circuit of an upstream lets a request through, and counts it if so.
func (s *Service) AllowSend(now time.Time, upstream string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Policy.Allow(now, upstream, deadline) {
		return false
	}
	s.Policy.RecordAttempt(upstream)
	return true
}

// Ended takes the end of a request that was let through. What the caller did, and an orderly refusal
// of the upstream, say nothing against the upstream.
func (s *Service) RecordResult(now time.Time, upstream string, res *sagedispatch.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case res == nil || res.CallerGone:
	case res.Outcome == sagewire.Complete, res.Reason == sagewire.ReasonUpstreamRefused:
		s.Policy.RecordSuccess(upstream)
	default:
		s.Policy.RecordFailure(now, upstream)
	}
}

// Export adds the number of circuits that are not closed to a set of metrics.
func (s *Service) Export(set *metrics.Set) {
	set.NewGauge("sagestand_circuits_open", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.Policy.OpenCircuits())
	})
}
