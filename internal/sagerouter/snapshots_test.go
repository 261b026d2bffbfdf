package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// snapshotStore is a store in which objects are deleted.
type snapshotStore struct {
	claimStore
	mu      sync.Mutex
	refuses bool
	refused int
}

func (s *snapshotStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses {
		s.refused++
		return false, errNoAnswer
	}
	return s.claimStore.Create(ctx, kind, name, spec)
}

func (s *snapshotStore) SetStatus(ctx context.Context, kind, name string, _ uint64, status json.RawMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses {
		s.refused++
		return errNoAnswer
	}
	if _, ok := s.objects[name]; !ok {
		return errNoAnswer
	}
	return s.claimStore.SetStatus(ctx, kind, name, s.objects[name].Revision, status)
}

// setRefuses sets whether writes are refused.
func (s *snapshotStore) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// counts returns the numbers of writes that were confirmed and refused.
func (s *snapshotStore) counts() (writes, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.refused
}

// copied returns the objects.
func (s *snapshotStore) copied() map[string]sagefollow.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

func (s *snapshotStore) Delete(_ context.Context, _, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

func (s *snapshotStore) List(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claimStore.List(ctx, kind, after)
}

// has reports whether an object exists.
func (s *snapshotStore) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[name]
	return ok
}

// newTestKeeper returns the keeper of the only node that writes.
func newTestKeeper(store Store, name string) *snapshotKeeper {
	return newSnapshotKeeper("", name, store, func() int { return 1 }, sagelog.Logger{})
}

// testRecord returns the record of a stream whose caller may return until a time.
func testRecord(id, version string, until sageclock.Instant) sageorigin.Record {
	return sageorigin.Record{Key: sageorigin.KeyOf("a", id), Origin: sageorigin.Origin{Service: "s", Version: version}, Until: until}
}

// newSnapshotRecovery returns the recovery of a node with a keeper, and the records that it restores.
func newSnapshotRecovery(store Store, k *snapshotKeeper) (*snapshotRecovery, *restoredRecords) {
	restored := new(restoredRecords)
	return &snapshotRecovery{
		Name: k.Name, Store: store, Restore: restored.set, Recovers: func() bool { return true }, Now: k.Now,
	}, restored
}

// restoredRecords are the records that a recovery sent last.
type restoredRecords struct {
	mu      sync.Mutex
	records []sageorigin.Record
}

func (r *restoredRecords) set(records []sageorigin.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = records
}

func (r *restoredRecords) get() []sageorigin.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records
}

// Prevents streams of services with several versions from being lost with all nodes although upstreams of their version serve.
func TestOpenStreamsOutliveAllNodes(t *testing.T) {
	store := new(snapshotStore)
	until := sageclock.Now().Add(time.Minute)
	saved := [][]sageorigin.Record{{testRecord("1", "v1", until), testRecord("2", "v2", until)}, {testRecord("3", "v2", until)}}
	for i := range saved {
		k := newTestKeeper(store, string(rune('a'+i)))
		k.Save(saved[i])
		require.NoError(t, k.save(t.Context()))
		writes := store.writes
		k.Save(saved[i])
		later := saved[i][0]
		later.Until = later.Until.Add(snapshotExtension)
		k.Save([]sageorigin.Record{later})
		require.NoError(t, k.save(t.Context()))
		require.Equal(t, writes, store.writes, "nothing has changed")
		later.Until = later.Until.Add(time.Millisecond)
		k.Save([]sageorigin.Record{later})
		require.NoError(t, k.save(t.Context()))
		require.Greater(t, store.writes, writes, "its caller may return for longer")
	}
	delays := restoreDelays
	restoreDelays = []time.Duration{0}
	defer func() { restoreDelays = delays }()
	r, restored := newSnapshotRecovery(store, newTestKeeper(store, "c"))
	r.started()
	require.NoError(t, r.recover(t.Context()))
	origins := make(map[sageorigin.Key]string)
	for _, r := range restored.get() {
		origins[r.Key] = r.Origin.Version
	}
	require.Equal(t, map[sageorigin.Key]string{sageorigin.KeyOf("a", "1"): "v1", sageorigin.KeyOf("a", "2"): "v2", sageorigin.KeyOf("a", "3"): "v2"}, origins)

	r.Now = func() sageclock.Instant { return sageclock.Now().Add(2 * recoveryTime) }
	require.NoError(t, r.drop(t.Context()))
	require.Len(t, store.copied(), 2, "callers may still return")
	running := newTestKeeper(store, "b")
	running.Save([]sageorigin.Record{testRecord("4", "v1", until.Add(time.Minute))})
	require.NoError(t, running.save(t.Context()))
	r.Now = func() sageclock.Instant { return until.Add(2 * snapshotExtension) }
	require.NoError(t, r.drop(t.Context()))
	require.Len(t, store.copied(), 1, "a node that runs has written again")
}

