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

// Bounds of the service.
const (
	// MaxDeltaBytes is the greatest number of delta bytes that one message carries.
	MaxDeltaBytes = 16 << 10
	// meetWithin bounds one exchange. A paused peer accepts connections and never answers.
	meetWithin = 2 * time.Second
	// maxMeetings bounds the exchanges under way, so that peers that don't answer hold up none that do.
	maxMeetings = 4
	// lastMeetings is how many peers hear of this node's end, or of a change that can't wait.
	lastMeetings = 3
)

// Peers makes calls to other nodes.
type Peers interface {
	URL(addr string) string
	HTTP() *http.Client
}

// Members says whom this node can meet.
type Members interface {
	Peers() []sagegossip.Peer
	Urgent() []string
}

// Service is the service "gossip". Its exported fields are set before Run.
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
	nudge   chan struct{}
	free    chan struct{}
	met     *metrics.Counter
	failed  *metrics.Counter
}

func (s *Service) init() {
	s.once.Do(func() {
		s.chooser = sagegossip.Chooser{Self: s.Self, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		s.nudge = make(chan struct{}, 1)
		s.free = make(chan struct{}, maxMeetings)
		if s.Engine.Budget == 0 {
			s.Engine.Budget = MaxDeltaBytes
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		s.met = s.Metrics.NewCounter("sagestand_exchanges_total")
		s.failed = s.Metrics.NewCounter("sagestand_exchanges_failed_total")
		s.Metrics.NewGauge("sagestand_exchange_panics", func() float64 { return float64(s.Engine.Panics()) })
		s.Metrics.NewGauge("sagestand_exchange_bad_parts", func() float64 { return float64(s.Engine.Rejected()) })
	})
}

// Nudge makes the node meet a few peers at once, after a change that can't wait for the period.
func (s *Service) TriggerExchange() {
	s.init()
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// Run meets a peer each period until ctx ends, and then a few last ones.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	var wait sync.WaitGroup
	defer wait.Wait()
	t := time.NewTicker(s.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), meetWithin)
			defer cancel()
			s.meetSome(last, &wait, lastMeetings)
			wait.Wait()
			return nil
		case <-t.C:
			s.meetSome(ctx, &wait, 1)
		case <-s.nudge:
			s.meetSome(ctx, &wait, lastMeetings)
		}
	}
}

// meetSome begins n exchanges, fewer when too many are under way already.
func (s *Service) meetSome(ctx context.Context, wait *sync.WaitGroup, n int) {
	for range n {
		addr, ok := s.chooser.Next(s.Members.Peers(), s.Members.Urgent())
		if !ok {
			return
		}
		select {
		case s.free <- struct{}{}:
		default:
			return
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-s.free }()
			s.meet(ctx, addr)
		}()
	}
}

func (s *Service) meet(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, meetWithin)
	defer cancel()
	s.met.Inc()
	if err := s.Engine.Exchange(ctx, &caller{peers: s.Peers, self: s.Self.Address}, addr); err != nil {
		// The membership tells what matters of it; a line for each failed call would flood the log
		// during a partition.
		s.failed.Inc()
	}
}
