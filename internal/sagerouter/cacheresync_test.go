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

// heartbeatInterval is the heartbeat interval of the nodes in these tests.
const heartbeatInterval = 200 * time.Millisecond

// resyncNode is a node of a [resyncFleet].
type resyncNode struct {
	*cacheResync
	dataCentre     string
	live           bool
	peersVisibleAt time.Time // time from which the other nodes are known
}

// resyncFleet is a fleet of nodes that resync in virtual time, with simulated heartbeats, engines and store.
type resyncFleet struct {
	t               *testing.T
	engines         []*sageupstream.Entry
	cachedParts     map[string][]uint64
	registeredNodes []string
	storeAnswered   bool // the store has listed engines and nodes

	mu      sync.Mutex
	nodes   map[string]*resyncNode
	queries map[string]int
}

// newResyncFleet returns a fleet with engines that have twenty cached parts each, and with registered nodes that
// haven't started.
func newResyncFleet(t *testing.T, engines int, registered ...string) *resyncFleet {
	f := &resyncFleet{t: t, cachedParts: make(map[string][]uint64), registeredNodes: registered, storeAnswered: true, nodes: make(map[string]*resyncNode), queries: make(map[string]int)}
	for i := range engines {
		id := fmt.Sprintf("u%d", i)
		f.engines = append(f.engines, &sageupstream.Entry{ID: id, Service: "s"})
		for part := range uint64(20) {
			f.cachedParts[id] = append(f.cachedParts[id], uint64(i+1)*1000+part)
		}
	}
	return f
}

// CachedParts implements [Inspector].
func (f *resyncFleet) CachedParts(_ context.Context, u *sageupstream.Entry) (CacheList, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries[u.ID]++
	return CacheList{Parts: f.cachedParts[u.ID]}, nil
}

// start starts a node that knows the live nodes from the beginning.
func (f *resyncFleet) start(ctx context.Context, name, dataCentre string) *resyncNode {
	n := &resyncNode{dataCentre: dataCentre, live: true}
	n.cacheResync = &cacheResync{
		Self: name, DataCentre: dataCentre, Placer: new(sagechain.Placer), Inspector: f,
		Peers: func() []sagemesh.Member { return f.peers(name) },
		Engines: func() ([]*sageupstream.Entry, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.engines, f.storeAnswered
		},
		RegisteredNodes:     func() []string { return f.registeredNodes },
		RegistrationDone:    func() bool { return f.storeAnswered },
		FetchHolders:        f.fetch,
		Broadcast:           func() { f.broadcast(name) },
		PropagationInterval: func() time.Duration { return heartbeatInterval },
	}
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
	return n
}

// peers returns the other live nodes that a node has discovered.
func (f *resyncFleet) peers(self string) []sagemesh.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sagemesh.Member
	if time.Now().Before(f.nodes[self].peersVisibleAt) {
		return nil
	}
	for name, n := range f.nodes {
		if name != self && n.live {
			out = append(out, sagemesh.Member{Address: name, Identity: sagemesh.Identity{Node: name, DataCentre: n.dataCentre}, Synced: n.synced.Load()})
		}
	}
	return out
}

// fetch returns the answer of the peer at the address.
func (f *resyncFleet) fetch(_ context.Context, address string) (sagemesh.Holders, error) {
	f.mu.Lock()
	n := f.nodes[address]
	f.mu.Unlock()
	if n == nil || !n.live {
		return sagemesh.Holders{}, errors.New("no such peer")
	}
	return sagemesh.Holders{Observed: n.Placer.All(sageclock.Now()), Listed: n.Placer.AllListed(sageclock.Now())}, nil
}

// broadcast sends one heartbeat with the node's updates to all live nodes.
func (f *resyncFleet) broadcast(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	observed, listed := f.nodes[name].Placer.TakeUpdates(maxObservedParts), f.nodes[name].Placer.TakeListedUpdates(maxListedParts)
	for other, n := range f.nodes {
		if other != name && n.live {
			n.Placer.Merge(sageclock.Now(), observed)
			n.Placer.MergeListed(sageclock.Now(), listed)
		}
	}
}

