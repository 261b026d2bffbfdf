package sageconfigd

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
	"sagestand.example/sagestand/pkg/sagewire"
)

// later lets virtual time pass and the service settle.
func later(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := start(t, p, nil, sagesync.IsolatedFence)
		later(time.Second)
		assert.Nil(t, s.State())
		ref := s.Serving(time.Now(), true)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.ReasonNoConfig, ref.Reason)

		accept(t, p, 1, 1)
		later(time.Millisecond)
		assert.Equal(t, uint64(1), s.Revision(), "by the watch, at once")
		assert.Nil(t, s.Serving(time.Now(), false))

		changed := s.Changed()
		acc, err := s.Submit(t.Context(), dcTicket(2, true))
		require.NoError(t, err)
		assert.Equal(t, uint64(2), acc.Revision)
		assert.Equal(t, uint64(2), s.Revision(), "in force here when the operator is answered")
		<-changed
	})
}

// The store is out for a minute. What requests see depends on the rule that the operators chose;
// when the store is back, all are served again.
func TestStoreOutage(t *testing.T) {
	quorum := &members{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time { return now }}
	lost := &members{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return time.Time{} }}
	for _, c := range []struct {
		name              string
		way               sagesync.IsolationPolicy
		m                 Members
		idempotent, other bool
	}{
		{"serve", sagesync.IsolatedServe, nil, true, true},
		{"idempotent only", sagesync.IsolatedIdempotent, nil, true, false},
		{"fence", sagesync.IsolatedFence, nil, false, false},
		{"quorum kept", sagesync.IsolatedQuorum, quorum, true, true},
		{"quorum lost", sagesync.IsolatedQuorum, lost, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				accept(t, p, 1, 1)
				s := start(t, p, c.m, c.way)
				later(time.Minute)
				require.Nil(t, s.Serving(time.Now(), false), "evidence is renewed while nothing changes")
				p.out.Store(true)
				before := p.total()
				later(time.Minute)
				assert.Equal(t, c.idempotent, s.Serving(time.Now(), true) == nil)
				assert.Equal(t, c.other, s.Serving(time.Now(), false) == nil)
				assert.Less(t, p.total()-before, int64(60), "calls against a store that is out are spaced")
				p.out.Store(false)
				later(lastPause + confirmEvery)
				assert.Nil(t, s.Serving(time.Now(), false))
			})
		})
	}
}

// The watch breaks, and far more tickets are accepted and folded than the head's tail holds. A node
// that only applied the tail would lack the others for good.
func TestWatchGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.hang.Store(true)
		accept(t, p, 1, 1)
		s := start(t, p, nil, sagesync.IsolatedServe)
		later(time.Second)
		require.Equal(t, uint64(1), s.Revision())
		accept(t, p, 2, 40)
		later(confirmEvery)
		assert.Equal(t, uint64(40), s.Revision())
		l, err := sageticket.Load(t.Context(), p)
		require.NoError(t, err)
		assert.Equal(t, maps.Collect(l.State.All()), maps.Collect(s.State().All()))
	})
}

// The watch hangs on a broken connection. Without the comparison of versions the node would go on
// with the old configuration until the watch times out.
func TestWatchStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.hang.Store(true)
		accept(t, p, 1, 1)
		s := start(t, p, nil, sagesync.IsolatedServe)
		later(time.Second)
		require.Equal(t, uint64(1), s.Revision())
		accept(t, p, 2, 2)
		later(confirmEvery)
		assert.Equal(t, uint64(2), s.Revision())
	})
}

// The store was restored from an old copy. Confirming it would call the node's newer state the
// newest, though the store no longer holds it.
func TestStoreRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		accept(t, p, 1, 3)
		s := start(t, p, nil, sagesync.IsolatedFence)
		later(time.Second)
		p.hang.Store(true)
		p.back.Store(true)
		later(time.Minute)
		assert.Equal(t, uint64(3), s.Revision())
		assert.NotNil(t, s.Serving(time.Now(), true), "not confirmed")
	})
}

// A node that is not a watcher spares the store, but doesn't starve when no watcher feeds it.
func TestNonWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		accept(t, p, 1, 1)
		live := []string{"vm-0"}
		for i := 0; len(live) < 20; i++ {
			live = append(live, "other-"+string(rune('a'+i)))
		}
		require.False(t, sagesync.IsWatcher("vm-0", live, watchers))
		s := start(t, p, &members{live: live, quorum: func(now time.Time) time.Time { return now }}, sagesync.IsolatedFence)
		later(time.Second)
		assert.Equal(t, uint64(1), s.Revision(), "boots from the store")
		fed := time.Now().Add(time.Minute)
		before := p.total()
		for time.Now().Before(fed) {
			s.replica.Confirm(1, time.Now())
			later(time.Second)
		}
		assert.Equal(t, before, p.total(), "evidence from peers is enough")
		for range 60 {
			later(time.Second)
			assert.Nil(t, s.Serving(time.Now(), false), "asks the store itself")
		}
		assert.LessOrEqual(t, p.total()-before, int64(31))
	})
}

