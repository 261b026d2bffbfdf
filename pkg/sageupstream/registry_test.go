package sageupstream

import (
	"fmt"
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

// Callers are refused after a store outage of five seconds though every engine works: the leases
// lapsed meanwhile, the deletions arrive with the return, and the renewals a second later.
func TestLapsedEntriesStayUntilTheyCouldBeRenewed(t *testing.T) {
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
	require.Equal(t, []string{"a"}, ids(r.Snapshot()), "b stayed missing and is gone")
}

// An engine that left gets work for two more seconds after the next outage, or for ever, if its
// deletion counts as a lapse without one.
func TestDeletionWithoutOutageTakesEffectAtOnce(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.StoreUnreachable()
	r.StoreReachable(at(1000))
	r.Delete(at(2600), "a")
	require.Empty(t, ids(r.Snapshot()))
}

// A drained engine whose entry goes during an outage has left; it isn't a lapse.
func TestDrainingEntryNeverLapses(t *testing.T) {
	r := new(Registry)
	e := entry("a")
	e.Draining = true
	r.Put(e)
	r.StoreUnreachable()
	r.Delete(at(0), "a")
	require.Zero(t, r.Snapshot().Len())
}

// A request picked an engine, then the address went to another service or the data centre was taken
// out: the check at the moment of sending has to see it.
func TestUsableLooksAtTheVeryEntry(t *testing.T) {
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
	require.False(t, r.Snapshot().Usable(old), "a new start under the same id")
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

// Engines whose entry was taken back without notice go on running for seconds; their cache is lost to
// the fleet if nobody can name their address.
func TestDepartedStaysReachableForAWhile(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.Delete(at(100), "a")
	s := r.Snapshot()
	require.Nil(t, s.Get("a"))
	require.NotNil(t, s.Reachable(at(2000), "a"))
	require.Nil(t, s.Reachable(at(2200), "a"))
	r.Put(entry("b"))
	r.Delete(at(5000), "b")
	require.Len(t, r.left, 1, "what is over is forgotten")
}

// What an upstream held is forgotten when it has stopped; one that lapsed and came back has not.
func TestEndedNamesEachStoppedUpstreamOnce(t *testing.T) {
	r := new(Registry)
	for _, id := range []string{"a", "b", "c"} {
		r.Put(entry(id))
	}
	r.Delete(at(100), "a")
	r.Delete(at(100), "b")
	require.Empty(t, r.TakeStopped(at(2000)), "they still run")
	r.Put(entry("b"))
	r.Delete(at(2200), "c") // sweeps as well
	require.Equal(t, []string{"a"}, r.TakeStopped(at(2300)))
	require.Empty(t, r.TakeStopped(at(2400)))
	require.Equal(t, []string{"c"}, r.TakeStopped(at(9000)))
}

// A node was cut off from the store, which went on serving the others, and is back for more than a second
// when an upstream leaves. Its entry's removal was taken for a lapse in an outage and the upstream used
// for two more seconds from the removal on, 41 ms longer than a leaving one may be.
func TestRemovalSomeTimeAfterTheReturnIsNoNewGrace(t *testing.T) {
	r := new(Registry)
	r.Put(entry("a"))
	r.Put(entry("b"))
	r.StoreUnreachable()
	r.Delete(at(900), "b")
	r.StoreReachable(at(1000))
	r.Delete(at(2300), "a")
	require.Equal(t, []string{"a", "b"}, ids(r.Snapshot()), "both may only have lapsed")
	require.False(t, r.ExpireLapsed(at(2900)))
	require.True(t, r.ExpireLapsed(at(3000)), "what lapsed is back two seconds after the store's return")
	require.Empty(t, ids(r.Snapshot()))
	r.Put(entry("c"))
	r.Delete(at(3100), "c")
	require.Empty(t, ids(r.Snapshot()))
}
