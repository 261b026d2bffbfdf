package sageupstream

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: id + ":80", DataCentre: "north"}
}

func ids(s *Set) []string {
	var out []string
	for _, e := range s.Available("s") {
		out = append(out, e.ID)
	}
	return out
}

// During a store outage of five seconds the leases of running engines lapse. The deletions arrive
// when the store returns, the renewals a second later. Callers must not be refused in between.
func TestLapsedEntriesAreKeptDuringGrace(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.Put(entry("b"))
	r.StoreUnreachable()
	r.StoreReachable(at(5000))
	r.Delete(at(5010), "a")
	r.Delete(at(5010), "b")
	require.Equal(t, []string{"a", "b"}, ids(r.Snapshot()))
	r.Put(entry("a"))
	require.False(t, r.ExpireLapsed(at(6900)))
	require.True(t, r.ExpireLapsed(at(7100)))
	require.Equal(t, []string{"a"}, ids(r.Snapshot()), "b was not renewed")
}

// An engine that leaves some time after an outage must not get further requests because its deletion is
// taken for a lapse.
func TestDeletionAfterLapseWindowIsImmediate(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.StoreUnreachable()
	r.StoreReachable(at(1000))
	r.Delete(at(2600), "a")
	require.Empty(t, ids(r.Snapshot()))
}

// The entry of a drained engine that is deleted during an outage didn't lapse: the engine has left.
func TestDrainingEntryIsDeletedImmediately(t *testing.T) {
	r := new(Registry)
	e := entry("a")
	e.Draining = true
	r.Put(e)
	r.StoreUnreachable()
	r.Delete(at(0), "a")
	require.Zero(t, r.Snapshot().Len())
}

// After a request has chosen an engine, the address may go to another upstream or the data centre may
// be taken out of service. The check before the send must notice it.
func TestUsableRequiresUnchangedEntry(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	old := r.Snapshot().Get("a")
	require.True(t, r.Snapshot().Usable(old))
	moved := entry("a")
	moved.Address = "other:80"
	r.Put(moved)
	require.False(t, r.Snapshot().Usable(old))
	again := entry("a")
	again.Born = 7
	r.Put(again)
	require.False(t, r.Snapshot().Usable(old), "new start with the same id")
	r.Put(entry("a"))
	r.SetClosedDataCentres(map[string]bool{"north": true})
	require.False(t, r.Snapshot().Usable(old))
	require.Empty(t, ids(r.Snapshot()))
	r.SetClosedDataCentres(nil)
	require.Equal(t, []string{"a"}, ids(r.Snapshot()))
}

func ExampleRegistry() {
	r := new(Registry)
	r.Put(Entry{ID: "e1", Service: "chat", Address: "10.0.0.1:80"})
	r.Put(Entry{ID: "e2", Service: "chat", Address: "10.0.0.2:80", Draining: true})
	for _, e := range r.Snapshot().Available("chat") {
		fmt.Println(e.ID)
	}
	// Output: e1
}

// Engines whose entry was removed without notice run on for seconds. Others can copy from their cache
// only while their address is known.
func TestDepartedIsReachableForLingerTime(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.Delete(at(100), "a")
	s := r.Snapshot()
	require.Nil(t, s.Get("a"))
	require.NotNil(t, s.Reachable(at(2000), "a"))
	require.Nil(t, s.Reachable(at(2200), "a"))
	r.Put(entry("b"))
	r.Delete(at(5000), "b")
	require.Len(t, r.departed, 1, "a's linger time is over")
}

// The cache contents of an upstream are forgotten when it has stopped, but not when its entry lapsed
// and was renewed.
func TestTakeStoppedReturnsEachUpstreamOnce(t *testing.T) {
	r := new(Registry)
	for _, id := range []string{"a", "b", "c"} {
		r.Put(entry(id))
	}
	r.Delete(at(100), "a")
	r.Delete(at(100), "b")
	require.Empty(t, r.TakeStopped(at(2000)), "both may still run")
	r.Put(entry("b"))
	r.Delete(at(2200), "c") // calls sweepDeparted as well
	require.Equal(t, []string{"a"}, r.TakeStopped(at(2300)))
	require.Empty(t, r.TakeStopped(at(2400)))
	require.Equal(t, []string{"c"}, r.TakeStopped(at(9000)))
}

// Only this node was cut off from the store. More than a second after the store is reachable again, an
// upstream leaves. If the grace period started with the deletion, the upstream would get requests for
// two more seconds, 41 ms longer than is allowed for a leaving one.
func TestGraceStartsWithStoreReturn(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.Put(entry("b"))
	r.StoreUnreachable()
	r.Delete(at(900), "b")
	r.StoreReachable(at(1000))
	r.Delete(at(2300), "a")
	require.Equal(t, []string{"a", "b"}, ids(r.Snapshot()), "both may have lapsed")
	require.False(t, r.ExpireLapsed(at(2900)))
	require.True(t, r.ExpireLapsed(at(3000)), "the grace ends two seconds after the store's return")
	require.Empty(t, ids(r.Snapshot()))
	r.Put(entry("c"))
	r.Delete(at(3100), "c")
	require.Empty(t, ids(r.Snapshot()))
}

// Prevents a registered number of slots that no upstream can have from making sums overflow.
func TestSlotsAreBounded(t *testing.T) {
	for _, tt := range []struct{ slots, want int }{{-1, 0}, {math.MinInt64, 0}, {0, 0}, {64, 64}, {MaxSlots, MaxSlots}, {math.MaxInt64, MaxSlots}} {
		var r Registry
		r.Put(Entry{ID: "u", Service: "s", Slots: tt.slots})
		require.Equal(t, tt.want, r.Snapshot().Get("u").Slots, tt.slots)
	}
}
