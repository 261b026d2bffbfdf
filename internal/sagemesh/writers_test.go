package sagemesh

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents records from being sent to nodes that can't write them: those that leave, were never seen or can't reach the store.
func TestWritersReachTheStore(t *testing.T) {
	seed := unusedAddress(50)
	n := newNode("a", freePort(t), seed)
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	self := NodeAddress{Address: n.Address}
	require.Equal(t, []NodeAddress{self}, n.Writers(false), "a seed that wasn't seen doesn't write")
	require.Equal(t, []NodeAddress{self}, n.Writers(true), "no other node does")

	heartbeat := func(i int, h Heartbeat) string {
		h.Identity, h.Address = Identity{Node: unusedAddress(i), DataCentre: "dc"}, unusedAddress(i)
		h.Stamp = Stamp{1, 1}
		n.handleHeartbeat(&h)
		return h.Address
	}
	leaving, cut := heartbeat(1, Heartbeat{Leaving: true}), heartbeat(2, Heartbeat{StoreUnreachable: true})
	var others []NodeAddress
	for i := range 5 {
		others = append(others, NodeAddress{Address: heartbeat(10+i, Heartbeat{}), DataCentre: "dc"})
	}
	got := n.Writers(false)
	require.ElementsMatch(t, append(others, self), got)
	rank := n.Rank(false)
	if rankHash(seed) > rankHash(n.Address) {
		rank-- // the seed ranks while it may be there, but doesn't write
	}
	require.Equal(t, self, got[rank])
	require.ElementsMatch(t, others, n.Writers(true))
	for _, w := range got {
		require.NotContains(t, []string{leaving, cut}, w.Address)
	}
}

// Prevents what a node knew from being lost unnoticed if it starts again before the others have found that it was lost.
func TestRestartIsReported(t *testing.T) {
	n := newNode("a", freePort(t))
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	var restarted []string
	n.OnRestarted = func(m Member) { restarted = append(restarted, m.Node) }
	for _, s := range []Stamp{{1, 1}, {1, 2}, {7, 1}, {7, 2}} {
		n.handleHeartbeat(&Heartbeat{Identity: Identity{Node: "b"}, Address: unusedAddress(1), Stamp: s})
	}
	require.Equal(t, []string{"b"}, restarted)
}

// Prevents a node that left in order, and handed over what it knew, from counting as lost when it starts again.
func TestOrderlyRestartIsNoLoss(t *testing.T) {
	n := newNode("a", freePort(t))
	require.NoError(t, n.Open())
	defer func() { _ = n.conn.Close() }()
	var restarted []string
	n.OnRestarted = func(m Member) { restarted = append(restarted, m.Node) }
	for _, h := range []Heartbeat{{Stamp: Stamp{1, 1}}, {Stamp: Stamp{1, 2}, Leaving: true}, {Stamp: Stamp{7, 1}}} {
		h.Identity, h.Address = Identity{Node: "b"}, unusedAddress(1)
		n.handleHeartbeat(&h)
	}
	require.Empty(t, restarted)
}

// Prevents the records of a region from staying in the store because the first node of the whole fleet is in another one.
func TestEachRegionHasItsFirstNode(t *testing.T) {
	const others, maxTries = 30, 20
	// The order follows from the addresses, so a node with a free port is the first one of all at times, and another is tried.
	for try := 1; ; try++ {
		n := newNode("a", freePort(t))
		n.Region = "r1"
		require.NoError(t, n.Open())
		join := func(from int, region string) {
			for i := from; i < from+others; i++ {
				n.handleHeartbeat(&Heartbeat{Identity: Identity{Node: unusedAddress(i), Region: region}, Address: unusedAddress(i), Stamp: Stamp{1, 1}})
			}
		}
		join(0, "r2")
		rank := n.Rank(false)
		require.Zero(t, n.RegionRank(false))
		require.Zero(t, n.RegionRank(true))
		join(50, "r1")
		regionRank := n.RegionRank(false)
		require.Equal(t, others, n.RegionRank(true), "a node that can't reach the store comes last in its region")
		require.NoError(t, n.conn.Close())
		if rank > 0 && regionRank > 0 {
			return
		}
		require.Less(t, try, maxTries, "always the first one")
	}
}
