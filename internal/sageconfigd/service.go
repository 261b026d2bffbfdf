package sageconfigd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
	"sagestand.example/sagestand/pkg/sagewire"
)

// numWatchers is the number of nodes of a data centre that watch the store; there are two so that one may fail.
const numWatchers = 2

const (
	// confirmInterval is how often a watcher compares its copy with the store.
	confirmInterval = 2 * time.Second
	// pollInterval is how often the service checks whether this node is a watcher, and other conditions that
	// have no notification.
	pollInterval = 500 * time.Millisecond
	// firstContactTimeout is how long a submission waits on a node that has had no contact with most others yet.
	firstContactTimeout = 10 * time.Second
	// watchTimeout bounds one watch call, after which the node checks whether it is still a watcher.
	watchTimeout = 15 * time.Second
	// initialBackoff and maxBackoff bound the delay after failed calls, which doubles.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 8 * time.Second
)

// Members provides the membership of the fleet.
type Members interface {
	// Live returns the names of the live nodes of this node's data centre, itself included.
	Live() []string
	// QuorumAt returns the latest time at which this node had contact with most of the roster, see
	// [sagesync.QuorumAt].
	QuorumAt(now time.Time) time.Time
	// Nodes returns, for each known node, the revision in its newest heartbeat.
	Nodes() []NodeRevision
}

// NodeRevision is the configuration revision of a node according to its newest heartbeat.
type NodeRevision struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
	// Since is when this node first observed that revision on Node; in [TicketStatus], the ticket's revision.
	Since time.Time `json:"since,omitzero"`
	// LastContact is when this node last received a newer heartbeat of Node.
	LastContact time.Time `json:"heard_at,omitzero"`
}

// Service is the service "config". Its exported fields are set before first use.
type Service struct {
	// Node is this node's name in the membership.
	Node       string
	DataCentre string
	// Roster lists the addresses of the seeds in the settings, which are the same on every node. Address is this
	// node's own address. See [sagesync.Replica].
	Roster  []string
	Address string
	Store   sageobject.Store
	// Members may be nil if there are no other nodes; this node then watches the store.
	Members Members
	Rule    sagesync.Rule
	// Metrics may be nil.
	Metrics *metrics.Set
	Log     sagelog.Logger

	once          sync.Once
	replica       sagesync.Replica
	acceptor      sageticket.Acceptor
	compactionDue chan struct{}
	tracker       tracker

	mu           sync.Mutex
	headVersion  int64 // store version of the newest head that was applied
	headRevision uint64
}

// init initialises the service; methods may be called before Run.
func (s *Service) init() {
	s.once.Do(func() {
		s.replica.Now, s.replica.Roster, s.replica.Self = time.Now, s.Roster, s.Address
		s.acceptor = sageticket.Acceptor{Store: s.Store, BaseState: func() (uint64, *sageconfig.State) {
			c := s.replica.Current()
			return c.Revision, c.State
		}}
		s.compactionDue = make(chan struct{}, 1)
	})
}

// Section returns the service's part of the anti-entropy exchange.
func (s *Service) Section() sagegossip.Section {
	s.init()
	return &s.replica
}

// State returns the configuration in force on this node, or nil if it has none yet.
func (s *Service) State() *sageconfig.State {
	s.init()
	if c := s.replica.Current(); c.Revision > 0 {
		return c.State
	}
	return nil
}

// Revision returns the revision in force on this node, or 0 if it has none yet.
func (s *Service) Revision() uint64 {
	s.init()
	return s.replica.Current().Revision
}

// Changed returns a channel that is closed at the next change of the configuration.
func (s *Service) Changed() <-chan struct{} {
	s.init()
	return s.replica.Changed()
}

// ReplicaStatus returns the status of this node's copy of the configuration.
func (s *Service) ReplicaStatus() sagesync.Status {
	s.init()
	return s.replica.Status()
}

// recordQuorum passes the time of the last contact with most of the roster to the replica.
func (s *Service) recordQuorum(now time.Time) {
	if s.Members != nil {
		s.replica.RecordQuorum(s.Members.QuorumAt(now))
	}
}

