package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagereach"
)

// losePath has the path to the service s of a fleet lost.
func losePath(t *testing.T, f *fleet) {
	t.Helper()
	for _, id := range []string{"u0", "u1"} {
		f.RecordUnanswered(f.view.upstreams.Load().Get(id))
	}
	now := sageclock.Now()
	for range 3 {
		for _, id := range f.reach.StartRound(now, "s", []string{"u0", "u1", "u2"}) {
			f.reach.RecordProbe(now, "s", id, sagereach.ProbeRefused)
		}
		now = now.Add(time.Second)
	}
	require.Equal(t, sagereach.Lost, f.PathState("s"))
}

// Prevents the loss of a node's own path from ejecting upstreams, here or at other nodes.
func TestLostPathIsNoEvidenceAgainstUpstreams(t *testing.T) {
	f := newFleet(t, 3, 0)
	u0 := f.view.upstreams.Load().Get("u0")
	before := sageclock.Now()
	f.RecordExchange(u0, sagehealth.Broken)
	f.RecordUnanswered(u0)
	broken, unanswered := f.reportableBroken(sageclock.Now())
	require.Equal(t, []string{"u0"}, broken, "a single broken upstream is reported")
	require.Empty(t, unanswered)
	committed := false
	f.WhenPathVerified(u0, false, func() { committed = true })

	losePath(t, f)
	broken, unanswered = f.reportableBroken(sageclock.Now())
	require.Empty(t, broken)
	require.Equal(t, []string{"u0"}, unanswered)
	f.health.Forgive("s", before)
	require.False(t, f.health.Avoid(sageclock.Now(), "s", "u0"))
	f.RecordExchange(u0, sagehealth.Broken)
	require.False(t, f.health.Avoid(sageclock.Now(), "s", "u0"), "nothing is recorded while the path is lost")
	f.settleEvidence(sageclock.Now().Add(evidenceDelay))
	require.False(t, committed)
	require.Empty(t, f.evidence.pending)

	f.WhenPathVerified(u0, true, func() { committed = true })
	f.settleEvidence(sageclock.Now().Add(evidenceDelay))
	require.Len(t, f.evidence.pending, 1, "a refused connection waits for the store")
	f.view.registry.Delete(sageclock.Now(), "u0")
	f.view.publish()
	f.settleEvidence(sageclock.Now().Add(evidenceDelay))
	require.True(t, committed, "the upstream is gone, so it has crashed")
}

// Prevents evidence against an upstream from being lost when this node's path is sound, and from counting when the
// upstream answers other nodes.
func TestEvidenceCountsOncePathIsVerified(t *testing.T) {
	for _, tt := range []struct {
		name      string
		refused   bool
		answer    string // upstream that answers afterwards
		answersTo string // node that u0 answers
		after     time.Duration
		pending   bool
		committed bool
	}{
		{"nothing else is known yet", false, "", "", evidenceDelay - time.Millisecond, true, false},
		{"no loss within the delay", false, "", "", evidenceDelay, false, true},
		{"the connection was refused", true, "", "", minEvidenceDelay, false, true},
		{"another upstream answered", false, "u1", "", minEvidenceDelay, false, true},
		{"other nodes had no time to contradict", false, "u1", "", minEvidenceDelay - time.Millisecond, true, false},
		{"the upstream itself answered", false, "u0", "", minEvidenceDelay, true, false},
		{"the upstream answers another node", false, "u1", "vm2", minEvidenceDelay, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			committed := false
			f.WhenPathVerified(f.view.upstreams.Load().Get("u0"), tt.refused, func() { committed = true })
			now := f.evidence.pending[0].at
			if tt.answer != "" {
				f.reach.RecordAnswer(now.Add(time.Millisecond), "s", tt.answer, true)
			}
			if tt.answersTo != "" {
				f.answeredNodes.UpdateNode(now.Add(tt.after), tt.answersTo, "north", sageflight.Counts{"u0": 1})
			}
			f.settleEvidence(now.Add(tt.after))
			require.Equal(t, tt.committed, committed)
			require.Equal(t, tt.pending, len(f.evidence.pending) == 1)
		})
	}
}

