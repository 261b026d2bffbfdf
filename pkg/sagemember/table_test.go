package sagemember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagemeasure"
	"sagestand.example/sagestand/internal/sagerpc/member"
	"sagestand.example/sagestand/pkg/sagemember"
)

// newFleet returns a fleet of n nodes in dcs data centres whose views have converged.
func newFleet(t *testing.T, n, dcs int) *sagemeasure.MemberFleet {
	t.Helper()
	f := sagemeasure.NewMemberFleet(1)
	require.NoError(t, f.AddNodes(n, dcs, sagemember.DefaultLimits()))
	f.RunUntil(60, f.Converged)
	require.True(t, f.Converged())
	return f
}

func runRounds(f *sagemeasure.MemberFleet, n int) {
	for range n {
		f.RunRound()
	}
}

// findNode returns an incarnation as n's table has it.
func findNode(n *sagemeasure.MemberNode, id uint64) (sagemember.Node, bool) { return n.Table.Node(id) }

func TestJoinLeaveAndDeathReachEveryNode(t *testing.T) {
	f := newFleet(t, 8, 4)
	joiner, err := f.StartNode("10.0.1.1:7000", "dc1", sagemember.DefaultLimits())
	require.NoError(t, err)
	f.RunUntil(40, f.Converged)
	require.True(t, f.Converged(), "a node that starts later is known to all")

	joiner.Table.Report(41, 7)
	joiner.Table.AdvancePhase(sagemember.Leaving)
	id := joiner.Table.LocalNode().Incarnation
	runRounds(f, 20)
	for _, n := range f.Running() {
		if n == joiner {
			continue
		}
		x, ok := findNode(n, id)
		require.True(t, ok)
		require.Equal(t, sagemember.Leaving, x.Phase)
		require.Equal(t, sagemember.Alive, x.State, "a leaving node still serves")
		require.Equal(t, []uint64{41, 7}, []uint64{x.Revision, uint64(x.Load)})
	}
	joiner.Table.AdvancePhase(sagemember.Serving)
	require.Equal(t, sagemember.Leaving, joiner.Table.LocalNode().Phase, "a phase never moves back")

	joiner.Stopped = true
	f.RunUntil(60, f.Converged)
	require.True(t, f.Converged(), "a dead node is removed from every view")
}

// Guards against the eviction of a healthy VM by a node that can't reach it, while it serves all
// others: one link between two nodes is down, in both directions or in one.
func TestBadLinkEvictsNoNode(t *testing.T) {
	for _, bothWays := range []bool{true, false} {
		t.Run(fmt.Sprint(bothWays), func(t *testing.T) {
			f := newFleet(t, 8, 4)
			a, b := f.Nodes[0], f.Nodes[4] // the two nodes of dc0
			f.LinkDown = func(from, to *sagemeasure.MemberNode) bool {
				return from == a && to == b || bothWays && from == b && to == a
			}
			runRounds(f, 300)
			require.Zero(t, f.Evictions())
		})
	}
}

// Guards against evictions of healthy nodes under message loss, which would move chats each time: a
// node without contact must not be declared dead before other nodes were asked about it.
func TestIndirectChecksReduceEvictionsUnderLoss(t *testing.T) {
	evictions := func(checks int) int64 {
		f := newFleet(t, 24, 4)
		f.LossRate = 0.45
		for _, n := range f.Nodes {
			n.Table.Limits.IndirectChecks = checks
			n.Table.Limits.SuspectAfter = 3 * time.Second
			n.Table.Limits.DeadAfter = 6 * time.Second
		}
		runRounds(f, 200)
		return f.Evictions()
	}
	with, without := evictions(3), evictions(0)
	t.Logf("evictions with indirect checks: %d, without: %d", with, without)
	require.Less(t, 3*with, without)
}

// Guards against a node that loses its network and considers all others dead: it would name only itself
// to the clients that still reach it.
func TestIsolatedNodeDelaysEvictions(t *testing.T) {
	f := newFleet(t, 8, 4)
	isolated := f.Nodes[3]
	f.LinkDown = func(from, to *sagemeasure.MemberNode) bool { return from == isolated || to == isolated }
	runRounds(f, 60)
	require.Zero(t, isolated.Table.Evictions())
	require.Len(t, isolated.Table.Live(), 8)
	for _, n := range f.Running() {
		if n != isolated {
			require.Len(t, n.Table.Live(), 7, "the other nodes checked with each other and evicted it")
		}
	}
	f.LinkDown = nil
	f.RunUntil(60, f.Converged)
	require.True(t, f.Converged(), "the isolated node rejoins")
}

