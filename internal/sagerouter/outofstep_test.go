package sagerouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
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
func (n *Node) servesAt(now sageclock.Instant, id string) bool {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	n.view.holdBackVersions(now)
	for _, e := range n.view.registry.Snapshot().Available("s") {
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
			for !n.servesAt(arrived.Add(wait), "e2") {
				require.Less(t, wait, time.Minute)
				wait += step
			}
			require.InDelta(t, tt.want, wait, float64(step))
			if tt.large {
				require.Greater(t, arrived.Add(wait).Sub(start), large.maxSoleProofAge(), "the large one still believes in v1")
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
