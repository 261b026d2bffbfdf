package sagerouter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sageorigind"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// newSizedNode returns a node that knows a number of nodes, itself included, and of which the list of nodes has others; none if it hasn't
// been read.
func newSizedNode(t *testing.T, known, listed int) *Node {
	t.Helper()
	n := newRegistrar(t, 0, false, new(entryStore)).node
	for i := 1; i < known; i++ {
		require.NoError(t, n.mesh.AddPeer(fmt.Sprintf("10.0.0.%d:7000", i+1)))
	}
	if listed > 0 {
		names := make([]string, listed)
		for i := range names {
			names[i] = fmt.Sprint("vm", i)
		}
		n.registeredNames.Store(&names)
	}
	n.view = newView()
	n.view.newVersionDelay = n.newVersionDelay
	n.view.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 5)}, false)
	return n
}

// servesAt reports whether an upstream gets requests at an instant.
func (v *view) servesAt(now sageclock.Instant, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdBackVersions(now)
	for _, e := range v.registry.Snapshot().Available("s") {
		if e.ID == id {
			return true
		}
	}
	return false
}

// Prevents a node that knows few nodes of a large fleet from beginning streams of a new version while a node that knows many still believes
// a copy without it, and would continue them at the old one.
func TestNewVersionWaitsForNodesThatKnowMore(t *testing.T) {
	large := newSizedNode(t, 30, 30)
	for _, tt := range []struct {
		name          string
		known, listed int
		joins         int  // further nodes that it discovers after the version has arrived
		large         bool // others know many nodes
		want          time.Duration
	}{
		{"it has not read the list of nodes", 5, 0, 0, true, 2400 * time.Millisecond},
		{"it has discovered few of many", 5, 30, 0, true, 2400 * time.Millisecond},
		{"it knows all", 30, 30, 0, true, 2400 * time.Millisecond},
		{"the others join while the version waits", 20, 20, 10, true, 2400 * time.Millisecond},
		{"a small fleet", 20, 20, 0, false, 1600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newSizedNode(t, tt.known, tt.listed)
			start := sageclock.Now()
			n.view.applyUpstreams([]sagefollow.Change{upstreamEntry("e2", "v2", 6)}, false)
			arrived := sageclock.Now()
			for i := range tt.joins {
				require.NoError(t, n.mesh.AddPeer(fmt.Sprintf("10.0.1.%d:7000", i+1)))
			}
			const step = 50 * time.Millisecond
			var wait time.Duration
			for !n.view.servesAt(arrived.Add(wait), "e2") {
				require.Less(t, wait, time.Minute)
				wait += step
			}
			require.InDelta(t, tt.want, wait, float64(step))
			if tt.large {
				require.Greater(t, arrived.Add(wait).Sub(start), large.maxSoleProofAge(), "the large one still counts its copy as recent")
			}
		})
	}
}

// takesUp returns the origin at which a node that starts after the loss of all others continues a stream of route r whose record is lost;
// none if it refuses. upstreams are those that are there by then.
func takesUp(t *testing.T, store *claimStore, changes ...sagefollow.Change) sageorigin.Origin {
	t.Helper()
	n := newClaimNode(t, store, false)
	n.applyUpstreams(changes, false)
	_ = n.work(t, 0)
	claims, err := n.keeper.claims(t.Context())
	require.NoError(t, err)
	n.history.SetClaims(sageclock.Now(), claims)
	o, status := n.history.Status(sageclock.Now(), "r")
	if status != sageorigin.Sole {
		return sageorigin.Origin{}
	}
	return o
}