// Guards against confusing a VM with its replacement at the same address. If the two counted as one
// node, or late heartbeats of the old VM counted, clients would be sent to the old VM, or the new one
// would be evicted with it.
func TestReplacementAtSameAddress(t *testing.T) {
	f := newFleet(t, 8, 4)
	old := f.Nodes[4]
	oldID := old.Table.LocalNode().Incarnation
	lateDigest := old.Engine.Digests()[0].Data
	replacement, err := f.StartNode(old.Table.LocalNode().Address, "dc0", sagemember.DefaultLimits())
	require.NoError(t, err)
	replacementID := replacement.Table.LocalNode().Incarnation
	require.NotEqual(t, oldID, replacementID)
	elapsed := f.RunUntil(60, f.Converged)
	require.Less(t, elapsed, 12, "the old incarnation is gone by direct evidence, before its time-out")

	d := new(member.Digest)
	require.NoError(t, proto.Unmarshal(lateDigest, d))
	for i := range 30 { // late heartbeats of the old incarnation, each higher than the last
		d.Counters[0] += 5
		b, err := proto.Marshal(d)
		require.NoError(t, err)
		f.Nodes[i%3].Table.Delta(b, 1000)
		f.RunRound()
		require.True(t, f.Converged())
		x, ok := findNode(f.Nodes[i%3], oldID)
		require.True(t, ok)
		require.Equal(t, sagemember.Gone, x.Phase)
		require.Less(t, x.Counter, d.Counters[0], "heartbeats of a gone incarnation are ignored")
	}
}

// Guards against one late message reviving a dead node: its last heartbeats arrive from a node that was
// paused, and clients would be sent to the dead node again.
func TestLateHeartbeatDoesNotReviveDeadNode(t *testing.T) {
	f := newFleet(t, 8, 4)
	dead, paused := f.Nodes[4], f.Nodes[0]
	id := dead.Table.LocalNode().Incarnation
	runRounds(f, 3)
	lateDigest := dead.Engine.Digests()[0].Data
	dead.Stopped = true
	f.RunUntil(60, f.Converged)
	require.True(t, f.Converged())
	d := new(member.Digest)
	require.NoError(t, proto.Unmarshal(lateDigest, d))
	d.Counters[0] += 2
	b, err := proto.Marshal(d)
	require.NoError(t, err)
	paused.Table.Delta(b, 1000)
	x, ok := findNode(paused, id)
	require.True(t, ok)
	require.Equal(t, sagemember.Dead, x.State)
	runRounds(f, 20)
	require.True(t, f.Converged())
}

// Guards against a process that is stopped for a minute, continues, and doesn't notice the gap: it
// would answer clients from its old view, consider all nodes dead, and be evicted permanently itself.
func TestPausedNodeResetsItsView(t *testing.T) {
	f := newFleet(t, 8, 4)
	paused := f.Nodes[0]
	paused.Paused = true
	f.Nodes[5].Stopped = true
	runRounds(f, 60)
	for _, n := range f.Running() {
		require.Len(t, n.Table.Live(), 6)
	}
	paused.Paused = false
	require.False(t, paused.Table.Fresh(), "the pause is detected on the first read")
	require.Len(t, paused.Table.Live(), 1)
	f.RunUntil(40, f.Converged)
	require.True(t, f.Converged())
	require.True(t, paused.Table.Fresh())
	require.Zero(t, paused.Table.Evictions())
	require.EqualValues(t, 1, paused.Table.Pauses())
}

// Guards against a VM that comes and goes every 15 seconds: without damping, chats would move to it and
// away again each time.
func TestFlappingNodeIsDamped(t *testing.T) {
	f := newFleet(t, 4, 1)
	flapping, observer := f.Nodes[3], f.Nodes[0]
	id := flapping.Table.LocalNode().Incarnation
	returnRounds := make([]int, 0, 4)
	for range 4 {
		flapping.Paused = true
		runRounds(f, 25)
		flapping.Paused = false
		returnRounds = append(returnRounds, f.RunUntil(100, func() bool {
			x, ok := findNode(observer, id)
			return ok && x.State == sagemember.Alive
		}))
	}
	require.Greater(t, returnRounds[3], returnRounds[0]+5, "rounds until alive again: %v", returnRounds)
}

