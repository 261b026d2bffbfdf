package sageloadd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

const (
	// requestsPerGrant is the number of request rounds in one grant period: after a lost request there is
	// time for another one before the grant expires.
	requestsPerGrant = 4
	// minRequestSpacing is the minimum delay after an urgent request, so that a shortage of units doesn't
	// cause a continuous stream of requests. Run uses half a round if that is shorter.
	minRequestSpacing = 100 * time.Millisecond
	// maxReportAgeGrants is the age of a load report, in grant periods, from which the load counts as unknown.
	maxReportAgeGrants = 2
	// reserveIdleTimeout is how long after its last use of an upstream a router still requests reserve units.
	reserveIdleTimeout = time.Minute
)

// Config provides the current configuration.
type Config interface {
	State() *sageconfig.State
}

// Peers provides the URLs of other nodes and the HTTP client for calls to them.
type Peers interface {
	URL(addr string) string
	HTTP() *http.Client
}

// Service is the load service of one node. Its exported fields are set before Run.
type Service struct {
	// Node is this node's address in the roster, at which other nodes call it.
	Node string
	// Roster lists all nodes by address and is the same on every node.
	Roster []sageload.Member
	// Live returns the nodes that are up and not leaving; if it is nil, all nodes of the roster count as live.
	Live   func() []sageload.Member
	Config Config
	Peers  Peers
	// ProbeClient sends the load probes to upstreams; if it is nil, the service creates a client.
	ProbeClient *http.Client
	Limits      sageload.Limits
	// Floor is the number of units of a warm engine's limit that are set aside for the guaranteed shares.
	Floor int
	// RampCompletions is the number of completed requests after which a cold engine may have one more request
	// in flight.
	RampCompletions uint64
	Log             sagelog.Logger

	mu             sync.Mutex
	processID      string
	started        time.Time
	state          *sageconfig.State
	upstreams      map[string]*upstream
	byAddress      map[string]*upstream
	pendingCalls   map[string]bool   // coordinators with a request in progress
	peerProcessIDs map[string]string // by node, the process that last responded
	wake           chan struct{}
	once           sync.Once
	resigned       bool
}

func (s *Service) init() {
	s.once.Do(func() {
		s.processID = base32(rand.Uint64())
		s.started = time.Now()
		s.upstreams = make(map[string]*upstream)
		s.byAddress = make(map[string]*upstream)
		s.pendingCalls = make(map[string]bool)
		s.peerProcessIDs = make(map[string]string)
		s.wake = make(chan struct{}, 1)
		if s.ProbeClient == nil {
			s.ProbeClient = &http.Client{Transport: &sageconn.Transport{Base: &http.Transport{
				DialContext: sageconn.Dialer(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
			}}}
		}
	})
}

// shortIDBytes is the length of a 64-bit number in base 32.
const shortIDBytes = 13

// base32 encodes v in shortIDBytes characters, the least significant first.
func base32(v uint64) string {
	const digits = "0123456789abcdefghijklmnopqrstuv"
	var b [shortIDBytes]byte
	for i := range b {
		b[i] = digits[v&31]
		v >>= 5
	}
	return string(b[:])
}

// Run probes engines and requests grants until ctx ends, and resigns then.
func (s *Service) Run(ctx context.Context) error {
	if err := s.Limits.Validate(); err != nil {
		return fmt.Errorf("load service: %w", err)
	}
	s.init()
	period := s.Limits.GrantDuration / requestsPerGrant
	t := time.NewTicker(period)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	s.runRound(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			s.Resign()
			return nil
		case <-t.C:
			s.runRound(ctx, &wg)
		case <-s.wake:
			s.requestGrants(ctx, &wg, true)
			select {
			case <-ctx.Done():
			case <-time.After(min(minRequestSpacing, period/2)):
			}
		}
	}
}

// runRound applies the current configuration, probes the engines that this node coordinates and requests grants.
func (s *Service) runRound(ctx context.Context, wg *sync.WaitGroup) {
	s.mu.Lock()
	s.applyConfig()
	s.mu.Unlock()
	s.probeEngines(ctx, wg)
	s.requestGrants(ctx, wg, false)
}

// Resign ends this node's terms as coordinator: it grants nothing more, its earlier grants expire, and the other
// nodes may turn to a successor immediately. A leaving node calls it before it announces that it leaves, and
// continues to request units for its own requests.
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
	u := s.lookup(name)
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
	u := s.lookup(name)
	if u == nil {
		return false
	}
	u.lastUsed = now
	// The grant's deadline is compared with the current time, as now is outdated if the caller was paused.
	if !u.allotment.Acquire(time.Now()) {
		// Callers that wait for a unit retry often. The bound lets the requested units at most about double
		// from one request to the next.
		u.missedAcquires = min(u.missedAcquires+1, 1+u.allotment.InUse())
		if u.urgent() {
			s.requestSoon()
		}
		return false
	}
	u.estimate.RecordDispatch()
	u.peakInUse = max(u.peakInUse, u.allotment.InUse())
	return true
}

// Release returns a unit to this node's allotment of an upstream.
func (s *Service) Release(name string, _ time.Time, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.upstreams[name]; u != nil {
		u.allotment.Release()
		u.estimate.RecordEnd()
	}
}

// Slots returns how many requests this node may have in flight at the named upstreams together, and records
// queued, the number of requests that wait for these upstreams.
func (s *Service) Slots(names []string, queued int) int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now, total, grow := time.Now(), 0, false
	perUpstream := (queued + len(names) - 1) / max(len(names), 1)
	for _, name := range names {
		u := s.lookup(name)
		if u == nil {
			continue
		}
		total += u.allotment.InUse() + u.allotment.Free(now)
		grow = grow || perUpstream > u.queued
		u.queued = perUpstream
		if queued > 0 {
			u.lastUsed = now
		}
	}
	if total == 0 {
		grow = s.requestInitialUnits(names, now) || grow
	}
	if grow {
		s.requestSoon()
	}
	return total
}

// maxInitialUpstreams is the number of upstreams of a set from which a node without any unit of the set requests
// units at a time.
const maxInitialUpstreams = 3

// requestInitialUnits marks a few upstreams of a set of which this node holds no unit, so that the next request
// includes one unit of each. It reports whether an urgent request is needed. The caller holds mu.
//
// Without it a new node would never serve: it places requests only with a unit, and otherwise requests units
// only of upstreams that it has used. Requesting units of all upstreams of a large set would cost a call to
// each coordinator every round. Each second another few are selected, in case some are out of service or cold.
func (s *Service) requestInitialUnits(names []string, now time.Time) bool {
	start := int((sageload.NodeHash(s.Node) + uint64(now.Unix())) % uint64(max(len(names), 1)))
	needsRequest := false
	for i, remaining := 0, maxInitialUpstreams; i < len(names) && remaining > 0; i++ {
		u := s.lookup(names[(start+i)%len(names)])
		if u == nil || u.outOfService {
			continue
		}
		u.missedAcquires, u.lastUsed = max(u.missedAcquires, 1), now
		needsRequest = needsRequest || u.urgent()
		remaining--
	}
	return needsRequest
}

// requestSoon makes Run send an urgent request before the next round.
func (s *Service) requestSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
