package sagerouter

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// recoveringNode is a node that survives, or starts, when others are lost.
type recoveringNode struct {
	*snapshotRecovery
	mu       sync.Mutex
	first    bool
	lists    int
	cut      bool
	restored int // times that the record was sent to its holders
}

func (n *recoveringNode) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// loseOthers has so many other nodes lost that records may have no holder.
func (n *recoveringNode) loseOthers() {
	for range minLosses {
		n.nodeLost()
	}
}

func (n *recoveringNode) counts() (lists, restored int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lists, n.restored
}

// cuttableStore is a store that doesn't answer a node which is cut off.
type cuttableStore struct {
	*snapshotStore
	node *recoveringNode
}

func (s *cuttableStore) List(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	s.node.mu.Lock()
	s.node.lists++
	cut := s.node.cut
	s.node.mu.Unlock()
	if cut {
		return sagefollow.Page{}, errNoAnswer
	}
	return s.snapshotStore.List(ctx, kind, after)
}

// runRecovery runs nodes beside a store that holds a record of a node that was lost.
func runRecovery(t *testing.T, nodes ...*recoveringNode) *snapshotStore {
	t.Helper()
	store := new(snapshotStore)
	keeper := newTestKeeper(store, "lost")
	keeper.Now = virtualNow
	keeper.Save([]sageorigin.Record{testRecord("1", "v1", virtualNow().Add(time.Hour))})
	require.NoError(t, keeper.save(t.Context()))
	for _, n := range nodes {
		n.snapshotRecovery = &snapshotRecovery{
			Name: "survivor", Store: &cuttableStore{store, n}, Now: virtualNow,
			Recovers: func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.first
			},
			Restore: func([]sageorigin.Record) { n.set(func() { n.restored++ }) },
		}
		go func() { _ = n.Run(t.Context()) }()
	}
	return store
}

// virtualNow is the clock of a test in virtual time.
func virtualNow() sageclock.Instant { return sageclock.Instant(time.Now().UnixNano()) }

// pause advances the virtual time.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Prevents streams of lost nodes from being refused because the first node by rank has survived and doesn't start.
func TestSurvivorRecoversRecordsOfLostNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{}
		runRecovery(t, n)
		pause(2 * sageorigin.Window)
		lists, _ := n.counts()
		require.Zero(t, lists)
		n.set(func() { n.first = true })
		pause(2 * sageorigin.Window)
		lists, _ = n.counts()
		require.Zero(t, lists, "nothing was lost while callers may return")

		for range minLosses - 1 {
			n.nodeLost()
		}
		pause(sageorigin.Window)
		lists, _ = n.counts()
		require.Zero(t, lists, "a holder is left")

		n.loseOthers()
		pause(restoreDelays[0] + recoveryCheck)
		lists, restored := n.counts()
		require.Equal(t, [2]int{1, 1}, [2]int{lists, restored})
		pause(sageorigin.Window)
		lists, restored = n.counts()
		require.Equal(t, [2]int{1, len(restoreDelays)}, [2]int{lists, restored})

		n.nodeJoined()
		pause(restoreDelays[0] + recoveryCheck)
		lists, restored = n.counts()
		require.Equal(t, [2]int{1, len(restoreDelays) + 1}, [2]int{lists, restored}, "the node that joined may be a holder")
	})
}

// Prevents records from staying in the store because the node that would recover them can't reach it, or is lost as well.
func TestRecoveryMovesWithTheRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &recoveringNode{first: true, cut: true}, &recoveringNode{}
		runRecovery(t, first, second)
		pause(2 * sageorigin.Window)
		first.loseOthers()
		second.loseOthers()
		pause(sageorigin.Window / 2)
		lists, restored := first.counts()
		require.Zero(t, restored)
		require.Greater(t, lists, 1, "a call that failed is repeated")
		first.set(func() { first.first = false })
		second.set(func() { second.first = true })
		pause(2 * recoveryCheck)
		_, restored = second.counts()
		require.Equal(t, 1, restored)
	})
}

// Prevents a read of the store that fails, or that others are lost during, from counting as a read of what they saved.
func TestLossIsReadAfterItHappened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{first: true}
		runRecovery(t, n)
		pause(sageorigin.Window)
		before, _ := n.counts()
		for range 3 {
			n.loseOthers()
			pause(sageorigin.Window / 2)
		}
		lists, _ := n.counts()
		require.Equal(t, before+3, lists)
		n.set(func() { n.cut = true })
		n.loseOthers()
		pause(time.Second)
		n.set(func() { n.cut = false })
		_, restored := n.counts()
		pause(snapshotRetry + recoveryCheck)
		_, after := n.counts()
		require.Equal(t, restored+1, after)
	})
}

