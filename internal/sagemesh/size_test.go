package sagemesh

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// The size of the tests' fleet. Rounds to all are more than a second apart in it.
const (
	manyNodes   = 120
	manyCentres = 6
	// soonGone is the time within which time a dead node has to be out of all answers of the directory: what a small
	// fleet needs and a second for passing it on.
	soonGone = 3 * time.Second
	// inTime is the time within which it has to be in any case, the shortest that a platform gives.
	inTime = 6 * time.Second
)

// Callers of a large fleet are sent to nodes without power for many seconds, since nobody was due to
// hear from these sooner: a fifth of the nodes goes dark, hubs among them.
func TestDeadNodesAreSoonUnknownInALargeFleet(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 1, manyNodes, manyCentres)
	v.play(4 * time.Second)
	v.falsely = 0
	for i, n := range v.nodes {
		n.dark = i%5 == 0
	}
	v.until(soonGone, func() bool { return v.naming() == 0 })
	require.Zero(t, v.falsely, "no living node was dropped")
}

// More than half of a data centre's nodes lose power, its hub and the hub's deputy among them. The third in
// order was never told soon by those that died, and takes them for live until their rounds are long over.
func TestDeadNodesAreSoonUnknownWithoutHubAndDeputy(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 6, manyNodes, manyCentres)
	v.play(4 * time.Second)
	v.falsely = 0
	h := v.nodes[1].hubs()["dc1"]
	left := manyNodes / manyCentres * 2 / 5
	for _, n := range v.nodes {
		if n.DataCentre != "dc1" {
			continue
		}
		left--
		n.dark = h.has(n.Address) || left < 0
	}
	v.until(inTime, func() bool { return v.naming() == 0 })
	require.Zero(t, v.falsely)
}

// A node that starts is ready some seconds later, and gets no callers for as long again: the nodes that
// answer for the directory were told that it is there, and with the next round to all that it serves.
func TestReadinessIsKnownAtOnce(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 7, manyNodes, manyCentres)
	late := v.nodes[17]
	ready := false
	late.Fill = func(h *Heartbeat) { h.Ready = ready }
	v.play(4 * time.Second)
	ready = true
	v.play(500 * time.Millisecond)
	for _, n := range v.nodes {
		for _, m := range n.Live() {
			require.True(t, m.Ready, "%s about %s", n.Name, m.Node)
		}
	}
}

// A data centre loses power, its hub with it. Its callers ask nodes elsewhere, which name only nodes of
// that data centre, all of them dead.
func TestALostDataCentreIsSoonUnknown(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 2, manyNodes, manyCentres)
	v.play(4 * time.Second)
	v.falsely = 0
	for _, n := range v.nodes {
		n.dark = n.DataCentre == "dc1"
	}
	v.until(soonGone, func() bool { return v.naming() == 0 })
	require.Zero(t, v.falsely)
}

// The store refuses every node when the fleet starts, and each knows one seed. Nodes that are never told on
// stay unknown to most others, and callers aren't sent to them.
func TestNodesFindEachOtherWithoutTheStore(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{8, 40} {
		v := newVirtual(t, 10, nodes, 4)
		seed := v.nodes[0].Address
		for _, n := range v.nodes {
			n.peers, n.order = make(map[string]*peer), nil
			require.NoError(t, n.add(seed, true))
		}
		took := v.until(20*time.Second, func() bool {
			return !slices.ContainsFunc(v.nodes, func(n *vnode) bool { return len(n.Live()) < nodes-1 })
		})
		t.Log(nodes, took)
	}
}

// A hub hears nothing any more and is still heard. It calls all its nodes silent, and callers are sent to
// nobody else although all of them serve.
func TestAHubThatHearsNothingIsNotBelieved(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 3, manyNodes, manyCentres)
	v.play(4 * time.Second)
	v.falsely = 0
	deaf := v.byAddr[v.nodes[1].hubs()["dc1"].first]
	v.cut = func(_, to *vnode) bool { return to == deaf }
	v.play(6 * time.Second)
	for _, n := range v.nodes {
		if n == deaf {
			continue
		}
		others := slices.DeleteFunc(n.Live(), func(m Member) bool { return m.Address == deaf.Address })
		require.Len(t, others, manyNodes-2, "%s knows all but itself and the one that is cut", n.Name)
	}
}

