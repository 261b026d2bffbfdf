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

// vmListInterval is the interval between reads of the VM list. More frequent reads would load the platform and gain
// little, since the list itself lags.
const vmListInterval = 30 * time.Second

// readyPollInterval is the interval at which a starting node checks whether it is ready.
const readyPollInterval = 100 * time.Millisecond

// VMLister reads the addresses in the platform's VM list.
type VMLister interface {
	ListVMs(ctx context.Context) ([]string, error)
}

// Service is the service "members". Its exported fields must be set, and the table started, before Run.
type Service struct {
	Table           *sagemember.Table
	HeartbeatPeriod time.Duration
	// Seeds are the addresses of other nodes in the settings.
	Seeds []string
	// VMs may be nil.
	VMs VMLister
	// Ready reports whether the node can serve callers. The node isn't announced to them before.
	Ready func() bool
	// Revision and Load return the values that the heartbeat reports.
	Revision func() uint64
	Load     func() int64
	// TriggerExchange starts gossip exchanges after an urgent change.
	TriggerExchange func()
	// Drain holds the durations of a graceful stop.
	Drain sagedrain.Machine
	// Metrics may be nil.
	Metrics *metrics.Set
	Log     sagelog.Logger

	mu        sync.Mutex
	revisions map[uint64]observedRevision
	states    map[uint64]sagemember.State
}

// observedRevision is a node's revision and the time at which it was first observed.
type observedRevision struct {
	revision uint64
	at       time.Time
}

// Run advances the heartbeat every HeartbeatPeriod until ctx ends, and then announces that the process has stopped.
func (s *Service) Run(ctx context.Context) error {
	s.registerMetrics()
	s.Table.AddSeeds(s.Seeds...)
	t := time.NewTicker(s.HeartbeatPeriod)
	defer t.Stop()
	readyTicker := time.NewTicker(readyPollInterval)
	defer readyTicker.Stop()
	var nextList time.Time
	var wait sync.WaitGroup
	defer wait.Wait()
	s.tick(time.Now())
	for {
		now := time.Now()
		if s.VMs != nil && !now.Before(nextList) {
			nextList = now.Add(vmListInterval)
			wait.Go(func() { s.addListedSeeds(ctx) })
		}
		select {
		case <-ctx.Done():
			s.Table.AdvancePhase(sagemember.Gone)
			s.TriggerExchange()
			return nil
		case now := <-t.C:
			s.tick(now)
		case <-readyTicker.C:
			if s.announceServing() {
				readyTicker.Stop()
			}
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.Table.Report(s.Revision(), uint32(max(0, s.Load())))
	s.Table.Tick()
	s.recordChanges(now)
}

// announceServing announces the node as serving if it is ready, and reports whether it did.
func (s *Service) announceServing() bool {
	if !s.Ready() {
		return false
	}
	s.Table.AdvancePhase(sagemember.Serving)
	s.TriggerExchange()
	s.Log.Info("Announced as serving.")
	return true
}

// addListedSeeds adds the addresses in the VM list as seeds. All nodes use the same port, so this node's own port
// is used for every address.
func (s *Service) addListedSeeds(ctx context.Context) {
	_, port, err := net.SplitHostPort(s.Table.LocalNode().Address)
	if err != nil {
		return
	}
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		return // the list is optional, and a platform outage is reported elsewhere
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

// recordChanges logs nodes that became alive or dead, and records when each node's revision was first observed.
func (s *Service) recordChanges(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := make(map[uint64]observedRevision)
	states := make(map[uint64]sagemember.State)
	for _, n := range s.Table.All() {
		r, ok := s.revisions[n.Incarnation]
		if !ok || r.revision != n.Revision {
			r = observedRevision{revision: n.Revision, at: now}
		}
		revisions[n.Incarnation], states[n.Incarnation] = r, n.State
		previous, known := s.states[n.Incarnation]
		if known && previous != n.State && (n.State == sagemember.Alive || n.State == sagemember.Dead) {
			s.Log.Info("Node state changed.", "address", n.Address, "was", previous, "is", n.State, "phase", n.Phase)
		}
	}
	s.revisions, s.states = revisions, states
}

// RevisionSince returns when this node first observed the current revision of another node.
func (s *Service) RevisionSince(incarnation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisions[incarnation].at
}

// Leave announces that this node is stopping, and returns until when it still accepts requests.
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

func (s *Service) registerMetrics() {
	if s.Metrics == nil {
		return
	}
	s.Metrics.NewGauge("sagestand_members_live", func() float64 { return float64(len(s.Table.Live())) })
	s.Metrics.NewGauge("sagestand_members_evictions", func() float64 { return float64(s.Table.Evictions()) })
	s.Metrics.NewGauge("sagestand_members_pauses", func() float64 { return float64(s.Table.Pauses()) })
}
