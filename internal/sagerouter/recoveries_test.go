package sagerouter

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageorigin"
)

// readAll reads the records in a store.
func readAll(t *testing.T, store Store) []sageorigin.Record {
	t.Helper()
	r := &snapshotRecovery{Name: "reader", Store: store, Now: virtualNow}
	got, err := r.readSaved(t.Context(), 1<<30)
	require.NoError(t, err)
	return got.Records
}

// Prevents two nodes that recover, as those of two regions do, from deleting each other's records.
func TestRecoveriesKeepEachOthersRecords(t *testing.T) {
	for _, gap := range []time.Duration{0, 300, 500, 700, 900, 1200, 2500} {
		t.Run(fmt.Sprint(int(gap)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := saveOf(t, 300, time.Minute)
				for _, name := range []string{"region-a", "region-b"} {
					k := newTestKeeper(&remoteStore{store, 5 * time.Millisecond}, name)
					k.Now = virtualNow
					r, _ := newSnapshotRecovery(store, k)
					r.Now = virtualNow
					go func() { _ = k.Run(t.Context()) }()
					go func() { _ = r.Run(t.Context()) }()
					if gap > 0 {
						time.AfterFunc(restoreDelays[0]+gap*time.Millisecond, func() {
							for range minLosses {
								r.nodeLost()
							}
						})
					}
				}
				pause(3 * recoveryTime)
				require.Len(t, readAll(t, store), 300)
			})
		})
	}
}

// Prevents a stream from going on at one of two versions because the object that names the other one has been deleted.
func TestContradictionOutlivesRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		until := virtualNow().Add(time.Minute)
		lost, live := newTestKeeper(store, "lost"), newTestKeeper(store, "live")
		lost.Now, live.Now = virtualNow, virtualNow
		lost.Save([]sageorigin.Record{testRecord("1", "v1", until)})
		require.NoError(t, lost.save(t.Context()))
		live.Save([]sageorigin.Record{testRecord("1", "v2", until)})
		go func() { _ = live.Run(t.Context()) }()
		r, _ := newSnapshotRecovery(store, newTestKeeper(store, "first"))
		r.Now = virtualNow
		go func() { _ = r.Run(t.Context()) }()
		for i := range 80 {
			live.Save([]sageorigin.Record{testRecord(fmt.Sprint("live", i), "v2", until)})
			pause(100 * time.Millisecond)
		}
		for _, record := range readAll(t, store) {
			if record.Key == sageorigin.KeyOf("a", "1") {
				require.Empty(t, record.Origin.Version)
			}
		}
	})
}

// Prevents the records of streams whose callers can't return any more from keeping out new ones after the store has refused writes for long.
func TestEndedRecordsLeaveSpaceForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		store.setRefuses(true)
		k := newTestKeeper(store, "a")
		k.Now = virtualNow
		go func() { _ = k.Run(t.Context()) }()
		for i := range maxPending {
			k.Save([]sageorigin.Record{testRecord(fmt.Sprint(i), "v1", virtualNow().Add(10*time.Second))})
		}
		pause(11 * time.Second)
		k.Save([]sageorigin.Record{testRecord("new", "v1", virtualNow().Add(10*time.Second))})
		store.setRefuses(false)
		pause(time.Second)
		require.True(t, slices.ContainsFunc(readAll(t, store), func(r sageorigin.Record) bool { return r.Key == sageorigin.KeyOf("a", "new") }))
	})
}

// Prevents streams that are lost while a recovery is in progress from waiting until all records of the loss before have been sent.
func TestSecondLossIsRecoveredDuringTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := saveOf(t, 100*recoveryBatch, time.Minute)
		r, _ := newSnapshotRecovery(store, newTestKeeper(store, "survivor"))
		r.Now = virtualNow
		start := time.Now()
		var took time.Duration
		r.Restore = func(records []sageorigin.Record) {
			for _, record := range records {
				if record.Key == sageorigin.KeyOf("a", "second") && took == 0 {
					took = time.Since(start)
				}
			}
		}
		go func() { _ = r.Run(t.Context()) }()
		pause(time.Second)
		k := newTestKeeper(store, "second")
		k.Now = virtualNow
		k.Save([]sageorigin.Record{testRecord("second", "v1", virtualNow().Add(time.Minute))})
		require.NoError(t, k.save(t.Context()))
		for range minLosses {
			r.nodeLost()
		}
		pause(20 * time.Second)
		require.NotZero(t, took)
		require.Less(t, took, 3*time.Second, "the streams that began last come first")
	})
}

// Prevents streams that survivors save for lost nodes from being refused because only the objects of others were recovered.
func TestOwnObjectsAreRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(snapshotStore)
		k := newTestKeeper(store, "survivor")
		k.Now = virtualNow
		k.Save([]sageorigin.Record{testRecord("of a lost node", "v1", virtualNow().Add(time.Minute))})
		require.NoError(t, k.save(t.Context()))
		r, restored := newSnapshotRecovery(store, k)
		r.Now = virtualNow
		go func() { _ = r.Run(t.Context()) }()
		pause(restoreDelays[0] + recoveryCheck)
		require.Len(t, restored.get(), 1)
		pause(2 * time.Minute)
		require.Len(t, store.copied(), 1, "the node writes there")
	})
}
