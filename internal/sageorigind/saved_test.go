package sageorigind

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// savedStore is a store with saved records.
type savedStore struct {
	mu    sync.Mutex
	saved Saved
	delay time.Duration
	err   error
	reads int
}

func (s *savedStore) read(ctx context.Context, maxBytes int) (Saved, error) {
	s.mu.Lock()
	s.reads++
	out, delay, err := s.saved, s.delay, s.err
	s.mu.Unlock()
	if out.Bytes > maxBytes {
		err = errors.New("too many bytes")
	}
	select {
	case <-time.After(delay):
		return out, err
	case <-ctx.Done():
		return Saved{}, ctx.Err()
	}
}

func (s *savedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// takeReads returns the number of reads since the last call.
func (s *savedStore) takeReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.reads
	s.reads = 0
	return n
}

// savedStreams returns the records of the first streams.
func savedStreams(count int, o sageorigin.Origin) []sageorigin.Record {
	out := make([]sageorigin.Record, count)
	for i := range out {
		out[i] = sageorigin.Record{Key: key(i), Origin: o, Until: virtualNow().Add(10 * time.Second)}
	}
	return out
}

// newSurvivor returns the node that is left of a fleet of nine. Its callers return before it detects the loss.
func newSurvivor(streams int) (*testNode, *savedStore) {
	f := newTestFleet(9, "v1", "v2")
	n := f.nodes[8]
	for _, o := range f.nodes[:8] {
		o.down.Store(true)
	}
	store := &savedStore{saved: Saved{Records: savedStreams(streams, v2)}, delay: 5 * time.Millisecond}
	n.ReadSaved, n.FleetSize, n.LostAt = store.read, func() int { return len(f.nodes) }, func() sageclock.Instant { return 0 }
	return n, store
}

// findAll has the callers of the first streams return at once.
func (n *testNode) findAll(ctx context.Context, count int) []sageorigin.Finding {
	out := make([]sageorigin.Finding, count)
	var callers sync.WaitGroup
	for i := range out {
		callers.Go(func() { out[i] = n.Find(ctx, "r", key(i)) })
	}
	callers.Wait()
	return out
}

// Prevents callers that return before the loss of their streams' holders is detected from being refused though the store has the records.
func TestReturnBeforeLossIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 100
		n, store := newSurvivor(streams)
		start := time.Now()
		for _, f := range n.findAll(t.Context(), streams) {
			require.Equal(t, sageorigin.Found, f.Status)
			require.Equal(t, v2, f.Origin)
		}
		require.Equal(t, answerTimeout+store.delay, time.Since(start))
		require.Equal(t, 1, store.takeReads(), "one read for all that wait")
		require.Equal(t, streams, n.findSince(t, streams))
		require.Zero(t, store.takeReads())
	})
}

// Prevents a caller from being refused because a read for another one ended while the nodes were asked.
func TestReadEndsDuringSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 50
		n, store := newSurvivor(streams)
		out := make([]sageorigin.Status, streams)
		var callers sync.WaitGroup
		for i := range out {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				out[i] = n.Find(t.Context(), "r", key(i)).Status
			})
		}
		callers.Wait()
		for _, status := range out {
			require.Equal(t, sageorigin.Found, status)
		}
		require.Equal(t, 1, store.takeReads())
	})
}

// findSince returns how many streams are found without a search.
func (n *testNode) findSince(t *testing.T, count int) int {
	t.Helper()
	start, out := time.Now(), 0
	for _, f := range n.findAll(t.Context(), count) {
		if f.Status == sageorigin.Found {
			out++
		}
	}
	require.Zero(t, time.Since(start))
	return out
}

// Prevents callers from waiting for a record that won't be known, from giving up on one that will, and from being held by a slow store.
func TestRefusalAfterLossSaysWhetherToReturn(t *testing.T) {
	recovering := func(n *testNode, _ *savedStore) {
		at := virtualNow().Add(time.Second)
		n.RecoversUntil = func() sageclock.Instant { return at }
	}
	for _, tt := range []struct {
		name      string
		change    func(n *testNode, s *savedStore)
		timeout   time.Duration // of the caller
		mayFollow bool
		followsIn time.Duration
		took      time.Duration
	}{
		{"the store lacks the record", func(*testNode, *savedStore) {}, time.Minute, false, 0, answerTimeout + 5*time.Millisecond},
		{"the store lacks it, and a recovery is due", recovering, time.Minute, true, 0, answerTimeout + 5*time.Millisecond},
		{"the version isn't known", func(_ *testNode, s *savedStore) {
			s.saved.Records = savedStreams(10, sageorigin.Origin{Service: "chat"})
		}, time.Minute, false, 0, answerTimeout + 5*time.Millisecond},
		{"the store refuses this node", func(_ *testNode, s *savedStore) { s.err = errors.New("refused") }, time.Minute, true, savedInterval + time.Millisecond, answerTimeout + 5*time.Millisecond},
		{"the store doesn't answer", func(_ *testNode, s *savedStore) { s.delay = time.Hour }, time.Minute, true, savedInterval + time.Millisecond, answerTimeout + savedReadTimeout},
		{"the store is slow", func(_ *testNode, s *savedStore) { s.delay = savedTimeout / 2 }, time.Minute, false, 0, answerTimeout + savedTimeout/2},
		{"the caller leaves before", func(_ *testNode, s *savedStore) { s.delay = time.Hour }, answerTimeout / 2, true, 0, answerTimeout / 2},
		{"the caller leaves meanwhile", func(_ *testNode, s *savedStore) { s.delay = time.Hour }, answerTimeout + savedTimeout/2, true, 0, answerTimeout + savedTimeout/2},
		{"the store has too much", func(n *testNode, s *savedStore) {
			n.FleetSize = func() int { return 400 }
			s.saved.Bytes = 2 << 20
		}, time.Minute, true, 50*time.Second + time.Millisecond, answerTimeout + 5*time.Millisecond},
		{"the store has too much, and a recovery is due", func(n *testNode, s *savedStore) {
			recovering(n, s)
			n.FleetSize = func() int { return 400 }
			s.saved.Bytes = 2 << 20
		}, time.Minute, true, 0, answerTimeout + 5*time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, store := newSurvivor(0)
				tt.change(n, store)
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				start := time.Now()
				for _, f := range n.findAll(ctx, 5) {
					require.Equal(t, sageorigin.Unknown, f.Status)
					require.Equal(t, [2]any{tt.mayFollow, tt.followsIn}, [2]any{f.MayFollow, f.FollowsIn})
				}
				require.Equal(t, tt.took, time.Since(start))
				require.LessOrEqual(t, store.takeReads(), 1)
				time.Sleep(savedTimeout) // the read ends
			})
		})
	}
}

