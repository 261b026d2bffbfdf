package sagerouter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// heartbeatEvery is the interval of the nodes in these tests.
const heartbeatEvery = 200 * time.Millisecond

// recallNode is a node of a [recallFleet].
type recallNode struct {
	*recall
	dataCentre string
	live       bool
	hearsAt    time.Time // of other nodes
}

// recallFleet is a fleet whose nodes recall, in virtual time: heartbeats, engines that tell what they
// hold, and a store that names the nodes that ever registered.
type recallFleet struct {
	t       *testing.T
	engines []*sageupstream.Entry
	holds   map[string][]uint64
	named   []string
	known   bool // the store has answered

	mu    sync.Mutex
	nodes map[string]*recallNode
	asks  map[string]int
}

// newRecallFleet returns a fleet of engines that hold twenty parts each, and of named nodes that
// haven't started.
func newRecallFleet(t *testing.T, engines int, named ...string) *recallFleet {
	f := &recallFleet{t: t, holds: make(map[string][]uint64), named: named, known: true, nodes: make(map[string]*recallNode), asks: make(map[string]int)}
	for i := range engines {
		id := fmt.Sprintf("u%d", i)
		f.engines = append(f.engines, &sageupstream.Entry{ID: id, Service: "s"})
		for part := range uint64(20) {
			f.holds[id] = append(f.holds[id], uint64(i+1)*1000+part)
		}
	}
	return f
}

// Held implements [Inspector].
func (f *recallFleet) CachedParts(_ context.Context, u *sageupstream.Entry) ([]uint64, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks[u.ID]++
	return f.holds[u.ID], nil
}

// start starts a node; it learns of the others with its first heartbeat.
func (f *recallFleet) start(ctx context.Context, name, dataCentre string) *recallNode {
	n := &recallNode{dataCentre: dataCentre, live: true}
	n.recall = &recall{
		Self: name, DataCentre: dataCentre, Placer: new(sagechain.Placer), Inspector: f,
		Peers: func() []sagemesh.Member { return f.peers(name) },
		Engines: func() ([]*sageupstream.Entry, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.engines, f.known
		},
		Named:      func() []string { return f.named },
		Registered: func() bool { return f.known },
		Fetch:      f.fetch,
		Tell:       func() { f.tell(name) },
		Interval:   func() time.Duration { return heartbeatEvery },
	}
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
	return n
}

// peers are the other live nodes.
func (f *recallFleet) peers(self string) []sagemesh.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sagemesh.Member
	if time.Now().Before(f.nodes[self].hearsAt) {
		return nil
	}
	for name, n := range f.nodes {
		if name != self && n.live {
			out = append(out, sagemesh.Member{Address: name, Identity: sagemesh.Identity{Node: name, DataCentre: n.dataCentre}, Synced: n.informed.Load()})
		}
	}
	return out
}

// fetch answers as the peer would.
func (f *recallFleet) fetch(_ context.Context, address string) (sagemesh.Holders, error) {
	f.mu.Lock()
	n := f.nodes[address]
	f.mu.Unlock()
	if n == nil || !n.live {
		return sagemesh.Holders{}, errors.New("no such peer")
	}
	return sagemesh.Holders{Observed: n.Placer.All(sageclock.Now()), Listed: n.Placer.AllListed(sageclock.Now())}, nil
}

// tell sends one heartbeat with the node's news to all that live.
func (f *recallFleet) tell(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	told, listed := f.nodes[name].Placer.TakeUpdates(heldNotes), f.nodes[name].Placer.TakeListedUpdates(listedNotes)
	for other, n := range f.nodes {
		if other != name && n.live {
			n.Placer.Merge(sageclock.Now(), told)
			n.Placer.MergeListed(sageclock.Now(), listed)
		}
	}
}

