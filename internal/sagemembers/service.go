package sagemembers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagemember"
)

// listEvery is how often the VM list is read. It lags by itself, and each read counts at the platform.
const listEvery = 30 * time.Second

// startEvery is how often a starting node looks whether it is ready.
const startEvery = 100 * time.Millisecond

// VMLister reads the addresses of the platform's VM list.
type VMLister interface {
	ListVMs(ctx context.Context) ([]string, error)
}

// Service is the service "members". Its exported fields are set before Run; the table is started
// before Run.
type Service struct {
	Table           *sagemember.Table
	HeartbeatPeriod time.Duration
	// Seeds are addresses of the settings where nodes may be.
	Seeds []string
	// VMLister may be nil.
	VMs VMLister
	// Ready says that the node can serve callers; it is not named to them before.
	Ready func() bool
	// Revision and Load are what the heartbeat reports.
	Revision func() uint64
	Load     func() int64
	// Nudge hurries the exchange after a change that can't wait.
	TriggerExchange func()
	// Drain holds the periods of the stop.
	Drain sagedrain.Machine
	// Metrics may be nil.
	Metrics *metrics.Set
	Log     sagelog.Logger

	mu    sync.Mutex
	since map[uint64]revisionSince
	seen  map[uint64]sagemember.State
}

// revisionSince is when a node was first seen with a revision.
type revisionSince struct {
	revision uint64
	at       time.Time
}

// Run ticks until ctx ends, and then announces that the process is gone.
func (s *Service) Run(ctx context.Context) error {
	s.register()
	s.Table.AddSeeds(s.Seeds...)
	t := time.NewTicker(s.HeartbeatPeriod)
	defer t.Stop()
	start := time.NewTicker(startEvery)
	defer start.Stop()
	var nextList time.Time
	var wait sync.WaitGroup
	defer wait.Wait()
	s.tick(time.Now())
	for {
		now := time.Now()
		if s.VMs != nil && !now.Before(nextList) {
			nextList = now.Add(listEvery)
			wait.Go(func() { s.list(ctx) })
		}
		select {
		case <-ctx.Done():
			s.Table.AdvancePhase(sagemember.Gone)
			s.TriggerExchange()
			return nil
		case now := <-t.C:
			s.tick(now)
		case <-start.C:
			if s.begin() {
				start.Stop()
			}
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.Table.Report(s.Revision(), uint32(max(0, s.Load())))
	s.Table.Tick()
	s.note(now)
}

// begin announces the node as serving once it is ready, and says whether it has.
func (s *Service) begin() bool {
	if !s.Ready() {
		return false
	}
	s.Table.AdvancePhase(sagemember.Serving)
	s.TriggerExchange()
	s.Log.Info("Announced as serving.")
	return true
}

// list takes the VM list as hints. Its addresses may lack a port: all VMs are alike, so the own one
// is taken.
func (s *Service) list(ctx context.Context) {
	_, port, err := net.SplitHostPort(s.Table.LocalNode().Address)
	if err != nil {
		return
	}
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		return // a hint that isn't there; the platform's outage shows elsewhere
	}
	for _, a := range vms {
		host := a
		if h, _, err := net.SplitHostPort(a); err == nil {
			host = h
		}
		if net.ParseIP(host) != nil {
			s.Table.AddSeeds(net.JoinHostPort(host, port))
		}
	}
}

// note logs who came and went, and remembers since when each node holds its revision.
func (s *Service) note(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := make(map[uint64]revisionSince)
	seen := make(map[uint64]sagemember.State)
	for _, n := range s.Table.All() {
		r, ok := s.since[n.Incarnation]
		if !ok || r.revision != n.Revision {
			r = revisionSince{revision: n.Revision, at: now}
		}
		since[n.Incarnation], seen[n.Incarnation] = r, n.State
		was, known := s.seen[n.Incarnation]
		if known && was != n.State && (n.State == sagemember.Alive || n.State == sagemember.Dead) {
			s.Log.Info("Node changed.", "address", n.Address, "was", was, "is", n.State, "phase", n.Phase)
		}
	}
	s.since, s.seen = since, seen
}

// RevisionSince returns when this node first saw another with the revision that it holds now.
func (s *Service) RevisionSince(incarnation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since[incarnation].at
}

// Leave announces that this node stops, and returns until when callers may still come.
func (s *Service) Leave(now time.Time) time.Time {
	s.mu.Lock()
	s.Drain.Leave(now)
	until := s.Drain.AcceptsUntil()
	s.mu.Unlock()
	s.Table.AdvancePhase(sagemember.Leaving)
	s.TriggerExchange()
	s.Log.Info("Announced as leaving.", "serve_until", until)
	return until
}

func (s *Service) register() {
	if s.Metrics == nil {
		return
	}
	s.Metrics.NewGauge("sagestand_members_live", func() float64 { return float64(len(s.Table.Live())) })
	s.Metrics.NewGauge("sagestand_members_evictions", func() float64 { return float64(s.Table.Evictions()) })
	s.Metrics.NewGauge("sagestand_members_pauses", func() float64 { return float64(s.Table.Pauses()) })
}