// Prevents streams of a version that has left from going on at another one because a restore has taken away the claims of the service.
func TestFirstClaimAfterRestoreIsNotSole(t *testing.T) {
	store := &claimStore{revision: 20}
	n := newClaimNode(t, store, true)
	n.listed("v1", "v2")
	require.NoError(t, n.work(t, 0))
	store.era, store.objects = 1, nil
	require.Empty(t, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
	later := newClaimNode(t, store, true)
	later.listed("v1")
	for i := range 40 {
		require.NoError(t, later.work(t, time.Duration(i)*time.Second))
	}
	require.True(t, store.claim(t).Sole, "claimed by a node that knows what was before")
}

// Prevents streams that began while a route led to another service from going on at the one to which it has come back: the claim named
// the route as long as the service had no other.
func TestClaimLosesRouteThatMoves(t *testing.T) {
	for _, tt := range []struct {
		name     string
		services []string
		started  bool // a node that has started since carries the streams
	}{
		{"it moves", []string{"other"}, false},
		{"it is split", []string{"s", "other"}, false},
		{"it moved while all nodes were down", []string{"other"}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := &claimStore{revision: 20}
			n := newClaimNode(t, store, true)
			n.listed("v1")
			require.NoError(t, n.work(t, 0))
			require.Equal(t, []string{"r"}, store.claim(t).Routes)
			calls := store.calls
			require.NoError(t, n.work(t, time.Second))
			require.Equal(t, calls, store.calls, "nothing is read while no route changes")
			require.Equal(t, sageorigin.Origin{Service: "s", Version: "v1"}, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
			if tt.started {
				n = newClaimNode(t, store, false)
				n.history = sageorigin.History{}
				n.listed("v1")
			}
			n.history.SetRoutes(sageclock.Now(), map[string][]string{"r": tt.services})
			require.NoError(t, n.work(t, time.Second))
			require.Empty(t, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
			require.Empty(t, store.claim(t).Routes)
			calls = store.calls
			require.NoError(t, n.work(t, 2*time.Second))
			require.Equal(t, calls, store.calls, "once for each change")
		})
	}
}

// Prevents streams of a version that served while the store answered no write from going on at the version before it, which came back
// while all nodes were down.
func TestClaimEndsWithUpstreamsOfItsTime(t *testing.T) {
	store := &claimStore{revision: 20}
	n := newClaimNode(t, store, true)
	entry := func(id, version string, created uint64) sagefollow.Change {
		return put(id, created, fmt.Sprintf(`{"Service":"s","Address":"%s:1","DataCentre":"north","Version":%q,"Created":%d}`, id, version, created))
	}
	n.applyUpstreams([]sagefollow.Change{entry("u1", "v1", 10)}, false)
	require.NoError(t, n.work(t, 0))
	require.Equal(t, sageorigin.Origin{Service: "s", Version: "v1"}, takesUp(t, store, entry("u1", "v1", 10)))

	store.fails = true
	n.applyUpstreams([]sagefollow.Change{entry("u2", "v2", 30), deletion("u1", 31)}, false)
	require.Error(t, n.work(t, 0))
	require.True(t, n.servesAt(sageclock.Now().Add(maxAdmissionWait), "u2"), "it serves without its admission")
	store.fails = false
	store.revision = 40
	require.Empty(t, takesUp(t, store, entry("u3", "v1", 35)))
}

// firstServed returns how long after an instant an upstream gets its first request, a minute at most.
func (v *view) firstServed(since sageclock.Instant, id string) time.Duration {
	const step = 20 * time.Millisecond
	for wait := time.Duration(0); wait < time.Minute; wait += step {
		if v.servesAt(since.Add(wait), id) {
			return wait
		}
	}
	return time.Minute
}

// continues reports whether a node, whose copy of the upstreams is of a past instant, would send a return to a stream that began elsewhere
// to an upstream that it knows. The store has further entries by now, or answers nobody if there are none.
func (n *Node) continues(t *testing.T, copied, now sageclock.Instant, id string, entries ...sagefollow.Change) bool {
	t.Helper()
	n.view.history.SetRoutes(copied, map[string][]string{"r": {"s"}})
	n.view.history.SetComplete()
	var proof sagefresh.Proof
	proof.RecordRead(copied)
	s := &sageorigind.Service{
		Self: "10.0.0.1:7", History: &n.view.history, Nodes: func() []sageorigin.Holder { return nil }, Metrics: metrics.NewSet(), Now: func() sageclock.Instant { return now },
		Fresh: func() bool { return proof.Age(now) <= n.maxSoleProofAge() }, ProvenAt: proof.At,
	}
	if len(entries) > 0 {
		s.Refresh = func(context.Context) error {
			n.view.applyUpstreams(entries, false)
			proof.RecordRead(now)
			return nil
		}
	}
	f := s.Find(t.Context(), "r", sageorigin.KeyOf("acc", "q"))
	if f.Status != sageorigin.Sole {
		return false
	}
	n.fleet.view = n.view
	for _, e := range n.fleet.originUpstreams(n.view.upstreams.Load(), &sagerelay.Query{Service: "s", Route: "r", Origin: &f.Origin}) {
		if e.ID == id {
			return true
		}
	}
	return false
}

// Prevents a node that starts from beginning streams of a version that registered just before, while other nodes still believe a copy
// without it.
func TestStartedNodeWaitsForOthers(t *testing.T) {
	other := newSizedNode(t, 9, 9)
	store := &claimStore{revision: 20}
	first := newClaimNode(t, store, true)
	first.listed("v1")
	require.NoError(t, first.work(t, 0))
	n := newClaimNode(t, store, false)
	n.newVersionDelay = other.newVersionDelay
	now := sageclock.Now()
	n.listed("v1", "v2")
	require.NoError(t, n.work(t, 0))
	served := n.firstServed(now, "u2")
	for _, entries := range [][]sagefollow.Change{nil, {upstreamEntry("u2", "v2", 11)}} {
		require.False(t, other.continues(t, now-1, now.Add(served), "e1", entries...), "v2 served after %s", served)
	}
}

// Prevents a node from beginning streams of a new version as soon as no upstream of the old one is left, while other nodes send to upstreams of
// the old one that still execute.
func TestNewVersionWaitsForNodesThatUseTheOldOne(t *testing.T) {
	draining := put("e1", 7, `{"Service":"s","Address":"e1:1","DataCentre":"north","Version":"v1","Draining":true}`)
	for _, tt := range []struct {
		name  string
		leave func(v *view)
	}{
		{"it drains", func(v *view) { v.applyUpstreams([]sagefollow.Change{draining}, false) }},
		{"its entry is removed", func(v *view) { v.applyUpstreams([]sagefollow.Change{deletion("e1", 7)}, false) }},
		{"its data centre is closed", func(v *view) { v.applyClosed([]sagefollow.Change{put("north", 7, `{}`)}, false) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newSizedNode(t, 9, 9)
			now := sageclock.Now()
			entries := []sagefollow.Change{put("e2", 6, `{"Service":"s","Address":"e2:1","DataCentre":"south","Version":"v2"}`)}
			n.view.applyUpstreams(entries, false)
			tt.leave(n.view)
			served := n.view.firstServed(now, "e2")
			for _, known := range [][]sagefollow.Change{nil, entries} {
				require.False(t, newSizedNode(t, 9, 9).continues(t, now-1, now.Add(served), "e1", known...), "v2 served after %s", served)
			}
		})
	}
}

// serveBeforeClaims has a node of the program before claims begin streams of v2, beside others that have claimed v1.
func serveBeforeClaims(t *testing.T) (*claimStore, *claimNode) {
	t.Helper()
	store := &claimStore{revision: 20}
	n := newClaimNode(t, store, true)
	n.listed("v1")
	require.NoError(t, n.work(t, 0))
	before := newSizedNode(t, 9, 9).view
	now := sageclock.Now()
	before.applyUpstreams([]sagefollow.Change{upstreamEntry("u2", "v2", 11)}, false)
	require.Greater(t, before.firstServed(now, "u2"), claimInterval)
	return store, n
}

// Prevents streams that a node of the program before claims began from going on at the version that a claim names, while a new node is
// there that has the new version admitted.
func TestNewNodeAdmitsForNodesBeforeClaims(t *testing.T) {
	store, n := serveBeforeClaims(t)
	n.applyUpstreams([]sagefollow.Change{upstreamEntry("u2", "v2", 11)}, false)
	require.NoError(t, n.work(t, claimInterval))
	require.Empty(t, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
}

// Prevents streams that nodes of the program before claims began from going on at the version that a claim names, after the new nodes were
// taken back.
func TestNodesBeforeClaimsAlone(t *testing.T) {
	store, _ := serveBeforeClaims(t)
	require.Empty(t, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
}

// Prevents streams that began on a route just after it moved from going on at the service that the claim names, if all nodes are lost
// before the claim is written.
func TestRouteThatMovesBeforeLossOfAllNodes(t *testing.T) {
	store := &claimStore{revision: 20}
	n := newClaimNode(t, store, true)
	n.listed("v1")
	require.NoError(t, n.work(t, 0))
	n.history.SetRoutes(sageclock.Now(), map[string][]string{"r": {"other"}}) // in force for requests at once
	require.Empty(t, takesUp(t, store, upstreamEntry("u1", "v1", 10)))
}
