package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// countingStore is a store that counts the bytes that are written to it.
type countingStore struct {
	*remoteStore
	creates, writes, bytes, largest int
}

func (s *countingStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (bool, error) {
	s.creates++
	return s.remoteStore.Create(ctx, kind, name, spec)
}

func (s *countingStore) SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error {
	s.writes++
	s.bytes += len(status)
	s.largest = max(s.largest, len(status))
	return s.remoteStore.SetStatus(ctx, kind, name, revision, status)
}

// costRecord returns the record of a stream with names of the usual length.
func costRecord(i int, until sageclock.Instant) sageorigin.Record {
	return sageorigin.Record{Key: sageorigin.KeyOf("account", fmt.Sprint(i)), Origin: sageorigin.Origin{Service: "service-one", Version: fmt.Sprint("v1.", i%2)}, Until: until}
}

// Prevents a writer from calling the store more often, from falling behind or from keeping more objects than callers may return
// to, if a fleet is large. The log has the costs.
func TestCostOfWriter(t *testing.T) {
	const perNode, lifetime, seconds, copies = 90, 11 * time.Second, 30, 2
	for _, nodes := range []int{10, 91, 133, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				perWriter := perNode * nodes / maxWriters
				if nodes > maxWriters {
					perWriter = perNode * (copies*(nodes-maxWriters) + maxWriters) / maxWriters
				}
				store := &countingStore{remoteStore: &remoteStore{new(snapshotStore), 5 * time.Millisecond}}
				k := newSnapshotKeeper("", "a", store, func() int { return maxWriters }, sagelog.Logger{})
				k.Now = virtualNow
				go func() { _ = k.Run(t.Context()) }()
				began := 0
				for ms := range seconds * 1000 {
					var records []sageorigin.Record
					for ; began < perWriter*(ms+1)/1000; began++ {
						records = append(records, costRecord(began, virtualNow().Add(lifetime)))
					}
					k.Save(records)
					pause(time.Millisecond)
				}
				pause(time.Second)
				calls := store.creates + store.writes
				require.LessOrEqual(t, calls, 2*int(seconds*time.Second/snapshotInterval))
				r, _ := newSnapshotRecovery(store.snapshotStore, newTestKeeper(store.snapshotStore, "b"))
				r.Now = virtualNow
				require.NoError(t, r.load(t.Context()))
				open := perWriter * int((lifetime-time.Second)/time.Second)
				for i := began - open; i < began; i++ {
					_, ok := r.records.byKey[costRecord(i, 0).Key]
					require.True(t, ok, "stream %d of %d", i, began)
				}
				total := 0
				for _, o := range store.objects {
					total += len(o.Status)
				}
				t.Logf("%d records/s: %.1f calls/s (fleet %.0f), %.0f bytes a write, largest %d, %.0f KB/s, %d objects with %d records, %d KB",
					perWriter, float64(calls)/seconds, float64(calls*maxWriters)/seconds, float64(store.bytes)/float64(store.writes), store.largest,
					float64(store.bytes)/seconds/1000, len(store.objects), len(r.records.order), total/1000)
			})
		})
	}
}

// nullStore takes writes and keeps nothing.
type nullStore struct{ entryStore }

func (*nullStore) Create(context.Context, string, string, json.RawMessage) (bool, error) {
	return true, nil
}

func (*nullStore) SetStatus(context.Context, string, string, uint64, json.RawMessage) error {
	return nil
}

// BenchmarkSave measures a write of some records that begins a segment.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{5, 90, 130, 360, maxPending} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newTestKeeper(new(nullStore), "a")
			now := sageclock.Now()
			k.Now = func() sageclock.Instant { return now }
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				records := make([]sageorigin.Record, n)
				for j := range records {
					i++
					records[j] = sageorigin.Record{Key: sageorigin.Key{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}, Origin: sageorigin.Origin{Service: "service-one", Version: "v1.1"}, Until: now.Add(time.Second)}
				}
				now = now.Add(2 * time.Second)
				for j := range records {
					records[j].Until = now.Add(time.Second)
				}
				k.Save(records)
				if err := k.save(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// listStore is a store with a number of objects.
type listStore struct {
	entryStore
	page sagefollow.Page
}

func (s *listStore) List(context.Context, string, string) (sagefollow.Page, error) {
	return s.page, nil
}

// BenchmarkLoad measures how long a node takes to decode the records of a fleet, each of which two nodes have written.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{1000, 10_000, 90_000, 396_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := sageclock.Now()
			s := new(listStore)
			bytes := 0
			for i := 0; i < n; i += segmentRecords {
				var records []sageorigin.Record
				for j := i; j < min(n, i+segmentRecords); j++ {
					records = append(records, costRecord(j, now.Add(time.Hour)))
				}
				snapshot := sageorigin.NewSnapshot(now, records)
				status, err := json.Marshal(&snapshot)
				if err != nil {
					b.Fatal(err)
				}
				bytes += 2 * len(status)
				for _, node := range []string{"a", "b"} {
					s.page.Changes = append(s.page.Changes, sagefollow.Change{Object: sagefollow.Object{Name: fmt.Sprint(node, i), Status: status}})
				}
			}
			r, _ := newSnapshotRecovery(s, newTestKeeper(s, "c"))
			r.Now = func() sageclock.Instant { return now }
			b.ReportAllocs()
			for b.Loop() {
				if err := r.load(b.Context()); err != nil || len(r.records.order) != n {
					b.Fatal(len(r.records.order), err)
				}
			}
			b.ReportMetric(float64(bytes)/1e6, "MB")
		})
	}
}
