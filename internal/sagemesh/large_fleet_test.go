package sagemesh

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// The fleet of these tests, in which broadcast rounds are more than a second apart.
const (
	largeFleetSize    = 120
	largeFleetCentres = 6
	// fastDetectionLimit is the time within which dead nodes usually must be dropped by all others: what a small
	// fleet needs, and a second for forwarding the report.
	fastDetectionLimit = 3 * time.Second
	// detectionLimit is the time within which they must be dropped in any case: the shortest limit of any platform.
	detectionLimit = 6 * time.Second
)

// A fifth of the nodes of a large fleet fails, including aggregators. If the others waited for missing broadcast
// rounds, callers would be directed to the failed nodes for many seconds.
func TestDeadNodesAreDroppedInLargeFleet(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 1, largeFleetSize, largeFleetCentres)
	v.advance(4 * time.Second)
	v.falseDrops = 0
	for i, n := range v.nodes {
		n.down = i%5 == 0
	}
	v.advanceUntil(fastDetectionLimit, func() bool { return v.countStaleViews() == 0 })
	require.Zero(t, v.falseDrops, "no live node was dropped")
}

// More than half of a data centre's nodes fail, including its aggregator and the backup. The node that takes over
// never received heartbeats from the failed nodes at the shortest interval. If that were its only evidence, it
// would consider them live until their broadcast rounds are overdue.
func TestDeadNodesAreDroppedWithoutAggregatorAndBackup(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 6, largeFleetSize, largeFleetCentres)
	v.advance(4 * time.Second)
	v.falseDrops = 0
	pair := v.nodes[1].aggregators()["dc1"]
	remaining := largeFleetSize / largeFleetCentres * 2 / 5
	for _, n := range v.nodes {
		if n.DataCentre != "dc1" {
			continue
		}
		remaining--
		n.down = pair.contains(n.Address) || remaining < 0
	}
	v.advanceUntil(detectionLimit, func() bool { return v.countStaleViews() == 0 })
	require.Zero(t, v.falseDrops)
}

// A started node becomes ready some seconds later. If it reported this only with its next broadcast round, it would
// get no callers for some more seconds.
func TestReadinessIsBroadcastImmediately(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 7, largeFleetSize, largeFleetCentres)
	started := v.nodes[17]
	ready := false
	started.Fill = func(h *Heartbeat) { h.Ready = ready }
	v.advance(4 * time.Second)
	ready = true
	v.advance(500 * time.Millisecond)
	for _, n := range v.nodes {
		for _, m := range n.Live() {
			require.True(t, m.Ready, "%s about %s", n.Name, m.Node)
		}
	}
}

// All nodes of a large fleet start together. If only those from which something has been received counted for the ranks,
// each node would be the first one in its own view and query the store.
func TestFewNodesRankFirstDuringStart(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 11, largeFleetSize, largeFleetCentres)
	var first []*virtualNode
	for _, n := range v.nodes {
		if n.Rank(false) == 0 {
			first = append(first, n)
		}
	}
	require.Len(t, first, 1)
	first[0].down = true
	v.advance(discoveryTime + time.Second)
	require.True(t, slices.ContainsFunc(v.nodes, func(n *virtualNode) bool { return !n.down && n.Rank(false) == 0 }), "another node takes over")
}

// After a start of all nodes their broadcast rounds are some time apart. If a data centre counted as lost whenever none of
// its rounds is due for a moment, each node would probe all others again and again.
func TestNodesProbeNobodyAfterStart(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 12, 3*largeFleetSize, largeFleetCentres)
	v.advance(2 * time.Second)
	before := 0
	for _, n := range v.nodes {
		before += n.sent
	}
	const period = 4
	v.advance(period * time.Second)
	sent := -before
	for _, n := range v.nodes {
		sent += n.sent
	}
	perSecond := float64(sent) / period / float64(len(v.nodes))
	t.Log("datagrams a second and node", perSecond)
	require.Less(t, perSecond, 80.0, "two aggregators five times a second, a round each ten seconds, and their replies")
}

// A data centre loses power, including its aggregator. Until nodes elsewhere drop its nodes, they direct its
// callers to dead nodes only.
func TestLostDataCentreIsDropped(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 2, largeFleetSize, largeFleetCentres)
	v.advance(4 * time.Second)
	v.falseDrops = 0
	for _, n := range v.nodes {
		n.down = n.DataCentre == "dc1"
	}
	v.advanceUntil(fastDetectionLimit, func() bool { return v.countStaleViews() == 0 })
	require.Zero(t, v.falseDrops)
}

// The store refuses all nodes when the fleet starts, and each node knows only one seed. Nodes whose addresses
// aren't forwarded would remain unknown to most others and get no callers.
func TestNodesDiscoverEachOtherWithoutStore(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{8, 40} {
		v := newVirtualFleet(t, 10, nodes, 4)
		seed := v.nodes[0].Address
		for _, n := range v.nodes {
			n.peers, n.order = make(map[string]*peer), nil
			require.NoError(t, n.addPeer(seed, true))
		}
		took := v.advanceUntil(20*time.Second, func() bool {
			return !slices.ContainsFunc(v.nodes, func(n *virtualNode) bool { return len(n.Live()) < nodes-1 })
		})
		t.Log(nodes, took)
	}
}

