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

// advance lets the virtual time pass and waits until the service is idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		s := startService(t, p, nil, sagesync.IsolatedFence)
		advance(time.Second)
		assert.Nil(t, s.State())
		ref := s.Serving(time.Now(), true)
		require.NotNil(t, ref)
		assert.Equal(t, sagewire.ReasonNoConfig, ref.Reason)

		acceptTickets(t, p, 1, 1)
		advance(time.Millisecond)
		assert.Equal(t, uint64(1), s.Revision(), "by the watch, immediately")
		assert.Nil(t, s.Serving(time.Now(), false))

		changed := s.Changed()
		acc, err := s.Submit(t.Context(), dcTicket(2, true))
		require.NoError(t, err)
		assert.Equal(t, uint64(2), acc.Revision)
		assert.Equal(t, uint64(2), s.Revision(), "in force on this node when Submit returns")
		<-changed
	})
}

// The store is unavailable for a minute. Which requests are served depends on the configured isolation policy; when
// the store is available again, all are served.
func TestStoreOutage(t *testing.T) {
	quorum := &fakeMembers{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time { return now }}
	cutOff := &fakeMembers{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return time.Time{} }}
	for _, c := range []struct {
		name              string
		policy            sagesync.IsolationPolicy
		m                 Members
		idempotent, other bool
	}{
		{"serve", sagesync.IsolatedServe, nil, true, true},
		{"idempotent only", sagesync.IsolatedIdempotent, nil, true, false},
		{"fence", sagesync.IsolatedFence, nil, false, false},
		{"quorum kept", sagesync.IsolatedQuorum, quorum, true, true},
		{"quorum lost", sagesync.IsolatedQuorum, cutOff, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakeStore()
				acceptTickets(t, p, 1, 1)
				s := startService(t, p, c.m, c.policy)
				advance(time.Minute)
				require.Nil(t, s.Serving(time.Now(), false), "evidence is renewed while nothing changes")
				p.unavailable.Store(true)
				before := p.numCalls()
				advance(time.Minute)
				assert.Equal(t, c.idempotent, s.Serving(time.Now(), true) == nil)
				assert.Equal(t, c.other, s.Serving(time.Now(), false) == nil)
				assert.Less(t, p.numCalls()-before, int64(60), "calls to an unavailable store back off")
				p.unavailable.Store(false)
				advance(maxBackoff + confirmInterval)
				assert.Nil(t, s.Serving(time.Now(), false))
			})
		})
	}
}

// While the watch is stalled, more tickets are accepted and compacted than the head's tail holds. A node that only
// applied the tail would never get the others.
func TestWatchGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		p.watchStalls.Store(true)
		acceptTickets(t, p, 1, 1)
		s := startService(t, p, nil, sagesync.IsolatedServe)
		advance(time.Second)
		require.Equal(t, uint64(1), s.Revision())
		acceptTickets(t, p, 2, 40)
		advance(confirmInterval)
		assert.Equal(t, uint64(40), s.Revision())
		l, err := sageticket.Load(t.Context(), p)
		require.NoError(t, err)
		assert.Equal(t, maps.Collect(l.State.All()), maps.Collect(s.State().All()))
	})
}

// The watch is stalled on a broken connection. Without the comparison of versions, the node would keep the old
// configuration until the watch times out.
func TestWatchStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		p.watchStalls.Store(true)
		acceptTickets(t, p, 1, 1)
		s := startService(t, p, nil, sagesync.IsolatedServe)
		advance(time.Second)
		require.Equal(t, uint64(1), s.Revision())
		acceptTickets(t, p, 2, 2)
		advance(confirmInterval)
		assert.Equal(t, uint64(2), s.Revision())
	})
}

// The store was restored from an old copy, so it no longer holds the node's newer configuration. The node must not
// confirm that its configuration is the newest in the store.
func TestStoreRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		acceptTickets(t, p, 1, 3)
		s := startService(t, p, nil, sagesync.IsolatedFence)
		advance(time.Second)
		p.watchStalls.Store(true)
		p.rolledBack.Store(true)
		advance(time.Minute)
		assert.Equal(t, uint64(3), s.Revision())
		assert.NotNil(t, s.Serving(time.Now(), true), "not confirmed")
	})
}

// A node that is not a watcher makes no calls to the store while its peers send evidence. Without evidence from
// peers it must read the store itself.
func TestNonWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		acceptTickets(t, p, 1, 1)
		live := []string{"vm-0"}
		for i := 0; len(live) < 20; i++ {
			live = append(live, "other-"+string(rune('a'+i)))
		}
		require.False(t, sagesync.IsWatcher("vm-0", live, numWatchers))
		s := startService(t, p, &fakeMembers{live: live, quorum: func(now time.Time) time.Time { return now }}, sagesync.IsolatedFence)
		advance(time.Second)
		assert.Equal(t, uint64(1), s.Revision(), "loads the configuration from the store")
		feedUntil := time.Now().Add(time.Minute)
		before := p.numCalls()
		for time.Now().Before(feedUntil) {
			s.replica.Confirm(1, time.Now())
			advance(time.Second)
		}
		assert.Equal(t, before, p.numCalls(), "evidence from peers is enough")
		for range 60 {
			advance(time.Second)
			assert.Nil(t, s.Serving(time.Now(), false), "reads the store itself")
		}
		assert.LessOrEqual(t, p.numCalls()-before, int64(31))
	})
}