// Prevents a node without such streams from calling the store.
func TestNoStreamsNoSnapshots(t *testing.T) {
	store := new(snapshotStore)
	k := newTestKeeper(store, "a")
	k.Save(nil)
	require.NoError(t, k.save(t.Context()))
	r, _ := newSnapshotRecovery(store, k)
	require.NoError(t, r.drop(t.Context()))
	require.Zero(t, store.calls)
}

// Prevents streams that begin just before a loss of all nodes from being refused afterwards although upstreams of their version
// serve.
func TestStreamIsSavedAsItBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		k := newTestKeeper(store, "a")
		k.Now = virtualNow
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		writes := func() int {
			n, _ := store.counts()
			return n
		}
		began := 0
		add := func() {
			began++
			k.Save([]sageorigin.Record{testRecord(fmt.Sprint(began), "v1", virtualNow().Add(time.Hour))})
		}
		pause(time.Minute + time.Millisecond)
		require.Zero(t, writes())

		for i := range 3 {
			add()
			pause(snapshotInterval)
			require.Equal(t, i+2, writes(), "the first one creates the object")
		}
		pause(time.Minute / 2)
		require.Equal(t, 4, writes(), "streams that end need no write")
		add()
		pause(snapshotInterval / 2)
		require.Equal(t, 5, writes())
		add()
		k.Forget(sageorigin.KeyOf("a", fmt.Sprint(began)))
		began--
		pause(time.Minute / 2)
		require.Equal(t, 5, writes(), "a stream that has ended before the write needs none")

		store.setRefuses(true)
		for range 100 {
			add()
			pause(10 * time.Millisecond)
		}
		_, refused := store.counts()
		require.NotZero(t, refused)
		require.LessOrEqual(t, refused, int(time.Second/snapshotRetry)+1, "a store in trouble is spared")
		store.setRefuses(false)
		pause(2 * snapshotRetry)
		cancel()
		require.NoError(t, <-done)
		other, _ := newSnapshotRecovery(store, newTestKeeper(store, "b"))
		other.Now = k.Now
		require.NoError(t, other.load(t.Context()))
		require.Len(t, other.records.order, began)
	})
}

// Prevents the objects of a node, and its writes, from growing with the number of streams that began in the past.
func TestSegmentsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, lifetime = 1000, 10 * time.Second
		store := new(snapshotStore)
		k := newTestKeeper(store, "a")
		k.Now = virtualNow
		go func() { _ = k.Run(t.Context()) }()
		began := 0
		run := func(d time.Duration) {
			for range int(d / time.Second * perSecond) {
				began++
				k.Save([]sageorigin.Record{testRecord(fmt.Sprint(began), "v1", virtualNow().Add(lifetime))})
				pause(time.Second / perSecond)
			}
		}
		run(30 * time.Second)
		objects := len(store.copied())
		run(30 * time.Second)
		require.Len(t, store.copied(), objects)
		for _, o := range store.copied() {
			require.Less(t, len(o.Status), 2*segmentRecords*50, "bytes of an object")
		}
		pause(snapshotInterval)
		r, _ := newSnapshotRecovery(store, newTestKeeper(store, "b"))
		r.Now = virtualNow
		require.NoError(t, r.load(t.Context()))
		found := make(map[sageorigin.Key]bool)
		for _, o := range r.records.byKey {
			found[o.Key] = true
		}
		for i := began - perSecond*int(lifetime/time.Second) + perSecond; i <= began; i++ {
			require.True(t, found[sageorigin.KeyOf("a", fmt.Sprint(i))], "stream %d of %d", i, began)
		}
	})
}

// Prevents a stream from being lost with all nodes because a recovery has just deleted the object in which it would be saved.
func TestStreamIsSavedAfterObjectWasDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		k, other := newTestKeeper(store, "a"), newTestKeeper(store, "b")
		k.Now, other.Now = virtualNow, virtualNow
		r, _ := newSnapshotRecovery(store, other)
		go func() { _ = k.Run(t.Context()) }()
		go func() { _ = other.Run(t.Context()) }()
		k.Save([]sageorigin.Record{testRecord("1", "v1", virtualNow().Add(time.Minute))})
		pause(snapshotInterval)
		go func() { _ = r.Run(t.Context()) }()
		pause(2 * recoveryTime)
		require.Len(t, store.copied(), 1)
		k.Save([]sageorigin.Record{testRecord("2", "v1", virtualNow().Add(time.Minute))})
		pause(snapshotInterval)
		next, _ := newSnapshotRecovery(store, newTestKeeper(store, "c"))
		next.Now = virtualNow
		require.NoError(t, next.load(t.Context()))
		require.Len(t, next.records.order, 2)
	})
}