// Prevents the first node by rank from being taken for lost, so that the next one starts over, because it is busy with the recovery of
// many records.
func TestManyRecordsAreSentInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 5 * recoveryBatch / 2
		store := new(snapshotStore)
		for _, name := range []string{"a", "b"} { // each record is written by two nodes
			k := newTestKeeper(store, name)
			k.Now = virtualNow
			for i := range streams {
				k.Save([]sageorigin.Record{testRecord(fmt.Sprint(i), "v1", virtualNow().Add(time.Minute))})
			}
			require.NoError(t, k.save(t.Context()))
		}
		r, _ := newSnapshotRecovery(store, newTestKeeper(store, "c"))
		r.Now = virtualNow
		var mu sync.Mutex
		var sizes []int
		r.Restore = func(records []sageorigin.Record) {
			mu.Lock()
			defer mu.Unlock()
			sizes = append(sizes, len(records))
		}
		go func() { _ = r.Run(t.Context()) }()
		pause(restoreDelays[0] + 3*recoveryCheck)
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, []int{recoveryBatch, recoveryBatch, recoveryBatch / 2}, sizes)
	})
}

// Prevents a stream from going on at one of two versions that records name for it.
func TestContradictoryRecordsNameNoVersion(t *testing.T) {
	store := new(snapshotStore)
	until := sageclock.Now().Add(time.Minute)
	for name, version := range map[string]string{"a": "v1", "b": "v2"} {
		k := newTestKeeper(store, name)
		k.Save([]sageorigin.Record{testRecord("1", version, until)})
		require.NoError(t, k.save(t.Context()))
	}
	r, _ := newSnapshotRecovery(store, newTestKeeper(store, "c"))
	require.NoError(t, r.load(t.Context()))
	require.Len(t, r.records.order, 1)
	for _, record := range r.records.byKey {
		require.Empty(t, record.Origin.Version)
	}
}

// remoteStore is a store whose calls take time, and whose listings come in pages of one object each.
type remoteStore struct {
	*snapshotStore
	delay time.Duration
}

func (s *remoteStore) List(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	if err := s.wait(ctx); err != nil {
		return sagefollow.Page{}, err
	}
	p, err := s.snapshotStore.List(ctx, kind, after)
	slices.SortFunc(p.Changes, func(a, b sagefollow.Change) int { return cmp.Compare(a.Object.Name, b.Object.Name) })
	p.Changes = slices.DeleteFunc(p.Changes, func(c sagefollow.Change) bool { return c.Object.Name <= after })
	if len(p.Changes) > 1 {
		p.Changes, p.Next = p.Changes[:1], p.Changes[0].Object.Name
	}
	return p, err
}

func (s *remoteStore) SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	return s.snapshotStore.SetStatus(ctx, kind, name, revision, status)
}

func (s *remoteStore) wait(ctx context.Context) error {
	if !sageclock.Sleep(ctx, s.delay) {
		return ctx.Err()
	}
	return nil
}

// saveOf returns a store with the records of streams whose node was lost.
func saveOf(t *testing.T, streams int, lifetime time.Duration) *snapshotStore {
	t.Helper()
	store := new(snapshotStore)
	k := newTestKeeper(store, "lost")
	k.Now = virtualNow
	for i := range streams {
		k.Save([]sageorigin.Record{testRecord(fmt.Sprint("lost", i), "v1", virtualNow().Add(lifetime))})
		if i%segmentRecords == segmentRecords-1 || i == streams-1 {
			require.NoError(t, k.save(t.Context()))
		}
	}
	return store
}

// Prevents what was recovered from being recovered again after each loss, because it isn't deleted while streams begin all the time.
func TestRecoveredObjectsAreDeletedUnderTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := saveOf(t, 1, time.Second)
		k := newTestKeeper(&remoteStore{store, 5 * time.Millisecond}, "survivor")
		k.Now = virtualNow
		r, _ := newSnapshotRecovery(store, k)
		go func() { _ = k.Run(t.Context()) }()
		go func() { _ = r.Run(t.Context()) }()
		for i := range int(2 * recoveryTime / time.Millisecond) {
			k.Save([]sageorigin.Record{testRecord(fmt.Sprint(i), "v1", virtualNow().Add(time.Second))})
			pause(time.Millisecond)
		}
		require.False(t, store.has("lost-0"))
	})
}

// Prevents recovered records from being deleted that nobody has written, because the store refused writes meanwhile.
func TestRecoveredRecordsOutliveStoreThatRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 2 * maxPending
		store := saveOf(t, streams, time.Minute)
		k := newTestKeeper(store, "survivor")
		r, _ := newSnapshotRecovery(store, k)
		k.Now, r.Now = virtualNow, virtualNow
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		go func() { done <- k.Run(ctx) }()
		go func() { done <- r.Run(ctx) }()
		store.setRefuses(true)
		pause(recoveryTime)
		store.setRefuses(false)
		pause(recoveryTime)
		next, _ := newSnapshotRecovery(store, newTestKeeper(store, "next"))
		next.Now = virtualNow
		require.NoError(t, next.load(t.Context()))
		require.Equal(t, streams, len(next.records.order), "callers may still return")
		pause(time.Minute)
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		require.False(t, store.has("lost-0"))
	})
}