// requireAllKnown checks that a node knows the cached parts of each engine.
func (f *resyncFleet) requireAllKnown(n *resyncNode) {
	f.t.Helper()
	observed, listed := n.Placer.All(sageclock.Now()), n.Placer.AllListed(sageclock.Now())
	for id, parts := range f.cachedParts {
		got := slices.Clone(observed[id])
		for _, h := range listed[id] {
			got = append(got, uint64(h)) // the parts are small numbers here, equal to their hashes
		}
		slices.Sort(got)
		got = slices.Compact(got)
		got = slices.DeleteFunc(got, func(p uint64) bool { return !slices.Contains(parts, p) })
		require.Equal(f.t, parts, got, "%s of %s", id, n.Self)
	}
}

// All nodes restart within 300 ms, and the first ones send some prompts. The others took these for synced peers,
// though they knew only the prompts sent since. No engine was queried, and the fleet's prompts were processed
// again elsewhere.
func TestResyncAfterFleetRestartIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
		f := newResyncFleet(t, 12, names...)
		for i, name := range names {
			n := f.start(ctx, name, fmt.Sprintf("dc%d", i%3))
			n.Placer.Record(sageclock.Now(), f.engines[i].ID, sagechain.Chain{{ID: 7, Tokens: 500}, {ID: uint64(i), Tokens: 10}})
			time.Sleep(45 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
			require.True(t, n.synced.Load())
		}
		for id, queries := range f.queries {
			require.Equal(t, 1, queries, "each query delays the engine %s", id)
		}
		require.Len(t, f.queries, len(f.engines))
	})
}

// A node restarts during a store outage, when its peers aren't ready since they can't verify keys. The node took
// none of them for synced, and queried only the engines assigned to itself.
func TestNodeStartedDuringStoreOutageQueriesPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newResyncFleet(t, 12, "n0", "n1", "n2")
		running := f.start(ctx, "n0", "dc0")
		time.Sleep(2 * time.Second)
		running.Placer.Merge(sageclock.Now(), f.cachedParts)
		clear(f.queries)
		f.storeAnswered = false
		late := f.start(ctx, "n1", "dc0")
		time.Sleep(peerTimeout + 50*time.Millisecond)
		f.requireAllKnown(late)
		require.Empty(t, f.queries, "no engine is queried for parts that a peer knows of")
	})
}

// A node restarts while its seeds are gone, and discovers its peers one heartbeat after it has queried its
// assigned engines. It never queried a peer, and all other prompts were processed again.
func TestNodeThatDiscoversPeersLateQueriesOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newResyncFleet(t, 12, "n0", "n1", "n2", "n3", "n4", "n5")
		running := f.start(ctx, "n0", "dc0")
		time.Sleep(2 * time.Second)
		running.Placer.Merge(sageclock.Now(), f.cachedParts)
		clear(f.queries)
		late := f.start(ctx, "n1", "dc0")
		f.mu.Lock()
		late.peersVisibleAt = time.Now().Add(250 * time.Millisecond)
		f.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		f.requireAllKnown(late)
		require.Less(t, len(f.queries), 6, "only the engines assigned to the node")
		require.True(t, late.synced.Load())
	})
}

// Two of five nodes don't come back after a restart of all. No node queried the engines assigned to these two, and
// their prompts were processed again elsewhere.
func TestEnginesOfMissingNodesAreQueriedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newResyncFleet(t, 20, "n0", "n1", "n2", "gone0", "gone1")
		for _, name := range []string{"n0", "n1", "n2"} {
			f.start(ctx, name, "dc0")
		}
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
		}
		require.Len(t, slices.Collect(maps.Keys(f.queries)), len(f.engines))
	})
}

// All nodes start during a store outage. The engines are queried once the store answers.
func TestResyncWaitsForStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newResyncFleet(t, 4, "n0", "n1")
		f.storeAnswered = false
		f.start(ctx, "n0", "dc0")
		f.start(ctx, "n1", "dc0")
		time.Sleep(30 * time.Second)
		require.Empty(t, f.queries)
		f.mu.Lock()
		f.storeAnswered = true
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			f.requireAllKnown(n)
		}
	})
}
