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
	// refresh is how often slots are read anew while requests wait.
	refresh = 20 * time.Millisecond
	// noUnits is how long a set may be without units before its requests are refused at once.
	noUnits = 15 * time.Second
	// forget is how long an unused scheduler is kept.
	forget = time.Minute
)

// Load says how many requests this node may have in flight.
type Load interface {
	// Slots returns the units held at the upstreams; queued requests wait for more.
	Slots(upstreams []string, queued int) int
}

// Service implements [sageentry.Admission]. Its exported fields are set before Run.
type Service struct {
	Config sageentry.Config
	Load   Load
	// InFlight bounds the requests in flight of each upstream set, Queued those that wait.
	MaxInFlight int
	MaxQueued   int

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the scheduler of one upstream set.
type pool struct {
	sagefair.Scheduler

	upstreams []string
	waiting   map[*sagefair.Item]chan struct{}
	lacking   time.Time // since when the set is without units; zero if it has some
	used      time.Time
	read      time.Time
	slots     int
}

// Run reads slots anew while requests wait, and forgets what is not used, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(refresh)
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
		} else if p.Running() == 0 && now.Sub(p.used) > forget {
			delete(s.pools, name)
		}
	}
}

// refresh sets the slots of a pool to the units held now.
func (s *Service) refresh(now time.Time, p *pool) {
	p.read = now
	p.slots = min(s.Load.Slots(p.upstreams, len(p.waiting)), s.MaxInFlight)
	if p.slots > 0 {
		p.lacking = time.Time{}
	} else if p.lacking.IsZero() {
		p.lacking = now
	}
	p.wake(p.SetSlots(now, p.slots))
}

// wake tells those who wait for the items.
func (p *pool) wake(items []*sagefair.Item) {
	for _, it := range items {
		if c := p.waiting[it]; c != nil {
			close(c)
			delete(p.waiting, it)
		}
	}
}

// Admit implements [sageentry.Admission].
func (s *Service) Admit(ctx context.Context, r *sageentry.Request) (release func(), ref *sagewire.Refusal) {
	weight, set, upstreams := s.shares(r)
	if len(upstreams) == 0 {
		return func() {}, nil // placement says why nothing can serve it
	}
	var p *pool
	var it *sagefair.Item
	var turn chan struct{}
	for {
		if ref := s.units(ctx, set, upstreams); ref != nil {
			return nil, ref
		}
		var again bool
		if p, it, turn, again = s.offer(r, weight, set, upstreams); !again {
			break
		}
	}
	if turn != nil {
		select {
		case <-turn:
		case <-ctx.Done():
			if ref := s.left(p, it); ref != nil {
				return nil, ref
			}
		}
	}
	if it.State == sagefair.Refused {
		return nil, refusal(it)
	}
	var once sync.Once
	return func() { once.Do(func() { s.done(p, it) }) }, nil
}

// shares returns the weight of the request's account, and the upstream set that it goes to.
func (s *Service) shares(r *sageentry.Request) (weight float64, set string, upstreams []string) {
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

// offer offers the request; turn is not nil if it has to wait. It reports again when the set's units
// ran out since they were waited for.
func (s *Service) offer(r *sageentry.Request, weight float64, set string, upstreams []string) (p *pool, it *sagefair.Item, turn chan struct{}, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p = s.pool(now, set, upstreams)
	if now.Sub(p.read) > refresh {
		s.refresh(now, p)
	}
	if !p.decided(now) {
		return nil, nil, nil, true
	}
	it, others := p.Offer(now, sagefair.Request{Account: r.Account, Weight: weight, Priority: r.Priority, Deadline: r.Deadline})
	p.wake(others)
	if it.State != sagefair.Waiting {
		return p, it, nil, false
	}
	turn = make(chan struct{})
	p.waiting[it] = turn
	return p, it, turn, false
}

// pool returns the scheduler of an upstream set; mu is held.
func (s *Service) pool(now time.Time, set string, upstreams []string) *pool {
	if s.pools == nil {
		s.pools = make(map[string]*pool)
	}
	p := s.pools[set]
	if p == nil {
		p = &pool{waiting: make(map[*sagefair.Item]chan struct{}), lacking: now}
		p.MaxQueue = s.MaxQueued
		s.pools[set] = p
	}
	p.upstreams, p.used = upstreams, now
	return p
}

// decided reports whether the pool can judge a request: it has units, or has lacked them for long.
func (p *pool) decided(now time.Time) bool {
	return p.slots > 0 || now.Sub(p.lacking) > noUnits
}

// units waits while a set has no units but may soon have some.
//
// It guards against an outage at each change: a node that has just started, a set that a ticket has
// just brought, and every set whose homes have just died hold no unit for the seconds that a new home
// must wait. Refusing at once would turn each of these into refusals of all requests.
func (s *Service) units(ctx context.Context, set string, upstreams []string) *sagewire.Refusal {
	for {
		s.mu.Lock()
		now := time.Now()
		p := s.pool(now, set, upstreams)
		if p.slots == 0 {
			s.refresh(now, p)
		}
		ready := p.decided(now)
		s.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return sagewire.Refuse(sagewire.ReasonOverloaded, "no in-flight allotment yet", now.Add(time.Second))
		case <-time.After(refresh):
		}
	}
}

// left takes a request out of the queue whose deadline passed or whose caller left; nil means that
// it got its slot or its refusal at that moment.
func (s *Service) left(p *pool, it *sagefair.Item) *sagewire.Refusal {
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

func (s *Service) done(p *pool, it *sagefair.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.used = now
	p.wake(p.Done(now, it))
}

// Export adds the number of waiting requests by class to a set of metrics.
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

// details say to a person what the reasons of the scheduler mean.
var details = map[sagewire.Reason]string{
	sagewire.ReasonAccountLimit: "the client account has as many requests waiting as its share allows",
	sagewire.ReasonOverloaded:   "no in-flight allotment is free and the queue is full",
	sagewire.ReasonDeadline:     "the request could not start before its deadline",
}

func refusal(it *sagefair.Item) *sagewire.Refusal {
	return sagewire.Refuse(it.Reason, details[it.Reason], it.RetryAt)
}
