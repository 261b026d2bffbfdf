package sageadmission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sagewire"
)

const (
	// slotRefreshInterval is how often the number of slots is updated while requests wait.
	slotRefreshInterval = 20 * time.Millisecond
	// noUnitsTimeout is how long requests wait for a set that has no units. After that they are refused
	// immediately.
	noUnitsTimeout = 15 * time.Second
	// poolIdleTimeout is how long an unused scheduler is kept.
	poolIdleTimeout = time.Minute
)

// Load provides the number of requests that this node may have in flight.
type Load interface {
	// Slots returns the number of units held at the upstreams. queued is the number of waiting requests, for
	// which more units are requested.
	Slots(upstreams []string, queued int) int
}

// Service implements [sageentry.Admission]. Its exported fields must be set before Run.
type Service struct {
	Config sageentry.Config
	Load   Load
	// MaxInFlight and MaxQueued limit the requests in flight and waiting, for each upstream set.
	MaxInFlight int
	MaxQueued   int

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the scheduler of one upstream set.
type pool struct {
	sagefair.Scheduler

	upstreams    []string
	waiting      waiters[*sagefair.Item]
	noUnitsSince time.Time // zero while the set has units
	lastUsed     time.Time
	slotsReadAt  time.Time
	slots        int
}

// Run updates the slots while requests wait and removes unused schedulers, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(slotRefreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.tick(time.Now())
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		if len(p.waiting) > 0 {
			s.refresh(now, p)
		} else if p.Running() == 0 && now.Sub(p.lastUsed) > poolIdleTimeout {
			delete(s.pools, name)
		}
	}
}

// refresh sets the slots of a pool to the number of units held now.
func (s *Service) refresh(now time.Time, p *pool) {
	p.slotsReadAt = now
	p.slots = min(s.Load.Slots(p.upstreams, len(p.waiting)), s.MaxInFlight)
	if p.slots > 0 {
		p.noUnitsSince = time.Time{}
	} else if p.noUnitsSince.IsZero() {
		p.noUnitsSince = now
	}
	p.waiting.wake(p.SetSlots(now, p.slots))
}

// Admit implements [sageentry.Admission].
func (s *Service) Admit(ctx context.Context, r *sageentry.Request) (release func(), ref *sagewire.Refusal) {
	weight, set, upstreams := s.resolveShare(r)
	if len(upstreams) == 0 {
		return func() {}, nil // placement reports why nothing can serve it
	}
	var p *pool
	var it *sagefair.Item
	var decided <-chan struct{}
	for {
		if ref := s.awaitUnits(ctx, set, upstreams); ref != nil {
			return nil, ref
		}
		var retry bool
		if p, it, decided, retry = s.offer(r, weight, set, upstreams); !retry {
			break
		}
	}
	if decided != nil {
		select {
		case <-decided:
		case <-ctx.Done():
			if ref := s.withdraw(p, it); ref != nil {
				return nil, ref
			}
		}
	}
	if it.State == sagefair.Refused {
		return nil, refusal(it)
	}
	var once sync.Once
	return func() { once.Do(func() { s.releaseSlot(p, it) }) }, nil
}

// resolveShare returns the weight of the request's account and the upstream set to which it is routed.
func (s *Service) resolveShare(r *sageentry.Request) (weight float64, set string, upstreams []string) {
	st, weight := s.Config.State(), 1
	if st == nil {
		return weight, "", nil
	}
	if route, ok := st.Route(r.Route); ok {
		set = route.UpstreamSet
	}
	if a, ok := st.ClientAccount(r.Account); ok {
		weight = a.Weight
		if a.UpstreamSet != "" && r.Kind == sageconfig.RouteChat {
			set = a.UpstreamSet
		}
	}
	if us, ok := st.UpstreamSet(set); ok {
		upstreams = us.Upstreams
	}
	return weight, set, upstreams
}

