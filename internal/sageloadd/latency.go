package sageloadd

import (
	"context"
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
)

// leastTokens is the number of prompt tokens from which the time to the first token tells the
// engine's speed rather than that of the network.
const leastTokens = 16

// Dispatcher makes attempts at upstreams.
type Dispatcher interface {
	Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result
}

// TimedDispatcher passes attempts on, each bound to the boot of the engine that its unit is for, and feeds the time to the first token, per uncached prompt token, to the
// detector of cold engines. Answers that are not streamed come when they are whole, so their time
// tells the length of the answer and is left out.
type TimedDispatcher struct {
	Next Dispatcher
	Load *Service
}

// Do implements [Dispatcher].
func (t *TimedDispatcher) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	if id, ok := t.Load.boot(a.Address); ok {
		a.BootID = id
	}
	start := time.Now()
	res := t.Next.Do(ctx, w, a)
	fresh := res.PromptTokens - res.CachedTokens
	if a.Engine && a.Stream && !res.FirstByteAt.IsZero() && fresh >= leastTokens {
		t.Load.latency(a.Address, res.FirstByteAt.Sub(start).Seconds()/float64(fresh))
	}
	return res
}

// latency takes the latency of one answer, see [sageload.Detector].
func (s *Service) latency(address string, latency float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.byAddress[address]; u != nil && u.detector.Observe(latency) {
		u.cold = true
		s.hurry()
	}
}