// Under the quorum policy, the majority may serve without evidence from the store. A ticket that a cut-off minority
// accepted would not reach it, so a node without a quorum must not accept tickets.
func TestSubmitNeedsQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		s := startService(t, p, &fakeMembers{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return time.Time{} }}, sagesync.IsolatedQuorum)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.ErrorIs(t, err, sageticket.ErrNotAccepted)

		lastQuorum := time.Now()
		m := &fakeMembers{live: []string{"vm-0"}, quorum: func(time.Time) time.Time { return lastQuorum }}
		isolated := startService(t, p, m, sagesync.IsolatedQuorum)
		advance(time.Minute)
		submittedAt := time.Now()
		_, err = isolated.Submit(t.Context(), dcTicket(1, true))
		require.ErrorIs(t, err, sageticket.ErrNotAccepted)
		assert.Equal(t, submittedAt, time.Now(), "refused immediately")
		h, _, err := sageticket.ReadHead(t.Context(), p)
		require.NoError(t, err)
		assert.Zero(t, h.Revision)
	})
}

// The node that accepts a ticket which makes the tail too long compacts it, so that the head stays small.
func TestCompactionWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		s := startService(t, p, nil, sagesync.IsolatedServe)
		for n := uint64(1); n <= 70; n++ {
			_, err := s.Submit(t.Context(), dcTicket(n, n%2 == 0))
			require.NoError(t, err)
		}
		advance(time.Second)
		h, _, err := sageticket.ReadHead(t.Context(), p)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, h.CompactedRevision, uint64(64))
		assert.Less(t, len(h.Tail), 64)
	})
}

// An operator waits until a ticket is in force on all nodes. Each node must be listed as its newest heartbeat says,
// also while the store is unavailable.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeStore()
		m := &fakeMembers{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time { return now }}
		s := startService(t, p, m, sagesync.IsolatedServe)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.NoError(t, err)
		m.setNodes(NodeRevision{Node: "vm-1", Revision: 1}, NodeRevision{Node: "vm-2"})
		advance(time.Second)
		submittedAt := time.Now()
		_, err = s.Submit(t.Context(), dcTicket(2, true))
		require.NoError(t, err)
		advance(5 * time.Second)
		m.setNodes(NodeRevision{Node: "vm-1", Revision: 2}, NodeRevision{Node: "vm-2", Revision: 1})
		advance(time.Second)
		m.setNodes(NodeRevision{Node: "vm-1", Revision: 3}, NodeRevision{Node: "vm-2", Revision: 1})
		advance(time.Second)
		p.unavailable.Store(true)

		st, err := s.Status(t.Context(), 2)
		require.NoError(t, err)
		assert.Equal(t, uint64(2), st.Revision)
		require.Len(t, st.InForce, 2)
		assert.Equal(t, []string{"vm-0", "vm-1"}, []string{st.InForce[0].Node, st.InForce[1].Node})
		assert.WithinDuration(t, submittedAt.Add(5*time.Second), st.InForce[1].Since, pollInterval, "not when it moved on to revision 3")
		require.Len(t, st.NotInForce, 1)
		assert.Equal(t, "vm-2", st.NotInForce[0].Node)

		p.unavailable.Store(false)
		_, err = s.Status(t.Context(), 9)
		assert.ErrorIs(t, err, sageticket.ErrTicketNotFound)
		h, err := s.History(t.Context(), 10)
		require.NoError(t, err)
		assert.Equal(t, []uint64{2, 1}, []uint64{h[0].Number, h[1].Number})
	})
}

// A node is replaced by one of the same name that has no configuration yet. The revisions of the old node must not
// count for the new one.
func TestRevisionHistoryAfterRestart(t *testing.T) {
	var tr tracker
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tr.record(now, []NodeRevision{{Node: "a", Revision: 5}})
	tr.record(now.Add(time.Minute), []NodeRevision{{Node: "a", Revision: 0}})
	tr.record(now.Add(2*time.Minute), []NodeRevision{{Node: "a", Revision: 5}})
	assert.Equal(t, now.Add(2*time.Minute), tr.since("a", 5))
	for i := range uint64(2 * maxObservations) {
		tr.record(now.Add(time.Hour), []NodeRevision{{Node: "a", Revision: 6 + i}})
	}
	assert.True(t, tr.since("a", 5).IsZero(), "no longer recorded")
}

// An operator submits the first ticket right after the nodes were started. Submit must wait for the first contact
// with the other nodes instead of refusing the ticket.
func TestSubmitBeforeFirstContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contactAt := time.Now().Add(3 * time.Second)
		s := startService(t, newFakeStore(), &fakeMembers{live: []string{"vm-0"}, quorum: func(now time.Time) time.Time {
			if now.Before(contactAt) {
				return time.Time{}
			}
			return now
		}}, sagesync.IsolatedQuorum)
		_, err := s.Submit(t.Context(), dcTicket(1, true))
		require.NoError(t, err)
	})
}