// Prevents a writer that gets more records than the store takes from growing without bound.
func TestPendingRecordsAreBounded(t *testing.T) {
	store := new(snapshotStore)
	store.setRefuses(true)
	k := newTestKeeper(store, "a")
	for i := range 3 * maxPending {
		k.Save([]sageorigin.Record{testRecord(fmt.Sprint(i), "v1", sageclock.Now().Add(time.Minute))})
	}
	require.Error(t, k.save(t.Context()))
	require.Len(t, k.pending, maxPending)
	store.setRefuses(false)
	require.NoError(t, k.save(t.Context()))
	require.Empty(t, k.pending)
	r, _ := newSnapshotRecovery(store, newTestKeeper(store, "b"))
	require.NoError(t, r.load(t.Context()))
	require.Len(t, r.records.order, maxPending)
}

// Prevents streams that begin in the first seconds after a start from being refused if all nodes are lost again.
func TestStreamsAreSavedDuringRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		first := newTestKeeper(store, "a1")
		first.Now = virtualNow
		first.Save([]sageorigin.Record{testRecord("1", "v1", virtualNow().Add(time.Minute))})
		require.NoError(t, first.save(t.Context()))
		k := newTestKeeper(store, "a2")
		r, restored := newSnapshotRecovery(store, k)
		k.Now, r.Now = virtualNow, virtualNow
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 2)
		go func() { done <- k.Run(ctx) }()
		go func() { done <- r.Run(ctx) }()
		k.Save([]sageorigin.Record{testRecord("2", "v2", virtualNow().Add(time.Hour))})
		time.Sleep(snapshotInterval)
		synctest.Wait()
		writes, _ := store.counts()
		require.Equal(t, 4, writes, "both have created an object and written once")
		time.Sleep(2 * recoveryTime)
		synctest.Wait()
		require.Len(t, restored.get(), 2, "with what this node has saved, maybe for a node that was lost")
		require.Len(t, store.copied(), 2, "callers may still return")
		time.Sleep(time.Minute)
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		require.Len(t, store.copied(), 1, "what was recovered is deleted once no caller can return")
	})
}

// Prevents many nodes, and nodes with many streams, from writing more often than the store and their processors bear.
func TestSnapshotsAreSpaced(t *testing.T) {
	for _, tc := range []struct {
		writers, streams int
		want             time.Duration
	}{
		{1, 1, snapshotInterval},
		{maxWriters, 1, snapshotInterval},
		{maxWriters + 1, 1, time.Duration(maxWriters+1) * snapshotSpacing},
		{9, maxPending, time.Duration(maxPending) * snapshotSpacingPerRecord},
	} {
		k := newTestKeeper(new(snapshotStore), "a")
		now := sageclock.Now()
		k.Writers, k.Now = func() int { return tc.writers }, func() sageclock.Instant { return now }
		for i := range tc.streams {
			k.Save([]sageorigin.Record{testRecord(fmt.Sprint(i), "v1", now.Add(time.Minute))})
		}
		require.NoError(t, k.save(t.Context()))
		require.Equal(t, tc.want, k.nextAt.Sub(now))
	}
}

// Prevents unreadable objects from hiding the records in others.
func TestUnreadableSnapshotIsSkipped(t *testing.T) {
	store := new(snapshotStore)
	k := newTestKeeper(store, "a")
	k.Save([]sageorigin.Record{testRecord("1", "v1", sageclock.Now().Add(time.Minute))})
	require.NoError(t, k.save(t.Context()))
	for name, status := range map[string]string{"x": `{"origins":7}`, "y": `{"origins":[{"service":"s","version":"v1","streams":{"zz":1}}]}`} {
		_, err := store.Create(t.Context(), "", name, nil)
		require.NoError(t, err)
		require.NoError(t, store.SetStatus(t.Context(), "", name, 0, json.RawMessage(status)))
	}
	other, _ := newSnapshotRecovery(store, newTestKeeper(store, "b"))
	require.NoError(t, other.load(t.Context()))
	require.Len(t, other.records.order, 1)
}
