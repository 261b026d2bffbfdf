package sageloadd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// Parts of a grant period. An ask that is lost leaves time for another before the grant ends.
const (
	asksPerGrant = 4
	// kickSpacing is the least time after a hurried ask, so that a shortage doesn't turn into a stream
	// of asks; never more than half a round.
	kickSpacing = 100 * time.Millisecond
	// silentGrants is after how many grant periods an upstream's load counts as unknown.
	silentGrants = 2
	// idleAfter is how long a router keeps asking for a spare unit after its last use.
	idleAfter = time.Minute
)

// Config is what the service needs of the configuration.
type Config interface {
	State() *sageconfig.State
}

// Peers makes calls to other nodes.
type Peers interface {
	URL(addr string) string
	HTTP() *http.Client
}

// Service is the load service of one node. Its exported fields are set before Run.
type Service struct {
	// Node is this node's address on the roster, at which other nodes call it.
	Node string
	// Roster holds every node by address; it is the same on all of them.
	Roster []sageload.Member
	// Live returns the nodes that are up and not leaving; nil means the roster.
	Live   func() []sageload.Member
	Config Config
	Peers  Peers
	// Probe makes the calls to upstreams; nil means a client of its own.
	ProbeClient *http.Client
	Limits      sageload.Limits
	// Floor is the part of a warm engine's limit that is set aside for the guaranteed shares.
	Floor int
	// Ramp is the number of completed requests for one more at once on a cold engine.
	RampCompletions uint64
	Log             sagelog.Logger

	mu        sync.Mutex
	process   string
	started   time.Time
	state     *sageconfig.State
	upstreams map[string]*upstream
	byAddress map[string]*upstream
	calls     map[string]bool   // homes with an ask under way
	processes map[string]string // the process that last answered, by node
	kick      chan struct{}
	once      sync.Once
	resigned  bool
}

func (s *Service) init() {
	s.once.Do(func() {
		s.process = base32(rand.Uint64())
		s.started = time.Now()
		s.upstreams = make(map[string]*upstream)
		s.byAddress = make(map[string]*upstream)
		s.calls = make(map[string]bool)
		s.processes = make(map[string]string)
		s.kick = make(chan struct{}, 1)
		if s.ProbeClient == nil {
			s.ProbeClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		}
	})
}

// shortBytes is the length of a 64-bit number in base 32.
const shortBytes = 13

// base32 writes v in shortBytes characters.
func base32(v uint64) string {
	const digits = "0123456789abcdefghijklmnopqrstuv"
	var b [shortBytes]byte
	for i := range b {
		b[i] = digits[v&31]
		v >>= 5
	}
	return string(b[:])
}

// Run asks, probes and grants until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	if err := s.Limits.Validate(); err != nil {
		return fmt.Errorf("load service: %w", err)
	}
	s.init()
	period := s.Limits.GrantDuration / asksPerGrant
	t := time.NewTicker(period)
	defer t.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	s.round(ctx, &wait)
	for {
		select {
		case <-ctx.Done():
			s.Resign()
			return nil
		case <-t.C:
			s.round(ctx, &wait)
		case <-s.kick:
			s.ask(ctx, &wait, true)
			select {
			case <-ctx.Done():
			case <-time.After(min(kickSpacing, period/2)):
			}
		}
	}
}

// round follows the configuration, probes what this node is home of, and asks for shares.
func (s *Service) round(ctx context.Context, wait *sync.WaitGroup) {
	s.mu.Lock()
	s.follow()
	s.mu.Unlock()
	s.probe(ctx, wait)
	s.ask(ctx, wait, false)
}

// Resign ends every term of this home: what it granted runs out, nothing new is granted, and the
// other nodes may turn to a successor at once. A node that leaves calls it before it says so; it
// goes on asking for its own requests.
func (s *Service) Resign() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resigned = true
	for _, u := range s.upstreams {
		if u.ledger != nil {
			u.ledger.Resign()
		}
	}
}

func (s *Service) live() map[string]bool {
	members := s.Roster
	if s.Live != nil {
		members = s.Live()
	}
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m.Name] = true
	}
	return live
}

// View returns what this node knows of an upstream's load.
func (s *Service) View(name string) sageload.View {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.find(name)
	if u == nil {
		return sageload.View{Upstream: name}
	}
	return u.view(time.Now())
}

// Acquire takes one unit of this node's allotment of an upstream.
func (s *Service) Acquire(name string, now time.Time) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.find(name)
	if u == nil {
		return false
	}
	u.used = now
	// The caller's instant may be old by now if it was paused; the deadline is held against the
	// present one.
	if !u.holding.Acquire(time.Now()) {
		// Whoever waits for a unit tries again and again; the ask grows by doubling.
		u.missed = min(u.missed+1, 1+u.holding.InUse())
		if u.hasty() {
			s.hurry()
		}
		return false
	}
	u.estimate.RecordDispatch()
	u.peak = max(u.peak, u.holding.InUse())
	return true
}

// Release gives a unit back.
func (s *Service) Release(name string, _ time.Time, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.upstreams[name]; u != nil {
		u.holding.Release()
		u.estimate.RecordEnd()
	}
}

// Slots returns how many requests this node may have in flight at the named upstreams together, and
// takes note that queued more wait for them.
func (s *Service) Slots(names []string, queued int) int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n, grow := time.Now(), 0, false
	each := (queued + len(names) - 1) / max(len(names), 1)
	for _, name := range names {
		u := s.find(name)
		if u == nil {
			continue
		}
		n += u.holding.InUse() + u.holding.Free(now)
		grow = grow || each > u.queued
		u.queued = each
		if queued > 0 {
			u.used = now
		}
	}
	if n == 0 {
		grow = s.wantFirst(names, now) || grow
	}
	if grow {
		s.hurry()
	}
	return n
}

// firstWants is how many upstreams of a set a node that holds no unit of it asks at a time.
const firstWants = 3

// wantFirst wants a unit of a few upstreams of a set of which this node holds none; mu is held.
//
// It guards against a node that never serves: nothing is placed without a unit, and units are only
// asked for where something was placed. Asking all of a large set would be a call to each home every
// round; a few are enough, others the next second, in case those are out or cold.
func (s *Service) wantFirst(names []string, now time.Time) bool {
	first := int((sageload.NodeHash(s.Node) + uint64(now.Unix())) % uint64(max(len(names), 1)))
	hasty := false
	for i, left := 0, firstWants; i < len(names) && left > 0; i++ {
		u := s.find(names[(first+i)%len(names)])
		if u == nil || u.out {
			continue
		}
		u.missed, u.used = max(u.missed, 1), now
		hasty = hasty || u.hasty()
		left--
	}
	return hasty
}

// hurry makes the service ask soon instead of at the next round.
func (s *Service) hurry() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
