package sageloadd

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
)

// minPromptTokens is the number of uncached prompt tokens from which the time to the first token depends on the
// engine's speed rather than on the network.
const minPromptTokens = 16

// Dispatcher sends one attempt of a request to an upstream.
type Dispatcher interface {
	Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result
}

// TimedDispatcher forwards attempts to Next, each bound to the engine boot for which its unit was granted. It
// reports the time to the first token, divided by the number of uncached prompt tokens, to the detector of cold
// engines. Responses that aren't streamed arrive when they are complete, so their time depends on the length of
// the output; they are left out.
type TimedDispatcher struct {
	Next Dispatcher
	Load *Service
}

// Do implements [Dispatcher].
func (t *TimedDispatcher) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	if id, ok := t.Load.expectedBoot(a.Address); ok {
		a.BootID = id
	}
	start := time.Now()
	res := t.Next.Do(ctx, w, a)
	uncached := res.PromptTokens - res.CachedTokens
	if a.Engine && a.Stream && !res.FirstByteAt.IsZero() && uncached >= minPromptTokens {
		t.Load.recordLatency(a.Address, res.FirstByteAt.Sub(start).Seconds()/float64(uncached))
	}
	return res
}

// recordLatency adds the latency of one response, in seconds per uncached prompt token, to the engine's detector.
func (s *Service) recordLatency(address string, latency float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.byAddress[address]; u != nil && u.detector.Observe(latency) {
		u.coldObserved = true
		s.requestSoon()
	}
}