// A data centre is cut off from the others for a while. When the cut is over, its nodes get no callers from
// elsewhere and know no others until the next rounds to all, which are seconds apart.
func TestNodesAreKnownAgainSoonAfterACut(t *testing.T) {
	t.Parallel()
	v := newVirtual(t, 8, manyNodes, manyCentres)
	v.play(4 * time.Second)
	whole := v.cut
	v.cut = func(from, to *vnode) bool { return (from.DataCentre == "dc1") != (to.DataCentre == "dc1") }
	v.play(4 * time.Second)
	require.Len(t, v.nodes[1].Live(), manyNodes/manyCentres-1)
	v.cut = whole
	v.until(soonGone, func() bool {
		return !slices.ContainsFunc(v.nodes, func(n *vnode) bool { return len(n.Live()) < manyNodes-1 })
	})
}

// All nodes of a large fleet lose power and start together. Each asks an engine what it holds and tells the
// others; told directly, the lists come at every small link in the same moment, most of them are lost, and for
// seconds a third of the prompts are read again that some engine holds.
func TestListsReachAllNodesAfterARestart(t *testing.T) {
	t.Parallel()
	const (
		parts = 300
		// reached is the share of what the engines listed that every node has to know.
		reached = 0.98
	)
	v := newVirtual(t, 9, manyNodes, manyCentres)
	v.linkQueue = 50 * time.Millisecond
	v.play(500 * time.Millisecond)
	for _, n := range v.nodes {
		list := make([]sagechain.PartHash, parts)
		for i := range list {
			list[i] = sagechain.PartHash(v.rnd.Uint32())
		}
		n.listed = map[string][]sagechain.PartHash{"e" + n.Name: list}
		n.TriggerHeartbeats(true)
	}
	v.play(soonGone)
	for _, n := range v.nodes {
		known := 0
		for _, x := range n.knows {
			known += len(x)
		}
		require.Greater(t, float64(known), reached*parts*(manyNodes-1), n.Name)
	}
}

// Links lose packets, and living nodes vanish from the directory's answers one moment and are back the
// next, which moves callers and the nodes that watch the store to and fro.
func TestLostDatagramsDropNobody(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{8, 60, manyNodes} {
		v := newVirtual(t, 4, nodes, 3)
		v.play(4 * time.Second)
		v.falsely, v.lossy = 0, 0.05
		v.play(6 * time.Second)
		// Two lost in a row after a word or a role that ended, and the answer too.
		require.LessOrEqual(t, v.falsely, nodes/10, "%d nodes", nodes)
	}
}

// An engine is left by one node, and the others of a large fleet read its prompts again on engines of their
// own, because they hear seconds later who holds them now.
func TestNewsReachesALargeFleetWithinASecond(t *testing.T) {
	t.Parallel()
	const facts = 200
	for _, nodes := range []int{8, 60, manyNodes} {
		v := newVirtual(t, 5, nodes, min(nodes/2, manyCentres))
		v.play(4 * time.Second)
		told := make(map[uint64]sageclock.Instant)
		from := make(map[uint64]*vnode)
		for part := range uint64(facts) {
			n := v.nodes[v.rnd.IntN(nodes)]
			n.facts = map[string][]uint64{"e": append(n.facts["e"], part)}
			told[part], from[part] = v.now, n
			v.play(10 * time.Millisecond)
		}
		v.play(3 * time.Second)
		var ages []time.Duration
		for part, at := range told {
			for _, n := range v.nodes {
				if n == from[part] {
					continue
				}
				heard, ok := n.heardOf[part]
				require.True(t, ok, "%d nodes: part %d", nodes, part)
				ages = append(ages, heard.Sub(at))
			}
		}
		slices.Sort(ages)
		sum := time.Duration(0)
		for _, a := range ages {
			sum += a
		}
		t.Logf("%d nodes: mean %v, 99 %% %v, most %v", nodes, sum/time.Duration(len(ages)), ages[len(ages)*99/100], ages[len(ages)-1])
		require.Less(t, sum/time.Duration(len(ages)), 500*time.Millisecond, "%d nodes: in the mean", nodes)
		require.Less(t, ages[len(ages)*99/100], time.Second, "%d nodes: 99 of 100", nodes)
	}
}