// Guards against invalid reports from a peer, such as a heartbeat far ahead or a record that says a
// serving node is gone: if they were merged without bounds, that node would be removed from every view.
func TestInvalidReportsDoNotEvictNode(t *testing.T) {
	f := newFleet(t, 8, 4)
	a, victim := f.Nodes[0], f.Nodes[4]
	before := victim.Table.LocalNode()
	d := new(member.Digest)
	require.NoError(t, proto.Unmarshal(victim.Engine.Digests()[0].Data, d))
	d.Counters[0] = 1 << 63
	b, err := proto.Marshal(d)
	require.NoError(t, err)
	a.Table.Delta(b, 1000)
	d.Counters[0] = before.Counter + 10_000
	b, err = proto.Marshal(d)
	require.NoError(t, err)
	a.Table.Delta(b, 1000)
	runRounds(f, 60)
	require.True(t, f.Converged(), "the victim's heartbeats exceed the wrong one")
	require.Equal(t, before.Incarnation, victim.Table.LocalNode().Incarnation)
	require.Zero(t, f.Evictions())

	a.Table.Delta([]byte{0xff, 1, 2}, 1000)
	require.ErrorIs(t, a.Table.Merge([]byte{0xff, 1, 2}), sagemember.ErrBadDelta)
	rec := &member.Record{Incarnation: before.Incarnation, Address: before.Address, DataCentre: "dc0", Phase: uint32(sagemember.Gone)}
	bad := &member.Record{Incarnation: 5, Address: "nonsense", DataCentre: "dc0"}
	b, err = proto.Marshal(&member.Delta{Records: []*member.Record{bad, rec}})
	require.NoError(t, err)
	require.ErrorIs(t, a.Table.Merge(b), sagemember.ErrBadNode)
	f.RunUntil(60, f.Converged)
	require.True(t, f.Converged(), "the victim continues as another incarnation")
	require.NotEqual(t, before.Incarnation, victim.Table.LocalNode().Incarnation)
}

// The membership digest must stay within its share of a node's 19 KB/s at 400 nodes.
func TestDigestSizeAt400Nodes(t *testing.T) {
	table := &sagemember.Table{Self: sagemember.Node{Address: "10.1.1.1:7", DataCentre: "dc0"}, Limits: sagemember.DefaultLimits()}
	require.NoError(t, table.Start())
	d := new(member.Delta)
	for i := range 400 {
		d.Records = append(d.Records, &member.Record{
			Incarnation: uint64(i+1) << 7, Address: fmt.Sprintf("10.0.%d.%d:7", i/200, i%200),
			DataCentre: fmt.Sprintf("dc%d", i%9), Counter: 600_000,
		})
	}
	b, err := proto.Marshal(d)
	require.NoError(t, err)
	require.NoError(t, table.Merge(b))
	require.Less(t, len(table.Digest()), 1600)
	require.Less(t, len(table.Delta(nil, 1<<20)), 2048+64, "the answer to an unreadable digest is bounded")
}

// BenchmarkNodeSecond measures what one node spends per second in steady state: a tick, the choice of a
// peer, the exchange that it starts and, on average, one that it answers.
func BenchmarkNodeSecond(b *testing.B) {
	for _, n := range []int{8, 50, 150, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := sagemeasure.NewMemberFleet(1)
			if err := f.AddNodes(n, 9, sagemember.DefaultLimits()); err != nil {
				b.Fatal(err)
			}
			f.RunUntil(40, f.Converged)
			b.ResetTimer()
			for range b.N {
				f.RunRound()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/node-second")
		})
	}
}

func ExampleTable() {
	a := &sagemember.Table{Self: sagemember.Node{Address: "10.0.0.1:7000", DataCentre: "derby"}, Limits: sagemember.DefaultLimits()}
	b := &sagemember.Table{Self: sagemember.Node{Address: "10.0.0.2:7000", DataCentre: "derby"}, Limits: sagemember.DefaultLimits()}
	fmt.Println(a.Start(), b.Start())
	fmt.Println(b.Merge(a.Delta(b.Digest(), 4096)))
	a.Tick()
	b.Delta(a.Digest(), 4096)
	for _, n := range b.Live() {
		fmt.Println(n.Address, n.State)
	}
	// Output:
	// <nil> <nil>
	// <nil>
	// 10.0.0.1:7000 alive
	// 10.0.0.2:7000 alive
}
