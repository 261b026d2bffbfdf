package sagegossipd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagegossip"
)

// Limits of the service.
const (
	// MaxDeltaBytes limits the bytes of deltas in one message.
	MaxDeltaBytes = 16 << 10
	// exchangeTimeout limits one exchange. A paused peer accepts connections but never responds.
	exchangeTimeout = 2 * time.Second
	// maxExchanges limits concurrent exchanges. It allows for peers that don't respond, so that they don't delay
	// exchanges with others.
	maxExchanges = 4
	// urgentExchanges is the number of peers contacted after an urgent change and before this node stops.
	urgentExchanges = 3
)

// Peers provides the base URL and the HTTP client for calls to other nodes.
type Peers interface {
	URL(addr string) string
	HTTP() *http.Client
}

// Members returns the peers with which this node can exchange state. Urgent returns the addresses of those to
// contact first.
type Members interface {
	Peers() []sagegossip.Peer
	Urgent() []string
}

// Service is the service "gossip". Its exported fields must be set before Run.
type Service struct {
	Self    sagegossip.Peer
	Peers   Peers
	Members Members
	Engine  sagegossip.Engine
	Period  time.Duration
	// Metrics may be nil.
	Metrics *metrics.Set
	Log     sagelog.Logger

	once    sync.Once
	chooser sagegossip.Chooser
	trigger chan struct{}
	slots   chan struct{}
	started *metrics.Counter
	failed  *metrics.Counter
}

func (s *Service) init() {
	s.once.Do(func() {
		s.chooser = sagegossip.Chooser{Self: s.Self, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		s.trigger = make(chan struct{}, 1)
		s.slots = make(chan struct{}, maxExchanges)
		if s.Engine.Budget == 0 {
			s.Engine.Budget = MaxDeltaBytes
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		s.started = s.Metrics.NewCounter("sagestand_exchanges_total")
		s.failed = s.Metrics.NewCounter("sagestand_exchanges_failed_total")
		s.Metrics.NewGauge("sagestand_exchange_panics", func() float64 { return float64(s.Engine.Panics()) })
		s.Metrics.NewGauge("sagestand_exchange_bad_parts", func() float64 { return float64(s.Engine.Rejected()) })
	})
}

// TriggerExchange starts exchanges with a few peers immediately, for a change that must not wait for the period.
func (s *Service) TriggerExchange() {
	s.init()
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Run starts an exchange with one peer per period until ctx ends, and then with a few peers a last time.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	var wait sync.WaitGroup
	defer wait.Wait()
	t := time.NewTicker(s.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
			defer cancel()
			s.startExchanges(last, &wait, urgentExchanges)
			wait.Wait()
			return nil
		case <-t.C:
			s.startExchanges(ctx, &wait, 1)
		case <-s.trigger:
			s.startExchanges(ctx, &wait, urgentExchanges)
		}
	}
}

// startExchanges starts n exchanges, or fewer if maxExchanges are in progress.
func (s *Service) startExchanges(ctx context.Context, wait *sync.WaitGroup, n int) {
	for range n {
		addr, ok := s.chooser.Next(s.Members.Peers(), s.Members.Urgent())
		if !ok {
			return
		}
		select {
		case s.slots <- struct{}{}:
		default:
			return
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-s.slots }()
			s.exchangeWith(ctx, addr)
		}()
	}
}

func (s *Service) exchangeWith(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s.started.Inc()
	if err := s.Engine.Exchange(ctx, &rpcTransport{peers: s.Peers, self: s.Self.Address}, addr); err != nil {
		// Not logged: a line per failed call would flood the log during a partition. The members service logs
		// nodes that are declared dead.
		s.failed.Inc()
	}
}
