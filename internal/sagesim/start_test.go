package sagesim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The fleet of the tests, and the limits that it keeps.
const (
	testNodes = 60
	// readyLimit is the time within which all nodes serve after a start of all of them.
	readyLimit = 2 * time.Second
	// changeLimit is the time within which a change is known to all nodes.
	changeLimit = time.Second
	// listingNodes is how many nodes may list a kind after a start of all.
	listingNodes = 12
)

// Prevents the store calls of a start of all nodes from growing with nodes times objects: one node lists, the others
// copy from it over a tree.
func TestStartOfAllNodesListsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sz := fleetOf(testNodes)
		sz.upstreams = 3000
		f := newFleet(t, sz)
		defer f.shutdown()
		took := f.await(2*readyLimit, func() bool { return f.readyCount() == testNodes })
		require.LessOrEqual(t, took, readyLimit)
		pages := sz.upstreams/pageSize + 1
		require.LessOrEqual(t, f.store.callCount(), listingNodes*pages, "a listing by each node takes %d", testNodes*pages)
	})
}

// Prevents a fleet from waiting for the node that should list first when that node is dead.
func TestStartOfAllNodesWithoutTheFirstOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := prepareFleet(t, fleetOf(testNodes))
		first := f.nodes[:f.size.centres] // the nodes with fast links
		for _, n := range first {
			n.removed = true
		}
		f.startAll()
		defer f.shutdown()
		took := f.await(2*readyLimit, func() bool { return f.readyCount() == testNodes-len(first) })
		require.LessOrEqual(t, took, readyLimit)
	})
}

// Prevents a change from being sent with a copy of everything, or late: a change reaches all nodes over the aggregators.
func TestChangesReachAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetOf(testNodes))
		defer f.shutdown()
		f.await(2*readyLimit, func() bool { return f.readyCount() == testNodes })
		time.Sleep(2 * time.Second)
		before := f.usage()
		require.LessOrEqual(t, f.propagate(kindConfig, "main", 2*changeLimit).max, changeLimit)
		require.LessOrEqual(t, f.propagate(kindUpstreams, "i-00000003", 2*changeLimit).max, changeLimit)
		sent := costsOf(difference(before.out, f.usage().out, 1))
		require.Less(t, sent.max, float64(f.size.upstreams*copiedBytes*testNodes/10), "no node sends copies of everything")
	})
}

// Prevents nodes that need seconds to decode a copy from dropping it, again and again: after a start of all nodes, only those
// with a large share of a core would serve.
func TestSlowNodesGetTheirCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sz := fleetOf(24)
		sz.upstreams = 10000
		sz.decodeTime = 40 * time.Microsecond // two seconds of a fifth of a core
		f := newFleet(t, sz)
		defer f.shutdown()
		const limit = 6 * time.Second
		took := f.await(2*limit, func() bool { return f.readyCount() == sz.nodes })
		require.LessOrEqual(t, took, limit)
		pages := sz.upstreams/pageSize + 1
		require.LessOrEqual(t, f.store.callCount(), listingNodes*pages, "a listing by each node takes %d", sz.nodes*pages)
	})
}
