package sageconfigd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
	"sagestand.example/sagestand/pkg/sagewire"
)

// watchers is the number of nodes of a data centre that watch the store: one may fail unnoticed.
const watchers = 2

// Periods of the service.
const (
	// confirmEvery is how often a watcher compares its copy with the store.
	confirmEvery = 2 * time.Second
	// tick is how often the service looks at its role.
	tick = 500 * time.Millisecond
	// meetWithin is how long a submission waits on a node that hasn't met the others yet.
	meetWithin = 10 * time.Second
	// watchFor bounds a watch, after which the role is looked at again.
	watchFor = 15 * time.Second
	// firstPause and lastPause bound the pause after failed calls, which doubles.
	firstPause = 200 * time.Millisecond
	lastPause  = 8 * time.Second
)

// Members is what the service needs of the membership.
type Members interface {
	// Live returns the names of the live nodes of this node's data centre, itself included.
	Live() []string
	// QuorumAt returns the latest instant at which this node had contact to most of the roster, see
	// [sagesync.QuorumAt].
	QuorumAt(now time.Time) time.Time
	// Nodes tells of each known node what its newest heartbeat said.
	Nodes() []NodeRevision
}

// NodeRevision is the configuration revision of a node as its newest heartbeat told it.
type NodeRevision struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
	// Since is when this node first heard of that revision there.
	Since time.Time `json:"since,omitzero"`
	// HeardAt is when that node was last heard of.
	LastContact time.Time `json:"heard_at,omitzero"`
}

// Service is the service "config". Its fields are set before Run.
type Service struct {
	// Node is this node's name in the membership.
	Node       string
	DataCentre string
	// Roster holds the addresses of the settings' seeds, the same on every node, and Address this
	// node's own; see [sagesync.Replica].
	Roster  []string
	Address string
	Store   sageobject.Store
	// Members is nil on a node that knows of no others: it then watches the store itself.
	Members Members
	Rule    sagesync.Rule
	// Metrics may be nil.
	Metrics *metrics.Set
	Log     sagelog.Logger

	once     sync.Once
	replica  sagesync.Replica
	acceptor sageticket.Acceptor
	foldDue  chan struct{}
	tracker  tracker

	mu      sync.Mutex
	version int64 // of the head object that was last taken in
	at      uint64
}

// init sets up what Run and the callers share; callers may come before Run.
func (s *Service) init() {
	s.once.Do(func() {
		s.replica.Now, s.replica.Roster, s.replica.Self = time.Now, s.Roster, s.Address
		s.acceptor = sageticket.Acceptor{Store: s.Store, BaseState: func() (uint64, *sageconfig.State) {
			c := s.replica.Current()
			return c.Revision, c.State
		}}
		s.foldDue = make(chan struct{}, 1)
	})
}

// Section returns the service's part of the anti-entropy exchange.
func (s *Service) Section() sagegossip.Section {
	s.init()
	return &s.replica
}

// State returns the configuration in force on this node, or nil before there is one.
func (s *Service) State() *sageconfig.State {
	s.init()
	if c := s.replica.Current(); c.Revision > 0 {
		return c.State
	}
	return nil
}

// Revision returns the revision in force on this node, 0 before there is one.
func (s *Service) Revision() uint64 {
	s.init()
	return s.replica.Current().Revision
}

// Changed returns a channel that is closed at the next change of the configuration.
func (s *Service) Changed() <-chan struct{} {
	s.init()
	return s.replica.Changed()
}

// Standing returns what this node knows about its configuration.
func (s *Service) ReplicaStatus() sagesync.Status {
	s.init()
	return s.replica.Status()
}

// noteQuorum takes over what the membership knows about contact to the roster.
func (s *Service) noteQuorum(now time.Time) {
	if s.Members != nil {
		s.replica.RecordQuorum(s.Members.QuorumAt(now))
	}
}

// Serving says why this node may not serve such a request now, or nil.
func (s *Service) Serving(now time.Time, idempotent bool) *sagewire.Refusal {
	v := s.Rule.Evaluate(now, s.ReplicaStatus())
	if v.Level == sagesync.ServeAll || v.Level == sagesync.ServeIdempotent && idempotent {
		return nil
	}
	return v.Refusal
}

// Submit accepts a ticket, see [sageticket.Acceptor.Submit]; the ticket is in force on this node
// when it returns.
func (s *Service) Submit(ctx context.Context, t *sageconfig.Ticket) (sageticket.Accepted, error) {
	s.init()
	if !s.mayAccept(ctx) {
		return sageticket.Accepted{}, fmt.Errorf("submit ticket %d: this node has no contact to most of the roster: %w", t.Number, sageticket.ErrNotAccepted)
	}
	acc, err := s.acceptor.Submit(ctx, t)
	if err != nil {
		s.Log.Warn("Ticket not accepted.", "number", t.Number, "err", err)
		return acc, err
	}
	// Accepted is accepted: if this read fails, the follower brings the ticket in.
	foldDue, err := s.catchUp(ctx)
	if err != nil {
		s.Log.Warn("Ticket accepted, but not read back yet.", "number", t.Number, "err", err)
	}
	if foldDue {
		s.askFold()
	}
	return acc, nil
}

// mayAccept reports whether the rule lets this node accept tickets now. A node that has just started
// is given a moment to meet the others; one that has lost them answers at once.
func (s *Service) mayAccept(ctx context.Context) bool {
	until := time.Now().Add(meetWithin)
	for {
		now := time.Now()
		s.noteQuorum(now)
		st := s.ReplicaStatus()
		if s.Rule.MayAccept(now, st) {
			return true
		}
		if !st.QuorumAt.IsZero() || now.After(until) || ctx.Err() != nil {
			return false
		}
		wait(ctx, tick)
	}
}

// Run keeps the copy up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	s.register()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.follow(ctx); return nil })
	g.Go(func() error { s.confirm(ctx); return nil })
	g.Go(func() error { s.fold(ctx); return nil })
	g.Go(func() error { s.report(ctx); return nil })
	return g.Wait()
}

// askFold lets the folder run once. Nodes that see the same long head may fold at once, which is
// harmless; only the acceptor of the ticket asks, so that they rarely do.
func (s *Service) askFold() {
	select {
	case s.foldDue <- struct{}{}:
	default:
	}
}

// fold folds the tail when a submission through this node made it due.
func (s *Service) fold(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.foldDue:
		}
		if err := s.acceptor.Compact(ctx); err != nil {
			s.Log.Warn("Fold failed; the next ticket tries again.", "err", err)
		}
	}
}

// report logs each change and each turn between serving and not.
func (s *Service) report(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	may := sagesync.ServeNothing
	for {
		changed := s.replica.Changed()
		now := time.Now()
		s.noteQuorum(now)
		s.track(now)
		if v := s.Rule.Evaluate(now, s.ReplicaStatus()); v.Level != may {
			may = v.Level
			if may == sagesync.ServeAll {
				s.Log.Info("Serving.", "revision", s.Revision())
			} else {
				s.Log.Warn("Service restricted.", "idempotent", may == sagesync.ServeIdempotent, "why", v.Refusal)
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

func (s *Service) register() {
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
