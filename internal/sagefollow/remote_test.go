package sagefollow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
)

// The platform that the tests simulate.
const (
	// storeLatency is how long the store takes to answer.
	storeLatency = 4 * time.Millisecond
	// keyBound is the platform's bound on the age of keys, less the nodes' margin.
	keyBound = 4800 * time.Millisecond
	// contentBound is the platform's bound on changes, also used as MaxStaleness.
	contentBound = 2 * time.Second
	// handlingMargin is the part of contentBound reserved for handling a change inside a node.
	handlingMargin    = 200 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
)

// virtualNow returns the time of the virtual clock.
func virtualNow() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }

// remoteStore is a store at the end of a network, in virtual time.
type remoteStore struct {
	mu       sync.Mutex
	content  content
	stalled  bool            // leaves all calls unanswered, also those in progress
	refusing bool            // answers all calls with an error
	latency  time.Duration   // of a call, half of it in each direction
	cutOff   map[string]bool // nodes whose calls remain unanswered
	calls    int
	policy   RestorePolicy // of the nodes
}

// storeLink is one node's network path to the store.
type storeLink struct {
	*remoteStore
	node string
}

func newRemoteStore() *remoteStore {
	s := &remoteStore{latency: storeLatency, cutOff: make(map[string]bool)}
	s.content.apply(0, Point{}, Delta{Full: true, AsOf: 1, Changes: []Change{obj("a", 1)}})
	return s
}