// offer submits the request to the scheduler of its upstream set. decided is not nil if the request has
// to wait; it is closed when the request is started or refused. retry is true if the set has run out of
// units since awaitUnits returned.
func (s *Service) offer(r *sageentry.Request, weight float64, set string, upstreams []string) (p *pool, it *sagefair.Item, decided <-chan struct{}, retry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p = s.poolFor(now, set, upstreams)
	if now.Sub(p.slotsReadAt) > slotRefreshInterval {
		s.refresh(now, p)
	}
	if !p.canDecide(now) {
		return nil, nil, nil, true
	}
	it, others := p.Offer(now, sagefair.Request{Account: r.Account, Weight: weight, Priority: r.Priority, Deadline: r.Deadline})
	p.waiting.wake(others)
	if it.State != sagefair.Waiting {
		return p, it, nil, false
	}
	return p, it, p.waiting.add(it), false
}

// poolFor returns the scheduler of an upstream set. mu must be held.
func (s *Service) poolFor(now time.Time, set string, upstreams []string) *pool {
	if s.pools == nil {
		s.pools = make(map[string]*pool)
	}
	p := s.pools[set]
	if p == nil {
		p = &pool{waiting: waiters[*sagefair.Item]{}, noUnitsSince: now}
		p.MaxQueue = s.MaxQueued
		s.pools[set] = p
	}
	p.upstreams, p.lastUsed = upstreams, now
	return p
}

// canDecide reports whether the pool can admit or refuse a request: it has units, or has had none for
// noUnitsTimeout.
func (p *pool) canDecide(now time.Time) bool {
	return p.slots > 0 || now.Sub(p.noUnitsSince) > noUnitsTimeout
}

// awaitUnits waits while a set has no units but may soon have some.
//
// Without it, each of these changes would refuse all requests of a set: a node has just started, a
// ticket has just added the set, or the coordinators of its upstreams have just failed. The node then
// holds no units for the seconds that a new coordinator must wait before it grants any.
func (s *Service) awaitUnits(ctx context.Context, set string, upstreams []string) *sagewire.Refusal {
	for {
		s.mu.Lock()
		now := time.Now()
		p := s.poolFor(now, set, upstreams)
		if p.slots == 0 {
			s.refresh(now, p)
		}
		ready := p.canDecide(now)
		s.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return sagewire.Refuse(sagewire.ReasonOverloaded, "no in-flight allotment yet", now.Add(time.Second))
		case <-time.After(slotRefreshInterval):
		}
	}
}

// withdraw removes a request from the queue after its deadline has passed or its caller has left. It
// returns nil if the request was started or refused in the meantime.
func (s *Service) withdraw(p *pool, it *sagefair.Item) *sagewire.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it.State != sagefair.Waiting {
		return nil
	}
	now := time.Now()
	p.Cancel(now, it)
	delete(p.waiting, it)
	return sagewire.Refuse(sagewire.ReasonDeadline, "the deadline passed in the queue", now.Add(time.Second))
}

func (s *Service) releaseSlot(p *pool, it *sagefair.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.lastUsed = now
	p.waiting.wake(p.Done(now, it))
}

// Export adds the number of waiting requests of each class to a set of metrics.
func (s *Service) Export(set *metrics.Set) {
	for c := range sagewire.Priority(sagewire.NumPriorities) {
		set.NewGauge(fmt.Sprintf("sagestand_queued{priority=%q}", c), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			n := 0
			for _, p := range s.pools {
				n += p.Queued(c)
			}
			return float64(n)
		})
	}
}

// reasonDetails holds the human-readable detail for each reason of the scheduler.
var reasonDetails = map[sagewire.Reason]string{
	sagewire.ReasonAccountLimit: "the client account has as many requests waiting as its share allows",
	sagewire.ReasonOverloaded:   "no in-flight allotment is free and the queue is full",
	sagewire.ReasonDeadline:     "the request could not start before its deadline",
}

func refusal(it *sagefair.Item) *sagewire.Refusal {
	return sagewire.Refuse(it.Reason, reasonDetails[it.Reason], it.RetryAt)
}