// Serving returns nil if this node may serve a request now, and the refusal otherwise.
func (s *Service) Serving(now time.Time, idempotent bool) *sagewire.Refusal {
	v := s.Rule.Evaluate(now, s.ReplicaStatus())
	if v.Level == sagesync.ServeAll || v.Level == sagesync.ServeIdempotent && idempotent {
		return nil
	}
	return v.Refusal
}

// Submit accepts a ticket, see [sageticket.Acceptor.Submit]. When it returns without an error, the ticket is in
// force on this node, unless the configuration could not be read back; it then comes into force later.
func (s *Service) Submit(ctx context.Context, t *sageconfig.Ticket) (sageticket.Accepted, error) {
	s.init()
	if !s.canAccept(ctx) {
		return sageticket.Accepted{}, fmt.Errorf("submit ticket %d: this node has no contact to most of the roster: %w", t.Number, sageticket.ErrNotAccepted)
	}
	acc, err := s.acceptor.Submit(ctx, t)
	if err != nil {
		s.Log.Warn("Ticket not accepted.", "number", t.Number, "err", err)
		return acc, err
	}
	// The ticket is accepted even if this read fails; watchHead or runConfirm applies it later.
	due, err := s.readHead(ctx)
	if err != nil {
		s.Log.Warn("Ticket accepted, but not read back yet.", "number", t.Number, "err", err)
	}
	if due {
		s.triggerCompaction()
	}
	return acc, nil
}

// canAccept reports whether the rule allows this node to accept tickets now. If the node has just started, it
// waits for the first contact with most of the roster; if it has lost that contact, it returns false immediately.
func (s *Service) canAccept(ctx context.Context) bool {
	until := time.Now().Add(firstContactTimeout)
	for {
		now := time.Now()
		s.recordQuorum(now)
		st := s.ReplicaStatus()
		if s.Rule.MayAccept(now, st) {
			return true
		}
		if !st.QuorumAt.IsZero() || now.After(until) || ctx.Err() != nil {
			return false
		}
		sageclock.Sleep(ctx, pollInterval)
	}
}

// Run keeps the node's copy of the configuration up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	s.registerMetrics()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.watchHead(ctx); return nil })
	g.Go(func() error { s.runConfirm(ctx); return nil })
	g.Go(func() error { s.runCompaction(ctx); return nil })
	g.Go(func() error { s.logChanges(ctx); return nil })
	return g.Wait()
}

// triggerCompaction makes runCompaction compact the tail once. Only the node that accepted the ticket triggers it,
// so that several nodes rarely compact at the same time, which would be harmless.
func (s *Service) triggerCompaction() {
	select {
	case s.compactionDue <- struct{}{}:
	default:
	}
}

// runCompaction compacts the tail of the head whenever a submission through this node makes it due.
func (s *Service) runCompaction(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.compactionDue:
		}
		if err := s.acceptor.Compact(ctx); err != nil {
			s.Log.Warn("Fold failed; the next ticket tries again.", "err", err)
		}
	}
}

// logChanges logs each change of the configuration and of the service level. It also records the contact with the
// roster and the revisions of all nodes.
func (s *Service) logChanges(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	level := sagesync.ServeNothing
	for {
		changed := s.replica.Changed()
		now := time.Now()
		s.recordQuorum(now)
		s.recordRevisions(now)
		if v := s.Rule.Evaluate(now, s.ReplicaStatus()); v.Level != level {
			level = v.Level
			if level == sagesync.ServeAll {
				s.Log.Info("Serving.", "revision", s.Revision())
			} else {
				s.Log.Warn("Service restricted.", "idempotent", level == sagesync.ServeIdempotent, "why", v.Refusal)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
			s.Log.Info("Configuration in force.", "revision", s.Revision())
		}
	}
}

func (s *Service) registerMetrics() {
	if s.Metrics == nil {
		return
	}
	s.Metrics.NewGauge("sagestand_config_revision", func() float64 { return float64(s.Revision()) })
	s.Metrics.NewGauge("sagestand_config_heard_revision", func() float64 { return float64(s.replica.Status().Observed) })
	s.Metrics.NewGauge("sagestand_config_confirmed_age_seconds", func() float64 {
		at := s.replica.Status().ConfirmedAt
		if at.IsZero() {
			return -1
		}
		return time.Since(at).Seconds()
	})
}
