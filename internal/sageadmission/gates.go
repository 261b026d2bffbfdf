package sageadmission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefair"
)

// Gates admits requests to services by the shares of their accounts. A service without shares admits everything. The zero
// value is ready to use. It is safe for concurrent use. Exported fields must be set before the first call.
type Gates struct {
	// ReturnWithin is that of [sagefair.Gate].
	ReturnWithin float64
	// Now returns the current instant; nil means [sageclock.Now].
	Now func() sageclock.Instant
	// Phase returns that of a new [sagefair.Gate]; nil means [rand.Float64].
	Phase func() float64

	mu    sync.RWMutex
	gates map[string]*gate
	set   *metrics.Set // of Export
}

// gate is the gate of one service.
type gate struct {
	now func() sageclock.Instant

	mu      sync.Mutex
	fair    sagefair.Gate
	waiting waiters[*sagefair.Entry]
	timer   *time.Timer
	timerAt sageclock.Instant // 0 if the timer isn't set
	metrics *gateMetrics      // nil until exported
}

// Admit offers a request to the gate of a service and waits until it is decided on. The returned entry is running or refused,
// or ended if ctx ended before.
func (s *Gates) Admit(ctx context.Context, service string, a sagefair.Arrival) *sagefair.Entry {
	s.mu.RLock()
	g := s.gates[service]
	s.mu.RUnlock()
	if g == nil {
		return &sagefair.Entry{Arrival: a, State: sagefair.Running}
	}
	e, decided := g.offer(a)
	if decided == nil {
		return e
	}
	select {
	case <-decided:
	case <-ctx.Done():
		g.cancel(e)
	}
	return e
}

// SetShares replaces the shares of a service.
func (s *Gates) SetShares(service string, shares sagefair.Shares) {
	g := s.gate(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.fair.SetShares(now, shares)
	g.advance(now)
}

// Remove removes the gate of a service that is no longer configured. Its waiting requests are started.
func (s *Gates) Remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[service]
	if g == nil {
		return
	}
	delete(s.gates, service)
	if s.set != nil {
		unexport(s.set, service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.fair.SetShares(now, sagefair.Shares{})
	g.advance(now)
}

// gate returns the gate of a service, and makes one if there is none.
func (s *Gates) gate(service string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gates[service]; g != nil {
		return g
	}
	g := &gate{now: s.Now, waiting: waiters[*sagefair.Entry]{}}
	if g.now == nil {
		g.now = sageclock.Now
	}
	phase := s.Phase
	if phase == nil {
		phase = rand.Float64
	}
	g.fair.ReturnWithin, g.fair.Phase = s.ReturnWithin, phase()
	if s.gates == nil {
		s.gates = make(map[string]*gate)
	}
	s.gates[service] = g
	if s.set != nil {
		g.export(s.set, service)
	}
	return g
}

// offer submits a request. decided is not nil if it has to wait; it is closed when the request is decided on.
func (g *gate) offer(a sagefair.Arrival) (e *sagefair.Entry, decided <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	e = g.fair.Offer(now, a)
	if e.State == sagefair.Waiting {
		decided = g.waiting.add(e)
	} else {
		g.metrics.record(e, 0)
	}
	if g.fair.Waiting() > 0 {
		g.advance(now)
	}
	return e, decided
}

// advance decides on waiting requests and sets the timer for the next decision. mu must be held.
func (g *gate) advance(now sageclock.Instant) {
	decided, next := g.fair.Advance(now)
	for _, e := range decided {
		g.metrics.record(e, now.Sub(e.Arrived))
	}
	g.waiting.wake(decided)
	g.setTimer(now, next)
}

// setTimer sets the timer to an instant, or stops it if that is 0.
func (g *gate) setTimer(now, at sageclock.Instant) {
	if at == g.timerAt {
		return
	}
	g.timerAt = at
	switch {
	case at == 0:
		g.timer.Stop()
	case g.timer == nil:
		g.timer = time.AfterFunc(at.Sub(now), g.tick)
	default:
		g.timer.Reset(at.Sub(now))
	}
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = 0
	g.advance(g.now())
}

// cancel withdraws a request whose caller has left, unless it was decided on in the meantime.
func (g *gate) cancel(e *sagefair.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.State != sagefair.Waiting {
		return
	}
	now := g.now()
	g.fair.Cancel(now, e)
	delete(g.waiting, e)
	g.advance(now)
}