func (s *remoteStore) set(f func(s *remoteStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *remoteStore) put(ch Change) {
	s.set(func(s *remoteStore) {
		s.content.apply(0, s.content.point(), Delta{AsOf: ch.Object.Revision, Changes: []Change{ch}})
	})
}

func (s *remoteStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// transit waits while a message is in transit, or until ctx ends if the message is lost.
func (l *storeLink) transit(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	l.mu.Lock()
	lost, refused := l.stalled || l.cutOff[l.node], l.refusing
	l.mu.Unlock()
	if refused {
		return errDown
	}
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (l *storeLink) countCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

func (l *storeLink) oneWayLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency / 2
}

func (l *storeLink) List(ctx context.Context, _, _ string) (Page, error) {
	l.countCall()
	if err := l.transit(ctx, l.oneWayLatency()); err != nil {
		return Page{}, err
	}
	l.mu.Lock()
	all := l.content.fullDelta()
	l.mu.Unlock()
	return Page{Changes: all.Changes, AsOf: all.AsOf, Era: all.Era}, l.transit(ctx, l.oneWayLatency())
}

func (l *storeLink) Watch(ctx context.Context, _ string, since uint64, wait time.Duration) (Delta, error) {
	l.countCall()
	if err := l.transit(ctx, l.oneWayLatency()); err != nil {
		return Delta{}, err
	}
	until := time.Now().Add(wait)
	for {
		l.mu.Lock()
		d, gone := l.content.deltaSince(Point{l.content.era, since}), since > l.content.asOf
		l.mu.Unlock()
		if gone || d.Full {
			if err := l.transit(ctx, l.oneWayLatency()); err != nil {
				return Delta{}, err
			}
			return Delta{}, ErrGone
		}
		if len(d.Changes) > 0 || !time.Now().Before(until) {
			return d, l.transit(ctx, l.oneWayLatency())
		}
		if err := l.transit(ctx, storeLatency); err != nil {
			return Delta{}, err
		}
	}
}

func (l *storeLink) ResetConnections() {}

// remoteNode is a node of a [remoteFleet].
type remoteNode struct {
	*Follower
	mu               sync.Mutex
	peerStamps       map[int]sageclock.Instant // last stamp received from each other node
	storeUnreachable map[int]bool              // as reported by each other node
	seen             map[string]uint64
	specs            map[string]string // specs in force
	onSpec           func(name, spec string)
}

// remoteFleet is a set of nodes that follow a store and exchange heartbeats.
type remoteFleet struct {
	ctx   context.Context
	nodes []*remoteNode
	// unresponsive is a node that sends heartbeats but doesn't answer fetches; -1 for none.
	unresponsive atomic.Int64
}

// Fetch implements [Peers].
func (f *remoteFleet) Fetch(ctx context.Context, peer, _ string, since Point) (Delta, error) {
	time.Sleep(2 * time.Millisecond)
	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return Delta{}, err
	}
	if int64(i) == f.unresponsive.Load() {
		<-ctx.Done()
		return Delta{}, ctx.Err()
	}
	return f.nodes[i].DeltaSince(since), nil
}

// startFleet starts n nodes in a synctest bubble, which stop with ctx. Their probers are the followers of the given
// fleet, if it isn't nil.
func startFleet(ctx context.Context, s *remoteStore, n int, probers *remoteFleet) *remoteFleet {
	f := newRemoteFleet(s, n, probers)
	f.run(ctx)
	return f
}

// newRemoteFleet returns n nodes, which don't run yet.
func newRemoteFleet(s *remoteStore, n int, probers *remoteFleet) *remoteFleet {
	f := new(remoteFleet)
	f.unresponsive.Store(-1)
	for i := range n {
		x := &remoteNode{peerStamps: make(map[int]sageclock.Instant), storeUnreachable: make(map[int]bool), seen: make(map[string]uint64), specs: make(map[string]string)}
		x.Follower = &Follower{
			Kind: "k", Source: &storeLink{remoteStore: s, node: fmt.Sprint(i)}, Peers: f, MaxStaleness: contentBound, Now: virtualNow, StoreProof: new(sagefresh.Proof),
			Rank:     func(storeUnreachable bool) int { return x.rank(i, n, storeUnreachable) },
			Apply:    x.apply,
			Restore:  s.policy,
			OnChange: func(bool) { go f.sendHeartbeat(f.ctx, i) },
		}
		if probers != nil {
			x.Prober = probers.nodes[i].Follower
		}
		f.nodes = append(f.nodes, x)
	}
	return f
}

// run runs the nodes, which stop with ctx.
func (f *remoteFleet) run(ctx context.Context) {
	f.ctx = ctx
	for i, x := range f.nodes {
		go func() { _ = x.Run(ctx) }()
		go func() {
			time.Sleep(time.Duration(i) * 29 * time.Millisecond) // heartbeats aren't synchronous
			for ctx.Err() == nil {
				f.sendHeartbeat(ctx, i)
				time.Sleep(heartbeatInterval)
			}
		}()
	}
}

// rank returns the node's rank. Nodes that reach the store come before those that don't, and the latter count only
// if this node doesn't reach it either.
func (x *remoteNode) rank(self, n int, storeUnreachable bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := 0
	for i := range n {
		switch {
		case i == self || x.storeUnreachable[i] && !storeUnreachable:
		case storeUnreachable && !x.storeUnreachable[i], i < self:
			rank++
		}
	}
	return rank
}

func (x *remoteNode) apply(cs []Change, _ bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range cs {
		x.seen[c.Object.Name] = c.Object.Revision
		spec := string(c.Object.Spec)
		if c.Deleted {
			spec = ""
		}
		if x.onSpec != nil {
			x.onSpec(c.Object.Name, spec)
		}
		x.specs[c.Object.Name] = spec
	}
}

func (x *remoteNode) revisionOf(name string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.seen[name]
}

// sendHeartbeat sends one heartbeat of a node to all others.
func (f *remoteFleet) sendHeartbeat(ctx context.Context, from int) {
	x := f.nodes[from]
	x.mu.Lock()
	echoes := make(map[int]sageclock.Instant, len(x.peerStamps))
	for i, at := range x.peerStamps {
		echoes[i] = at
	}
	x.mu.Unlock()
	p, storeUnreachable, stamp := x.Position(), x.Failing(), virtualNow()
	time.Sleep(time.Millisecond)
	for i, to := range f.nodes {
		if i == from || ctx.Err() != nil {
			continue
		}
		to.mu.Lock()
		to.peerStamps[from], to.storeUnreachable[from] = stamp, storeUnreachable
		to.mu.Unlock()
		if echo := echoes[i]; echo != 0 {
			to.HandlePosition(ctx, fmt.Sprint(from), p, echo, true)
		}
	}
}

// allFresh reports whether the proof of every node is fresh enough to use keys.
func (f *remoteFleet) allFresh() bool {
	for _, x := range f.nodes {
		if x.Proof.Age(virtualNow()) >= keyBound {
			return false
		}
	}
	return true
}

// timeUntil returns the time until ok returns true, which it checks every millisecond, or limit if that is shorter.
func timeUntil(limit time.Duration, ok func() bool) time.Duration {
	started := time.Now()
	for time.Since(started) < limit && !ok() {
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}

// inVirtualTime runs a test with a fleet of n nodes and a store in virtual time.
func inVirtualTime(t *testing.T, n int, s *remoteStore, run func(t *testing.T, f *remoteFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(10 * time.Second) // a bubble ends when no goroutine in it sleeps any more
		defer cancel()
		run(t, startFleet(ctx, s, n, nil))
	})
}
