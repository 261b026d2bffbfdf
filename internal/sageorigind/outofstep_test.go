package sageorigind

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// joined returns how many streams that began at v2 a node would continue at v1.
func (n *testNode) joined(t *testing.T, count int) int {
	t.Helper()
	out := 0
	for i := range count {
		if f := n.Find(t.Context(), "r", key(i)); f.Status != sageorigin.Unknown && f.Origin == v1 {
			out++
		}
	}
	return out
}

// Prevents a node that is out of step from continuing streams of a version that joined meanwhile at the one that it knows.
func TestNodeOutOfStepJoinsNoStreams(t *testing.T) {
	const streams = 20
	for _, tt := range []struct {
		name   string
		change func(f *testFleet, n *testNode)
	}{
		{"it receives from no other node, and the store doesn't answer", func(f *testFleet, n *testNode) { f.cutOff(n) }},
		{"it receives from no other node, and the store answers", func(f *testFleet, n *testNode) {
			f.cutOff(n)
			n.Refresh = func(context.Context) error {
				n.setVersions("v1", "v2")
				n.stale = false
				return nil
			}
		}},
		{"it receives from the others, and none receives from it", func(_ *testFleet, n *testNode) {
			n.Send = func(string, []byte) error { return nil }
		}},
		{"another one is out of step as well, the rest is cut off", func(f *testFleet, _ *testNode) {
			f.nodes[1].stale = true
			f.nodes[1].setVersions("v1")
			for _, o := range f.nodes[2:] {
				o.down.Store(true)
			}
		}},
		{"the others have started again", func(f *testFleet, _ *testNode) { f.restart(1, 2, 3, 4, 5) }},
		{"it started meanwhile, and receives only from one that is out of step", func(f *testFleet, n *testNode) {
			n.history = sageorigin.History{}
			n.history.SetRoutes(virtualNow(), map[string][]string{"r": {"chat"}})
			n.setVersions("v1")
			f.nodes[1].stale = true
			for _, o := range f.nodes[2:] {
				o.down.Store(true)
			}
		}},
		{"it started meanwhile, and receives from no other node", func(f *testFleet, n *testNode) {
			f.cutOff(n)
			n.history = sageorigin.History{}
			n.history.SetRoutes(virtualNow(), map[string][]string{"r": {"chat"}})
			n.setVersions("v1")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(6, "v1")
				n := f.nodes[0]
				n.stale = true
				for _, o := range f.nodes[1:] {
					o.setVersions("v1", "v2")
				}
				n.claims = map[string]sageorigin.Claim{"chat": {Service: "chat", Admitted: map[string]uint64{"v1": 1, "v2": 2}}}
				tt.change(f, n)
				require.Zero(t, n.joined(t, streams))
			})
		})
	}
}

// cutOff has a node know no other one.
func (f *testFleet) cutOff(n *testNode) {
	n.Nodes = func() []sageorigin.Holder { return []sageorigin.Holder{{Address: n.Self}} }
	n.Send = func(string, []byte) error { return nil }
}

// Prevents a look-up in an old copy from counting because the copy became fresh after it.
func TestCopyIsFreshBeforeItIsLookedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, "v1")
		catchUp := func(n *testNode) {
			n.ProvenAt = func() sageclock.Instant {
				n.setVersions("v1", "v2")
				return virtualNow()
			}
		}
		catchUp(f.nodes[0])
		require.Zero(t, f.nodes[0].joined(t, 1))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, "v1")
		f.nodes[0].stale = true
		f.nodes[1].ProvenAt = func() sageclock.Instant {
			f.nodes[1].setVersions("v1", "v2")
			return virtualNow()
		}
		require.Zero(t, f.nodes[0].joined(t, 1), "the other node vouched from before it caught up")
	})
}

// Prevents streams of a version that came and left while a node was out of step from going on there at the other one.
func TestVersionThatNodeMissedIsAskedFor(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(f *testFleet, n *testNode)
		want   sageorigin.Status
	}{
		{"the others saw it", func(*testFleet, *testNode) {}, sageorigin.Unknown},
		{"the others have started again, and the store has admitted it", func(f *testFleet, n *testNode) {
			f.restart(1, 2, 3, 4, 5)
			n.claims["chat"] = sageorigin.Claim{Service: "chat", Admitted: map[string]uint64{"v1": 1, "v2": 2}}
		}, sageorigin.Unknown},
		{"there was none, and the others have started again", func(f *testFleet, _ *testNode) { f.restart(1, 2, 3, 4, 5) }, sageorigin.Sole},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(6, "v1")
				for _, o := range f.nodes[1:] {
					o.setVersions("v1", "v2")
					o.setVersions("v1")
				}
				n := f.nodes[0]
				tt.change(f, n)
				n.history.RecordGap(virtualNow())
				require.Equal(t, tt.want, n.Find(t.Context(), "r", key(1)).Status)
			})
		})
	}
}

// Prevents callers from giving up while the store answers no node for a moment.
func TestReturnMayFollowOnceCopyIsFresh(t *testing.T) {
	for _, nodes := range []int{1, 6} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(nodes, "v1")
				for _, n := range f.nodes {
					n.stale = true
				}
				got := f.nodes[0].Find(t.Context(), "r", key(1))
				require.Equal(t, sageorigin.Finding{MayFollow: true, Asked: min(5, nodes-1), Answered: min(5, nodes-1)}, got)
				f.nodes[0].stale = false
				require.Equal(t, sageorigin.Sole, f.nodes[0].Find(t.Context(), "r", key(1)).Status)
				f.setVersions("v1", "v2")
				f.nodes[0].stale = true
				require.False(t, f.nodes[0].Find(t.Context(), "r", key(1)).MayFollow, "a fresh copy gives the same answer")
			})
		})
	}
}

// Prevents a node without others from refusing its callers whenever its copy wasn't read from the store just before.
func TestNodeAloneReadsTheStoreForReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, "v1")
		n := f.nodes[0]
		n.stale = true
		reads := 0
		n.Refresh = func(context.Context) error {
			reads++
			n.stale = false
			return nil
		}
		for i := range 20 {
			require.Equal(t, sageorigin.Finding{Status: sageorigin.Sole, Origin: v1}, n.Find(t.Context(), "r", key(i)))
		}
		require.Equal(t, 1, reads)
		n.Refresh = func(context.Context) error {
			reads++
			return context.DeadlineExceeded
		}
		n.stale = true
		time.Sleep(claimsInterval)
		for i := range 20 {
			require.Equal(t, sageorigin.Unknown, n.Find(t.Context(), "r", key(i)).Status)
		}
		require.Equal(t, 2, reads, "a store that doesn't answer isn't called for each caller")
	})
}