// Prevents the records of a large fleet from never being recovered because they fill more pages than can be read within one timeout.
func TestManyPagesAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 10 * segmentRecords
		store := saveOf(t, streams, time.Minute)
		r, _ := newSnapshotRecovery(&remoteStore{store, snapshotTimeout / 5}, newTestKeeper(store, "survivor"))
		r.Now = virtualNow
		require.NoError(t, r.load(t.Context()))
		require.Equal(t, streams, len(r.records.order))
	})
}

// Prevents callers of a survivor from giving up because only a node's own start counted as the begin of a recovery.
func TestRecoveryIsExpectedAfterLossOfHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{}
		runRecovery(t, n)
		synctest.Wait()
		start := virtualNow()
		require.Equal(t, start.Add(recoveryTime), n.until())
		require.Equal(t, start, n.lastLoss())
		pause(sageorigin.Window)
		for range minLosses - 1 {
			n.nodeLost()
		}
		require.Equal(t, virtualNow(), n.lastLoss())
		require.Equal(t, start.Add(recoveryTime), n.until(), "a holder is left")
		n.nodeLost()
		require.Equal(t, virtualNow().Add(recoveryTime), n.until())
	})
}

// Prevents callers from being refused whose streams this node has saved for another one, and reads of more than they may cost.
func TestSavedRecordsAreReadForReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &recoveringNode{}
		store := runRecovery(t, n)
		keeper := newTestKeeper(store, "survivor-0")
		keeper.Now = virtualNow
		keeper.Save([]sageorigin.Record{testRecord("1", "v2", virtualNow().Add(time.Hour)), testRecord("2", "v2", virtualNow().Add(time.Hour))})
		require.NoError(t, keeper.save(t.Context()))
		_, err := store.Create(t.Context(), "", "not-written-yet", nil)
		require.NoError(t, err)

		got, err := n.readSaved(t.Context(), 1<<20)
		require.NoError(t, err)
		require.Equal(t, 3, got.Objects)
		versions := make(map[sageorigin.Key]string)
		for _, r := range got.Records {
			versions[r.Key] = r.Origin.Version
		}
		require.Equal(t, map[sageorigin.Key]string{sageorigin.KeyOf("a", "1"): "", sageorigin.KeyOf("a", "2"): "v2"}, versions, "two objects differ in the first")
		require.Positive(t, got.Bytes)
		n.set(func() { n.cut = true })
		_, err = n.readSaved(t.Context(), 1<<20)
		require.ErrorIs(t, err, errNoAnswer)
	})
}

// Prevents a listing of many pages from being read to its end by each node of a large fleet, and one that a restore crosses from being
// taken for whole.
func TestReadsForReturnsEnd(t *testing.T) {
	record := func(i int) sagefollow.Change {
		s := sageorigin.NewSnapshot(virtualNow(), []sageorigin.Record{testRecord(fmt.Sprint(i), "v1", virtualNow().Add(time.Hour))})
		b, err := json.Marshal(&s)
		require.NoError(t, err)
		return sagefollow.Change{Object: sagefollow.Object{Name: fmt.Sprint(i), Status: b}}
	}
	pages := &pagedStore{page: func(i int) sagefollow.Page {
		return sagefollow.Page{Changes: []sagefollow.Change{record(i)}, Next: fmt.Sprint(i)}
	}}
	r := &snapshotRecovery{Store: pages, Now: virtualNow}
	got, err := r.readSaved(t.Context(), 1000)
	require.ErrorIs(t, err, errTooManyBytes)
	require.Len(t, got.Records, pages.read, "what was read is used")
	require.Less(t, got.Bytes, 1200)

	pages = &pagedStore{page: func(i int) sagefollow.Page {
		return sagefollow.Page{Changes: []sagefollow.Change{record(i)}, Next: "more", Era: uint64(i / 3)}
	}}
	r.Store = pages
	got, err = r.readSaved(t.Context(), 1<<20)
	require.Error(t, err)
	require.NotErrorIs(t, err, errTooManyBytes)
	require.Equal(t, 4, pages.read)
	require.NotEmpty(t, got.Records)
}

// pagedStore is a store whose listing has many pages.
type pagedStore struct {
	Store
	page func(i int) sagefollow.Page
	read int
}

func (s *pagedStore) List(context.Context, string, string) (sagefollow.Page, error) {
	s.read++
	return s.page(s.read - 1), nil
}
