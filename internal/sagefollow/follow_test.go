package sagefollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
)

func obj(name string, revision uint64) Change {
	return Change{Object: Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprint(revision))}}
}

func del(name string, revision uint64) Change {
	c := obj(name, revision)
	c.Deleted = true
	return c
}

func revisions(c *content) map[string]uint64 {
	out := make(map[string]uint64)
	for n, o := range c.objects {
		out[n] = o.Revision
	}
	return out
}

func TestContentApply(t *testing.T) {
	full := Delta{Full: true, AsOf: 10, Changes: []Change{obj("a", 3), obj("b", 9)}}
	for _, tt := range []struct {
		name    string
		since   uint64
		delta   Delta
		want    map[string]uint64
		applied int
		asOf    uint64
	}{
		{"change", 10, Delta{AsOf: 12, Changes: []Change{obj("a", 12)}}, map[string]uint64{"a": 12, "b": 9}, 1, 12},
		{"deletion", 10, Delta{AsOf: 12, Changes: []Change{del("b", 9)}}, map[string]uint64{"a": 3}, 1, 12},
		{"no changes", 10, Delta{AsOf: 15}, map[string]uint64{"a": 3, "b": 9}, 0, 15},
		// An answer that was delayed for seconds contains objects deleted since.
		{"delayed old answer", 5, Delta{AsOf: 8, Changes: []Change{obj("c", 8)}}, map[string]uint64{"a": 3, "b": 9}, 0, 10},
		{"partly known", 5, Delta{AsOf: 12, Changes: []Change{obj("b", 9), obj("a", 11)}}, map[string]uint64{"a": 11, "b": 9}, 1, 12},
		{"deleted and created again", 10, Delta{AsOf: 14, Changes: []Change{del("b", 9), obj("b", 14)}}, map[string]uint64{"a": 3, "b": 14}, 2, 14},
		{"listing removes missing objects", 0, Delta{Full: true, AsOf: 20, Changes: []Change{obj("b", 9), obj("d", 18)}}, map[string]uint64{"b": 9, "d": 18}, 2, 20},
		{"changes after a gap are ignored", 30, Delta{AsOf: 40, Changes: []Change{obj("z", 40)}}, map[string]uint64{"a": 3, "b": 9}, 0, 10},
	} {
		c := new(content)
		c.apply(0, Point{}, full)
		applied := c.apply(0, Point{Revision: tt.since}, tt.delta)
		require.Equal(t, tt.want, revisions(c), tt.name)
		require.Len(t, applied, tt.applied, tt.name)
		require.Equal(t, tt.asOf, c.asOf, tt.name)
	}
}

// A delta from a peer must not leave out changes, whatever revision the receiver's copy has.
func TestDeltaSinceBringsAnyRevisionUpToDate(t *testing.T) {
	c := new(content)
	c.apply(0, Point{}, Delta{Full: true, AsOf: 10, Changes: []Change{obj("a", 3), obj("b", 9)}})
	var staleCopies []*content
	for i := uint64(11); i < 200; i++ {
		stale := new(content)
		stale.apply(0, Point{}, c.deltaSince(Point{Revision: 0}))
		staleCopies = append(staleCopies, stale)
		ch := obj(fmt.Sprintf("n%d", i%7), i)
		if i%5 == 0 {
			ch = del(fmt.Sprintf("n%d", i%7), i)
		}
		c.apply(0, c.point(), Delta{AsOf: i, Changes: []Change{ch}})
	}
	for _, stale := range staleCopies {
		stale.apply(0, stale.point(), c.deltaSince(stale.point()))
		require.Equal(t, revisions(c), revisions(stale), "from %d", stale.asOf)
	}
}

// Prevents each change after the first listing from being sent to the peers with a copy of everything.
func TestFirstChangesAreSentAlone(t *testing.T) {
	c := new(content)
	c.apply(0, Point{}, Delta{Full: true, AsOf: 10, Changes: []Change{obj("a", 3), obj("b", 9)}})
	c.apply(0, Point{Revision: 10}, Delta{AsOf: 20, Changes: []Change{obj("c", 20)}})
	require.Equal(t, Delta{AsOf: 20, Changes: []Change{obj("c", 20)}}, c.deltaSince(Point{Revision: 10}))
	require.Equal(t, Delta{AsOf: 20, Changes: []Change{obj("c", 20)}}, c.deltaSince(Point{Revision: 15}))
	require.True(t, c.deltaSince(Point{Revision: 9}).Full, "the history begins at the first listing")
	require.True(t, c.deltaSince(Point{Revision: 0}).Full)
}