// requireAllKnown checks that a node knows what each engine holds.
func (f *recallFleet) requireAllKnown(n *recallNode) {
	f.t.Helper()
	told, listed := n.Placer.All(sageclock.Now()), n.Placer.AllListed(sageclock.Now())
	for id, parts := range f.holds {
		have := slices.Clone(told[id])
		for _, h := range listed[id] {
			have = append(have, uint64(h)) // the parts here are small numbers, which are their own hashes
		}
		slices.Sort(have)
		have = slices.Compact(have)
		have = slices.DeleteFunc(have, func(p uint64) bool { return !slices.Contains(parts, p) })
		require.Equal(f.t, parts, have, "%s of %s", id, n.Self)
	}
}

// All nodes lose power at once and come back within 300 ms. The first ones send some prompts before
// the others look for a peer that can tell them what the engines hold; they were taken for such peers
// although they knew nothing but those prompts, no engine was asked, and the whole fleet's prompts were
// read again on other engines.
func TestFleetThatStartsAnewRecallsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
		f := newRecallFleet(t, 12, names...)
		for i, name := range names {
			n := f.start(ctx, name, fmt.Sprintf("dc%d", i%3))
			n.Placer.Record(sageclock.Now(), f.engines[i].ID, sagechain.Chain{{ID: 7, Tokens: 500}, {ID: uint64(i), Tokens: 10}})
			time.Sleep(45 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
			require.True(t, n.informed.Load())
		}
		for id, asks := range f.asks {
			require.Equal(t, 1, asks, "asking delays the engine %s", id)
		}
		require.Len(t, f.asks, len(f.engines))
	})
}

// One node restarts while the store is away: its peers serve no keyed requests just then and aren't
// ready, so it took none of them for a peer that knows, and asked the few engines that were its own part.
func TestNodeThatStartsDuringAnOutageAsksAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRecallFleet(t, 12, "n0", "n1", "n2")
		old := f.start(ctx, "n0", "dc0")
		time.Sleep(2 * time.Second)
		old.Placer.Merge(sageclock.Now(), f.holds)
		clear(f.asks)
		f.known = false
		late := f.start(ctx, "n1", "dc0")
		time.Sleep(peerWithin + 50*time.Millisecond)
		f.requireAllKnown(late)
		require.Empty(t, f.asks, "no engine is asked for what a peer knows")
	})
}

// One node of a fleet restarts while its seeds are gone: it hears of the others a heartbeat later, when it
// has asked its own engine already. It was content with that, and read all other prompts again.
func TestNodeThatHearsOfItsPeersLateAsksOneOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRecallFleet(t, 12, "n0", "n1", "n2", "n3", "n4", "n5")
		old := f.start(ctx, "n0", "dc0")
		time.Sleep(2 * time.Second)
		old.Placer.Merge(sageclock.Now(), f.holds)
		clear(f.asks)
		late := f.start(ctx, "n1", "dc0")
		f.mu.Lock()
		late.hearsAt = time.Now().Add(250 * time.Millisecond)
		f.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		f.requireAllKnown(late)
		require.Less(t, len(f.asks), 6, "only its own part")
		require.True(t, late.informed.Load())
	})
}

// Two of five nodes never come back after all lost power. The engines that were theirs to ask were
// asked by nobody, and what they hold was read again elsewhere.
func TestEnginesOfNodesThatAreGoneAreAskedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRecallFleet(t, 20, "n0", "n1", "n2", "gone0", "gone1")
		for _, name := range []string{"n0", "n1", "n2"} {
			f.start(ctx, name, "dc0")
		}
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
		}
		require.Len(t, slices.Collect(maps.Keys(f.asks)), len(f.engines))
	})
}

// The store is away when all nodes start. As soon as it answers, the engines are asked.
func TestRecallWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRecallFleet(t, 4, "n0", "n1")
		f.known = false
		f.start(ctx, "n0", "dc0")
		f.start(ctx, "n1", "dc0")
		time.Sleep(30 * time.Second)
		require.Empty(t, f.asks)
		f.mu.Lock()
		f.known = true
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
		}
	})
}