// Under the quorum rule a ticket accepted by a cut-off minority would not reach the nodes that go on
// without evidence from the store.
func TestSubmitNeedsQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := start(t, p, &members{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return time.Time{} }}, sagesync.IsolatedQuorum)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.ErrorIs(t, err, sageticket.ErrNotAccepted)

		met := time.Now()
		m := &members{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return met }}
		lost := start(t, p, m, sagesync.IsolatedQuorum)
		later(time.Minute)
		asked := time.Now()
		_, err = lost.Submit(t.Context(), dcTicket(1, true))
		require.ErrorIs(t, err, sageticket.ErrNotAccepted)
		assert.Equal(t, asked, time.Now(), "at once")
		h, _, err := sageticket.ReadHead(t.Context(), p)
		require.NoError(t, err)
		assert.Zero(t, h.Revision)
	})
}

// Whoever accepts the ticket that makes the tail long folds it, so that the head stays small.
func TestCompactionWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		s := start(t, p, nil, sagesync.IsolatedServe)
		for n := uint64(1); n <= 70; n++ {
			_, err := s.Submit(t.Context(), dcTicket(n, n%2 == 0))
			require.NoError(t, err)
		}
		later(time.Second)
		h, _, err := sageticket.ReadHead(t.Context(), p)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, h.CompactedRevision, uint64(64))
		assert.Less(t, len(h.Tail), 64)
	})
}

// An operator waits for an exit to be in force everywhere: each node must be listed, on the side
// that its newest heartbeat says, also while the store is out.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		m := &members{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time { return now }}
		s := start(t, p, m, sagesync.IsolatedServe)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.NoError(t, err)
		m.set(NodeRevision{Node: "vm-1", Revision: 1}, NodeRevision{Node: "vm-2"})
		later(time.Second)
		begun := time.Now()
		_, err = s.Submit(t.Context(), dcTicket(2, true))
		require.NoError(t, err)
		later(5 * time.Second)
		m.set(NodeRevision{Node: "vm-1", Revision: 2}, NodeRevision{Node: "vm-2", Revision: 1})
		later(time.Second)
		m.set(NodeRevision{Node: "vm-1", Revision: 3}, NodeRevision{Node: "vm-2", Revision: 1})
		later(time.Second)
		p.out.Store(true)

		st, err := s.Status(t.Context(), 2)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), st.Revision)
		require.Len(t, st.InForce, 2)
		assert.Equal(t, []string{"vm-0", "vm-1"}, []string{st.InForce[0].Node, st.InForce[1].Node})
		assert.WithinDuration(t, begun.Add(5*time.Second), st.InForce[1].Since, tick, "not when it moved on to revision 3")
		require.Len(t, st.NotInForce, 1)
		assert.Equal(t, "vm-2", st.NotInForce[0].Node)

		p.out.Store(false)
		_, err = s.Status(t.Context(), 9)
		assert.ErrorIs(t, err, sageticket.ErrTicketNotFound)
		h, err := s.History(t.Context(), 10)
		require.NoError(t, err)
		assert.Equal(t, []uint64{2, 1}, []uint64{h[0].Number, h[1].Number})
	})
}

// A node is replaced by one of the same name that holds nothing yet: what the old one held must not
// count for the new one.
func TestRevisionHistoryAfterRestart(t *testing.T) {
	var tr tracker
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tr.note(now, []NodeRevision{{Node: "a", Revision: 5}})
	tr.note(now.Add(time.Minute), []NodeRevision{{Node: "a", Revision: 0}})
	tr.note(now.Add(2*time.Minute), []NodeRevision{{Node: "a", Revision: 5}})
	assert.Equal(t, now.Add(2*time.Minute), tr.since("a", 5))
	for i := range uint64(2 * maxSteps) {
		tr.note(now.Add(time.Hour), []NodeRevision{{Node: "a", Revision: 6 + i}})
	}
	assert.True(t, tr.since("a", 5).IsZero(), "no longer remembered")
}

// An operator submits the first ticket right after the nodes were started.
func TestSubmitBeforeFirstContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meets := time.Now().Add(3 * time.Second)
		s := start(t, newPlatform(), &members{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time {
			if now.Before(meets) {
				return time.Time{}
			}
			return now
		}}, sagesync.IsolatedQuorum)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.NoError(t, err)
	})
}