// Prevents a stream from being refused because the store was read just before its record was written, or for a moment refused this node.
func TestReturnWaitsForTheNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, store := newSurvivor(0)
		store.err = errors.New("refused")
		require.Equal(t, sageorigin.Unknown, n.Find(t.Context(), "r", key(0)).Status)
		store.set(func() { store.err, store.saved.Records = nil, savedStreams(2, v2) })
		require.Equal(t, sageorigin.Found, n.Find(t.Context(), "r", key(0)).Status)
		require.Equal(t, 2, store.takeReads())

		n.Nodes = func() []sageorigin.Holder { return []sageorigin.Holder{{Address: n.Self}} }
		n.LostAt = virtualNow
		time.Sleep(ringTTL)
		store.set(func() { store.saved.Records = savedStreams(3, v2) })
		start := time.Now()
		require.Equal(t, sageorigin.Found, n.Find(t.Context(), "r", key(2)).Status)
		require.Equal(t, store.delay, time.Since(start))
		require.False(t, n.Find(t.Context(), "r", key(3)).MayFollow, "it waited for the next read")
		require.Equal(t, savedInterval+2*store.delay, time.Since(start))
		require.Equal(t, 2, store.takeReads())
	})
}

// Prevents a node that answers late from being taken for lost with its records, and a read from naming another version than it does.
func TestSlowNodeAndStoreAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newSurvivor(1)
		time.AfterFunc(answerTimeout+2*time.Millisecond, func() {
			n.Handle((&sageorigin.Message{Records: savedStreams(1, v1)}).Encode(virtualNow()), address(3))
		})
		f := n.Find(t.Context(), "r", key(0))
		require.Equal(t, sageorigin.Unknown, f.Status, "the two differ")
		require.False(t, f.MayFollow)
	})
}

// Prevents callers that name streams which never were from having the store read, or read more often than the fleet's bound allows.
func TestReadsOfTheStoreAreBounded(t *testing.T) {
	const span = 10 * time.Second
	for _, tt := range []struct {
		name  string
		lost  func(now, start sageclock.Instant) sageclock.Instant
		nodes int
		bytes int
		most  int
	}{
		{"no node was lost", func(_, _ sageclock.Instant) sageclock.Instant { return 0 }, 6, 1000, 0},
		{"nodes were lost once", func(_, start sageclock.Instant) sageclock.Instant { return start }, 6, 1000, int(savedDelay/savedInterval) + 2},
		{"nodes are lost all the time", func(now, _ sageclock.Instant) sageclock.Instant { return now }, 6, 1000, int(span/savedInterval) + 1},
		{"many nodes", func(now, _ sageclock.Instant) sageclock.Instant { return now }, 400, 1000, int(span/(400*savedSpacing)) + 1},
		{"many nodes and bytes", func(now, _ sageclock.Instant) sageclock.Instant { return now }, 400, 1 << 20, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(6, "v1", "v2")
				n, store := f.nodes[0], &savedStore{saved: Saved{Bytes: tt.bytes}}
				begin := virtualNow()
				n.ReadSaved, n.FleetSize = store.read, func() int { return tt.nodes }
				n.LostAt = func() sageclock.Instant { return tt.lost(virtualNow(), begin) }
				var callers sync.WaitGroup
				for start, i := time.Now(), 0; time.Since(start) < span; i++ {
					callers.Go(func() { _ = n.Find(t.Context(), "r", key(i)) })
					time.Sleep(5 * time.Millisecond)
				}
				callers.Wait()
				reads := store.takeReads()
				require.LessOrEqual(t, reads, tt.most)
				require.Equal(t, tt.most > 0, reads > 0)
			})
		})
	}
}