// An aggregator can still send but no longer receive, and reports all its nodes as unresponsive. If the others
// dropped them without a probe, callers would be directed to none of them although they all serve.
func TestAggregatorThatReceivesNothingDropsNoNode(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 3, largeFleetSize, largeFleetCentres)
	v.advance(4 * time.Second)
	v.falseDrops = 0
	sendOnly := v.byAddr[v.nodes[1].aggregators()["dc1"].primary]
	v.cutOff = func(_, to *virtualNode) bool { return to == sendOnly }
	v.advance(6 * time.Second)
	for _, n := range v.nodes {
		if n == sendOnly {
			continue
		}
		others := slices.DeleteFunc(n.Live(), func(m Member) bool { return m.Address == sendOnly.Address })
		require.Len(t, others, largeFleetSize-2, "%s must know all nodes but itself and the aggregator", n.Name)
	}
}

// A data centre is cut off from the others for a while. Afterwards its nodes must not wait for the next broadcast
// rounds, which are seconds apart, to know the others and to get callers from elsewhere.
func TestNodesRejoinSoonAfterPartition(t *testing.T) {
	t.Parallel()
	v := newVirtualFleet(t, 8, largeFleetSize, largeFleetCentres)
	v.advance(4 * time.Second)
	connected := v.cutOff
	v.cutOff = func(from, to *virtualNode) bool { return (from.DataCentre == "dc1") != (to.DataCentre == "dc1") }
	v.advance(4 * time.Second)
	require.Len(t, v.nodes[1].Live(), largeFleetSize/largeFleetCentres-1)
	v.cutOff = connected
	v.advanceUntil(fastDetectionLimit, func() bool {
		return !slices.ContainsFunc(v.nodes, func(n *virtualNode) bool { return len(n.Live()) < largeFleetSize-1 })
	})
}

// All nodes of a large fleet start together. Each gets the list of cached parts from an engine and sends it to the
// others. If it sent the list directly, all lists would reach each slow link at the same moment, most would be
// lost, and for seconds a third of the prompts cached by some engine would be processed again.
func TestListedPartsReachAllNodesAfterRestart(t *testing.T) {
	t.Parallel()
	const (
		parts = 300
		// reached is the fraction of the listed parts that every node has to receive.
		reached = 0.98
	)
	v := newVirtualFleet(t, 9, largeFleetSize, largeFleetCentres)
	v.maxLinkWait = 50 * time.Millisecond
	v.advance(500 * time.Millisecond)
	for _, n := range v.nodes {
		list := make([]sagechain.PartHash, parts)
		for i := range list {
			list[i] = sagechain.PartHash(v.rnd.Uint32())
		}
		n.listedUpdates = map[string][]sagechain.PartHash{"e" + n.Name: list}
		n.TriggerHeartbeats(true)
	}
	v.advance(fastDetectionLimit)
	for _, n := range v.nodes {
		known := 0
		for _, x := range n.knownListed {
			known += len(x)
		}
		require.Greater(t, float64(known), reached*parts*(largeFleetSize-1), n.Name)
	}
}

// Datagram loss must not make live nodes disappear from the directory's answers and come back, which would move
// callers and the watching of the store between nodes.
func TestLostDatagramsDropNoNode(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{8, 60, largeFleetSize} {
		v := newVirtualFleet(t, 4, nodes, 3)
		v.advance(4 * time.Second)
		v.falseDrops, v.lossRate = 0, 0.05
		v.advance(6 * time.Second)
		// The bound allows for nodes dropped because, after a report or a change of role, two datagrams in a row
		// and the reply to the probe are lost.
		require.LessOrEqual(t, v.falseDrops, nodes/10, "%d nodes", nodes)
	}
}

// Nodes of a large fleet must receive cache updates soon. Otherwise they process prompts on engines of their own
// that another engine has cached.
func TestUpdatesReachLargeFleetWithinOneSecond(t *testing.T) {
	t.Parallel()
	const parts = 200
	for _, nodes := range []int{8, 60, largeFleetSize} {
		v := newVirtualFleet(t, 5, nodes, min(nodes/2, largeFleetCentres))
		v.advance(4 * time.Second)
		sentAt := make(map[uint64]sageclock.Instant)
		sender := make(map[uint64]*virtualNode)
		for part := range uint64(parts) {
			n := v.nodes[v.rnd.IntN(nodes)]
			n.heldUpdates = map[string][]uint64{"e": append(n.heldUpdates["e"], part)}
			sentAt[part], sender[part] = v.now, n
			v.advance(10 * time.Millisecond)
		}
		v.advance(3 * time.Second)
		var ages []time.Duration
		for part, at := range sentAt {
			for _, n := range v.nodes {
				if n == sender[part] {
					continue
				}
				receivedAt, ok := n.firstReceived[part]
				require.True(t, ok, "%d nodes: part %d", nodes, part)
				ages = append(ages, receivedAt.Sub(at))
			}
		}
		slices.Sort(ages)
		sum := time.Duration(0)
		for _, a := range ages {
			sum += a
		}
		t.Logf("%d nodes: mean %v, 99 %% %v, max %v", nodes, sum/time.Duration(len(ages)), ages[len(ages)*99/100], ages[len(ages)-1])
		require.Less(t, sum/time.Duration(len(ages)), 500*time.Millisecond, "%d nodes: mean", nodes)
		require.Less(t, ages[len(ages)*99/100], time.Second, "%d nodes: 99th percentile", nodes)
	}
}
