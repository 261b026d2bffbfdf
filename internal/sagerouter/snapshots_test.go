package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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

func (s *snapshotStore) Delete(_ context.Context, _, name string) error {
	delete(s.objects, name)
	return nil
}

// newSnapshotKeeper returns the keeper of a node whose open streams are those in open.
func newSnapshotKeeper(store Store, name string, open *[]sageorigin.Record) *snapshotKeeper {
	return &snapshotKeeper{
		Name: name, Store: store, Open: func() []sageorigin.Record { return *open }, Nodes: func() int { return 1 }, Began: make(chan struct{}, 1),
	}
}

// newSnapshotRecovery returns the recovery of a node, and the records that it restores.
func newSnapshotRecovery(store Store, name string) (*snapshotRecovery, *[]sageorigin.Record) {
	restored := new([]sageorigin.Record)
	return &snapshotRecovery{
		Name: name, Store: store, Restore: func(rs []sageorigin.Record) { *restored = rs }, Recovers: func() bool { return true },
	}, restored
}

// Prevents streams of services with several versions from being lost with all nodes although upstreams of their version serve.
func TestOpenStreamsOutliveAllNodes(t *testing.T) {
	store := new(snapshotStore)
	until := sageclock.Now().Add(time.Minute)
	record := func(id, version string) sageorigin.Record {
		return sageorigin.Record{Key: sageorigin.KeyOf("a", id), Origin: sageorigin.Origin{Service: "s", Version: version}, Until: until}
	}
	open := [][]sageorigin.Record{{record("1", "v1"), record("2", "v2")}, {record("3", "v2")}}
	for i := range open {
		k := newSnapshotKeeper(store, string(rune('a'+i)), &open[i])
		require.NoError(t, k.save(t.Context()))
		writes := store.writes
		require.NoError(t, k.save(t.Context()))
		require.Equal(t, writes, store.writes, "nothing has changed")
	}
	delays := restoreDelays
	restoreDelays = []time.Duration{0}
	defer func() { restoreDelays = delays }()
	r, restored := newSnapshotRecovery(store, "a2")
	r.nodeLost()
	require.NoError(t, r.recover(t.Context()))
	origins := make(map[sageorigin.Key]string)
	for _, r := range *restored {
		origins[r.Key] = r.Origin.Version
	}
	require.Equal(t, map[sageorigin.Key]string{sageorigin.KeyOf("a", "1"): "v1", sageorigin.KeyOf("a", "2"): "v2", sageorigin.KeyOf("a", "3"): "v2"}, origins)

	require.NoError(t, r.drop(t.Context()))
	require.Len(t, store.objects, 2, "callers may still return")
	running := newSnapshotKeeper(store, "b", &open[0])
	require.NoError(t, running.save(t.Context()))
	r.Now = func() sageclock.Instant { return until.Add(time.Second) }
	require.NoError(t, r.drop(t.Context()))
	require.Len(t, store.objects, 1, "a node that runs has written again")
}

// Prevents a node without such streams from calling the store.
func TestNoStreamsNoSnapshots(t *testing.T) {
	store, none := new(snapshotStore), []sageorigin.Record{}
	require.NoError(t, newSnapshotKeeper(store, "a", &none).save(t.Context()))
	r, _ := newSnapshotRecovery(store, "a")
	require.NoError(t, r.drop(t.Context()))
	require.Zero(t, store.calls)
}

// Prevents streams that begin just before a loss of all nodes from being refused afterwards although upstreams of their version
// serve.
func TestStreamIsSavedAsItBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		var open atomic.Pointer[[]sageorigin.Record]
		open.Store(new([]sageorigin.Record))
		k := newSnapshotKeeper(store, "a", nil)
		k.Open = func() []sageorigin.Record { return *open.Load() }
		k.Now = func() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		pause := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		writes := func() int {
			n, _ := store.counts()
			return n
		}
		began := 0
		add := func() {
			began++
			records := append(slices.Clone(*open.Load()), sageorigin.Record{
				Key: sageorigin.KeyOf("a", fmt.Sprint(began)), Origin: sageorigin.Origin{Service: "s", Version: "v1"}, Until: k.now().Add(time.Minute),
			})
			open.Store(&records)
		}
		pause(time.Minute + time.Millisecond)
		require.Zero(t, writes())

		for i := range 3 {
			add()
			k.began()
			pause(snapshotInterval)
			require.Equal(t, i+2, writes(), "the first one creates the object")
		}
		first := (*open.Load())[:1]
		open.Store(&first)
		pause(snapshotRefresh / 2)
		require.Equal(t, 4, writes(), "streams that have ended need no write at once")
		pause(snapshotRefresh)
		require.Equal(t, 5, writes())

		add() // needed no record when it began
		pause(snapshotCheck)
		require.Equal(t, 6, writes())

		store.setRefuses(true)
		for range 100 {
			add()
			k.began()
			pause(10 * time.Millisecond)
		}
		_, refused := store.counts()
		require.NotZero(t, refused)
		require.LessOrEqual(t, refused, int(time.Second/snapshotRetry)+1, "a store in trouble is spared")
		store.setRefuses(false)
		pause(snapshotCheck + snapshotRetry)
		cancel()
		require.NoError(t, <-done)
		other, _ := newSnapshotRecovery(store, "b")
		other.Now = k.Now
		require.NoError(t, other.load(t.Context()))
		require.Len(t, other.records, len(*open.Load()))
	})
}