// memoryStore is a [Source] that holds one kind in memory.
type memoryStore struct {
	mu          sync.Mutex
	content     content
	down        bool
	historyGone bool
	calls       int
}

var errDown = errors.New("down")

func (s *memoryStore) put(ch Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.apply(0, s.content.point(), Delta{AsOf: ch.Object.Revision, Changes: []Change{ch}})
}

func (s *memoryStore) List(context.Context, string, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Page{}, errDown
	}
	s.historyGone = false
	all := s.content.fullDelta()
	return Page{Changes: all.Changes, AsOf: all.AsOf}, nil
}

func (s *memoryStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Delta, error) {
	until := time.Now().Add(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		d, down, historyGone := s.content.deltaSince(Point{s.content.era, since}), s.down, s.historyGone
		s.mu.Unlock()
		switch {
		case down:
			return Delta{}, errDown
		case historyGone:
			return Delta{}, fmt.Errorf("watch: %w", ErrGone)
		case len(d.Changes) > 0 || !time.Now().Before(until):
			return d, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *memoryStore) ResetConnections() {}

func (s *memoryStore) set(f func(s *memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// gate refuses one node's calls while it is closed.
type gate struct {
	Source
	closed atomic.Bool
}

func (g *gate) List(ctx context.Context, kind, after string) (Page, error) {
	if g.closed.Load() {
		return Page{}, errDown
	}
	return g.Source.List(ctx, kind, after)
}

func (g *gate) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Delta, error) {
	if g.closed.Load() {
		return Delta{}, errDown
	}
	return g.Source.Watch(ctx, kind, since, wait)
}

// fleet is a set of followers that announce their positions to each other.
type fleet struct {
	followers []*Follower
	gates     []*gate
	applied   []map[string]uint64
	mu        sync.Mutex
}

func (f *fleet) Fetch(_ context.Context, peer, _ string, since Point) (Delta, error) {
	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return Delta{}, err
	}
	return f.followers[i].DeltaSince(since), nil
}

func newFleet(t *testing.T, n int, src Source) *fleet {
	t.Helper()
	f := new(fleet)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		seen := make(map[string]uint64)
		f.applied = append(f.applied, seen)
		f.gates = append(f.gates, &gate{Source: src})
		f.followers = append(f.followers, &Follower{
			Kind: "k", Source: f.gates[i], Peers: f, MaxStaleness: 250 * time.Millisecond, Rank: func(bool) int { return i }, StoreProof: new(sagefresh.Proof),
			Apply: func(cs []Change, _ bool) {
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, c := range cs {
					if c.Deleted {
						delete(seen, c.Object.Name)
						continue
					}
					if c.Object.Revision < seen[c.Object.Name] {
						t.Errorf("node %d went back to revision %d of %s", i, c.Object.Revision, c.Object.Name)
					}
					seen[c.Object.Name] = c.Object.Revision
				}
			},
		})
	}
	for _, follower := range f.followers {
		wg.Go(func() { _ = follower.Run(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			for i, from := range f.followers {
				for j, to := range f.followers {
					if i != j {
						stamp := sageclock.Now()
						to.HandlePosition(ctx, fmt.Sprint(i), from.Position(), stamp, i%2 == j%2)
					}
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return f
}

func (f *fleet) eventually(t *testing.T, what string, ok func(seen map[string]uint64) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, seen := range f.applied {
			if !ok(seen) {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, what)
}

// After an outage in which the store also lost its history, all nodes must reach the newest content without
// going back to an older revision. Otherwise callers are served with an old configuration.
func TestAllNodesCatchUpAfterOutageAndLostHistory(t *testing.T) {
	s := new(memoryStore)
	s.content.apply(0, Point{}, Delta{Full: true, AsOf: 1, Changes: []Change{obj("a", 1)}})
	f := newFleet(t, 6, s)
	f.eventually(t, "first content", func(m map[string]uint64) bool { return m["a"] == 1 })
	s.put(obj("a", 2))
	f.eventually(t, "a change", func(m map[string]uint64) bool { return m["a"] == 2 })
	s.set(func(s *memoryStore) { s.down = true })
	s.put(obj("b", 3))
	require.Eventually(t, func() bool { return f.followers[0].Failing() }, 20*time.Second, 5*time.Millisecond)
	s.set(func(s *memoryStore) { s.down, s.historyGone = false, true })
	s.put(del("a", 4))
	s.put(obj("c", 5))
	f.eventually(t, "content after the outage", func(m map[string]uint64) bool { return m["b"] == 3 && m["c"] == 5 && m["a"] == 0 })
	require.False(t, f.followers[0].Failing())
}

// When the store refuses the watching and the polling node but serves the others, those have to poll, and all
// nodes have to adopt their proof.
func TestOtherNodesPollWhenWatchersAreRefused(t *testing.T) {
	s := new(memoryStore)
	s.content.apply(0, Point{}, Delta{Full: true, AsOf: 1, Changes: []Change{obj("a", 1)}})
	f := newFleet(t, 4, s)
	f.eventually(t, "first content", func(m map[string]uint64) bool { return m["a"] == 1 })
	for _, g := range f.gates[:2] {
		g.closed.Store(true)
	}
	s.put(obj("a", 7))
	f.eventually(t, "a change", func(m map[string]uint64) bool { return m["a"] == 7 })
	require.Eventually(t, func() bool { return f.followers[0].Proof.Age(sageclock.Now()) < 2*time.Second }, 20*time.Second, time.Millisecond)
}

// pagedSource lists one object per page and fails every second call.
type pagedSource struct {
	names []string
	calls int
}

func (p *pagedSource) List(_ context.Context, _, after string) (Page, error) {
	p.calls++
	if p.calls%2 == 0 {
		return Page{}, errDown
	}
	for i, n := range p.names {
		if n > after {
			out := Page{Changes: []Change{obj(n, uint64(i+1))}, AsOf: uint64(10 + p.calls)}
			if i < len(p.names)-1 {
				out.Next = n
			}
			return out, nil
		}
	}
	return Page{AsOf: 10}, nil
}

func (p *pagedSource) Watch(context.Context, string, uint64, time.Duration) (Delta, error) {
	return Delta{}, ErrGone
}

func (p *pagedSource) ResetConnections() {}

// While many nodes list at the same time, the store refuses some page of each long listing. A listing that restarts
// from the first page never finishes, and engines beyond the first few hundred stay unknown.
func TestListingResumesAfterFailedPage(t *testing.T) {
	src := &pagedSource{names: []string{"a", "b", "c", "d"}}
	f := &Follower{Source: src, Kind: "k"}
	started := sageclock.Now()
	failed := 0
	for {
		d, at, err := f.list(t.Context())
		if err != nil {
			require.ErrorIs(t, err, errDown)
			failed++
			require.Less(t, failed, 4, "each call must get a page")
			continue
		}
		require.Len(t, d.Changes, 4)
		require.Equal(t, uint64(11), d.AsOf, "revision of the first page")
		require.Less(t, at.Sub(started), time.Second)
		break
	}
	require.Equal(t, 3, failed)
	require.False(t, f.hasPendingListing(sageclock.Now()))
}

// An old listing must restart, as the changes since its first page may be gone from the store's history.
func TestExpiredListingRestarts(t *testing.T) {
	src := &pagedSource{names: []string{"a", "b"}}
	f := &Follower{Source: src, Kind: "k"}
	_, _, err := f.list(t.Context())
	require.ErrorIs(t, err, errDown)
	require.True(t, f.hasPendingListing(f.pendingListing.started.Add(maxListingAge)))
	require.False(t, f.hasPendingListing(f.pendingListing.started.Add(maxListingAge+1)))
	f.pendingListing.started -= sageclock.Instant(2 * maxListingAge)
	_, _, err = f.list(t.Context())
	require.ErrorIs(t, err, errDown)
	require.Equal(t, "a", f.pendingListing.next, "restarted from the first page")
	require.Len(t, f.pendingListing.delta.Changes, 1)
}