// Prevents the loss of a crash whose upstream had just been reported as broken and had answered other nodes before it crashed.
func TestRefusedConnectionCountsOnceContradictionEnds(t *testing.T) {
	for _, tt := range []struct {
		name      string
		answers   bool // u0 goes on answering another node
		gone      bool // the store shows that u0 is gone
		after     time.Duration
		committed bool
		pending   bool
	}{
		{"contradicted", true, false, minEvidenceDelay, false, true},
		{"no longer contradicted", false, false, 1500 * time.Millisecond, true, false},
		{"gone", true, true, minEvidenceDelay, true, false},
		{"contradicted for long", true, false, maxEvidenceDelay, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			committed := false
			f.WhenPathVerified(f.view.upstreams.Load().Get("u0"), true, func() { committed = true })
			at := f.evidence.pending[0].at
			f.answeredNodes.UpdateNode(at.Add(minEvidenceDelay), "vm2", "north", sageflight.Counts{"u0": 1})
			f.settleEvidence(at.Add(minEvidenceDelay))
			require.False(t, committed)
			counts := sageflight.Counts{}
			if tt.answers {
				counts["u0"] = 1
			}
			if tt.gone {
				f.view.registry.Delete(at, "u0")
				f.view.publish()
			}
			f.answeredNodes.UpdateNode(at.Add(tt.after), "vm2", "north", counts)
			f.settleEvidence(at.Add(tt.after))
			require.Equal(t, tt.committed, committed)
			require.Equal(t, tt.pending, len(f.evidence.pending) == 1)
		})
	}
}

// Prevents reports of nodes that lost their path from ejecting an upstream that answers others.
func TestContradictedReportsDoNotEject(t *testing.T) {
	f := newFleet(t, 2, 0)
	now := sageclock.Now()
	for _, n := range []string{"vm2", "vm3"} {
		f.brokenNodes.UpdateNode(now, n, "north", sageflight.Counts{"u0": 1, "u1": 1})
	}
	f.answeredNodes.UpdateNode(now, "vm4", "north", sageflight.Counts{"u0": 1})
	f.applyPeerReports(now)
	require.False(t, f.health.Avoid(now, "s", "u0"))
	require.True(t, f.health.Avoid(now, "s", "u1"))
}

// Prevents callers from being directed to nodes without a path while others have one.
func TestDirectoryPrefersNodesWithPath(t *testing.T) {
	nodes := func(with, without int) []sagemesh.Member {
		cut := members("south", without, 10)
		for i := range cut {
			cut[i].Unreachable = []string{"s"}
		}
		return append(members("north", with, 10), cut...)
	}
	for _, tt := range []struct{ with, without, want int }{{9, 0, 9}, {3, 6, 3}, {1, 7, 1}, {1, 8, 9}, {0, 9, 9}} {
		require.Len(t, preferPaths(nodes(tt.with, tt.without)), tt.want, "%+v", tt)
	}
}

// Prevents all nodes from finding their paths lost when a service is overloaded.
func TestUpstreamIsFullByTheCountsOfAllNodes(t *testing.T) {
	f := newFleet(t, 2, 0)
	now := sageclock.Now()
	u0 := f.view.upstreams.Load().Get("u0")
	end := f.inFlight.Start("u0")
	f.inFlight.UpdateNode(now, "vm2", "north", sageflight.Counts{"u0": assumedSlots - 2})
	require.False(t, f.isFull(now, u0))
	f.inFlight.UpdateNode(now, "vm2", "north", sageflight.Counts{"u0": assumedSlots - 1})
	require.True(t, f.isFull(now, u0))
	end()
	require.False(t, f.isFull(now, u0))
}

func TestHelperCandidates(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.dataCentre = "north"
	peers := members("north", 5, 10)
	peers[4].Region = "elsewhere"
	for i := range peers {
		peers[i].Node, peers[i].Ready = peers[i].Entry, i != 0
	}
	peers[1].Leaving, peers[2].Unreachable = true, []string{"s"}
	f.livePeers = func() []sagemesh.Member { return peers }
	got := f.helperCandidates(sageclock.Now(), "s")
	require.Equal(t, []sagereach.Candidate{{Node: peers[3].Entry, Local: true}}, got)
	require.Len(t, f.helperCandidates(sageclock.Now(), "other"), 2)
	h := f.PickHelper("s", nil)
	require.Equal(t, peers[3].Entry, h.Node)
	h.Done(true)
	require.Nil(t, f.PickHelper("s", nil), "it refused")
}

func TestIsSaturated(t *testing.T) {
	buckets := []float64{0, 0.001, saturatedDelay, 1}
	for _, tt := range []struct {
		counts, last []uint64
		want         bool
	}{
		{[]uint64{0, 0, 9}, nil, false},
		{[]uint64{90, 0, 10}, []uint64{0, 0, 0}, false},
		{[]uint64{80, 0, 20}, []uint64{0, 0, 0}, true},
		{[]uint64{180, 0, 20}, []uint64{80, 0, 20}, false},
		{[]uint64{80, 0, 20}, []uint64{80, 0, 20}, false},
	} {
		require.Equal(t, tt.want, isSaturated(buckets, tt.counts, tt.last), "%v after %v", tt.counts, tt.last)
	}
}