// Prevents streams that begin in the first seconds after a start from being refused if all nodes are lost again.
func TestStreamsAreSavedDuringRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		now := func() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }
		before := []sageorigin.Record{{Key: sageorigin.KeyOf("a", "1"), Origin: sageorigin.Origin{Service: "s", Version: "v1"}, Until: now().Add(time.Minute)}}
		first := newSnapshotKeeper(store, "a1", &before)
		first.Now = now
		require.NoError(t, first.save(t.Context()))
		open := []sageorigin.Record{{Key: sageorigin.KeyOf("a", "2"), Origin: sageorigin.Origin{Service: "s", Version: "v2"}, Until: now().Add(time.Hour)}}
		k := newSnapshotKeeper(store, "a2", &open)
		r, restored := newSnapshotRecovery(store, "a2")
		k.Now, r.Now = now, now
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 2)
		go func() { done <- k.Run(ctx) }()
		go func() { done <- r.Run(ctx) }()
		k.began()
		time.Sleep(snapshotInterval)
		synctest.Wait()
		writes, _ := store.counts()
		require.Equal(t, 4, writes, "both have created an object and written once")
		time.Sleep(sageorigin.Window + recoveryCheck)
		synctest.Wait()
		require.Len(t, store.objects, 2, "the caller of the recovered stream may still return")
		time.Sleep(time.Minute)
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		require.Len(t, *restored, 1)
		require.Len(t, store.objects, 1, "what was recovered is deleted once no caller can return")
	})
}

// Prevents many nodes, and nodes with many streams, from writing more often than the store and their processors bear.
func TestSnapshotsAreSpaced(t *testing.T) {
	for _, tc := range []struct {
		nodes, streams int
		want           time.Duration
	}{
		{1, 1, snapshotInterval},
		{400, 1, 400 * snapshotSpacing},
		{9, sageorigin.MaxSnapshotRecords, sageorigin.MaxSnapshotRecords * snapshotSpacingPerRecord},
	} {
		var open []sageorigin.Record
		for i := range tc.streams {
			open = append(open, sageorigin.Record{Key: sageorigin.KeyOf("a", fmt.Sprint(i)), Origin: sageorigin.Origin{Service: "s", Version: "v1"}, Until: sageclock.Now().Add(time.Minute)})
		}
		k := newSnapshotKeeper(new(snapshotStore), "a", &open)
		now := sageclock.Now()
		k.Nodes, k.Now = func() int { return tc.nodes }, func() sageclock.Instant { return now }
		require.NoError(t, k.save(t.Context()))
		require.Equal(t, tc.want, k.nextAt.Sub(now))
	}
}

// Prevents unreadable objects from hiding the records in others.
func TestUnreadableSnapshotIsSkipped(t *testing.T) {
	store := new(snapshotStore)
	open := []sageorigin.Record{{Key: sageorigin.KeyOf("a", "1"), Origin: sageorigin.Origin{Service: "s", Version: "v1"}, Until: sageclock.Now().Add(time.Minute)}}
	require.NoError(t, newSnapshotKeeper(store, "a", &open).save(t.Context()))
	for name, status := range map[string]string{"x": `{"origins":7}`, "y": `{"origins":[{"service":"s","version":"v1","streams":{"zz":1}}]}`} {
		_, err := store.Create(t.Context(), "", name, nil)
		require.NoError(t, err)
		require.NoError(t, store.SetStatus(t.Context(), "", name, 0, json.RawMessage(status)))
	}
	other, _ := newSnapshotRecovery(store, "b")
	require.NoError(t, other.load(t.Context()))
	require.Len(t, other.records, 1)
}
