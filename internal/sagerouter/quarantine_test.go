package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

const startTime = sageclock.Instant(time.Hour)

var crashingRequest = sagequarantine.Suspect{Kind: sagequarantine.Request, Fingerprint: 7, Label: "a request"}

// objectStore is a store that keeps the names of objects and counts the writes.
type objectStore struct {
	entryStore
	objects map[string]bool
	writes  int
	refuse  bool
}

var errStoreUnavailable = errors.New("store unreachable")

func (s *objectStore) Create(_ context.Context, _, name string, _ json.RawMessage) (bool, error) {
	created := !s.objects[name]
	return created, s.write(func() { s.objects[name] = true })
}

func (s *objectStore) Delete(_ context.Context, _, name string) error {
	return s.write(func() { delete(s.objects, name) })
}

func (s *objectStore) write(do func()) error {
	s.writes++
	if s.refuse {
		return errStoreUnavailable
	}
	do()
	return nil
}

// newReconciler returns the reconciler of a node of the given rank that has one quarantined request.
func newReconciler(s *objectStore, rank int) *quarantineReconciler {
	if s.objects == nil {
		s.objects = make(map[string]bool)
	}
	tracker := new(sagequarantine.Tracker)
	for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
		tracker.RecordCrash(startTime, sagequarantine.Crash{ID: c, At: startTime.Add(-time.Duration(c) * time.Second)}, crashingRequest)
	}
	return &quarantineReconciler{Self: "vm1", Kind: "q", Tracker: tracker, Store: s, Rank: func() int { return rank }, Log: sagelog.New(io.Discard, "vm1")}
}

func TestReconcilerWritesAfterDelayForRank(t *testing.T) {
	s := new(objectStore)
	r := newReconciler(s, 2)
	r.reconcile(t.Context(), startTime)
	r.reconcile(t.Context(), startTime.Add(2*reconcileRankDelay-1))
	require.Zero(t, s.writes, "two nodes have lower ranks")
	r.reconcile(t.Context(), startTime.Add(2*reconcileRankDelay))
	require.Equal(t, []string{crashingRequest.Name()}, slices.Collect(maps.Keys(s.objects)))
	r.Tracker.Restore(startTime, crashingRequest)
	r.reconcile(t.Context(), startTime.Add(time.Minute))
	require.Equal(t, 1, s.writes)
	expiry := startTime.Add(sagequarantine.QuarantineDuration)
	r.reconcile(t.Context(), expiry)
	r.reconcile(t.Context(), expiry.Add(2*reconcileRankDelay))
	require.Empty(t, s.objects, "the quarantine has expired")
}

// An unreachable store must not be called without a pause, nor written to by nodes that it doesn't answer.
func TestReconcilerPausesWhileStoreIsUnreachable(t *testing.T) {
	s := &objectStore{refuse: true}
	r := newReconciler(s, 0)
	for range 5 {
		r.reconcile(t.Context(), startTime)
	}
	require.Equal(t, 1, s.writes)
	r.reconcile(t.Context(), startTime.Add(reconcileRetryDelay))
	require.Equal(t, 2, s.writes)
	r = newReconciler(s, -1)
	r.reconcile(t.Context(), startTime.Add(time.Minute))
	require.Equal(t, 2, s.writes)
}

// An object whose name is no fingerprint must be skipped, and a request whose object operators deleted released.
func TestQuarantineFollowsStore(t *testing.T) {
	n := &Node{Log: sagelog.New(io.Discard, "vm1")}
	n.relay = &sagerelay.Service{Quarantine: &n.quarantine}
	object := func(name string) sagefollow.Object { return sagefollow.Object{Name: name, Revision: 1} }
	n.applyQuarantines([]sagefollow.Change{{Object: object("no fingerprint")}, {Object: object(crashingRequest.Name())}}, false)
	require.Len(t, n.quarantine.Quarantined(sageclock.Now(), crashingRequest), 1)
	n.applyQuarantines([]sagefollow.Change{{Object: object(crashingRequest.Name()), Deleted: true}, {Object: object("no fingerprint"), Deleted: true}}, false)
	require.Empty(t, n.quarantine.Quarantined(sageclock.Now(), crashingRequest))
}

// Prevents the loss of a quarantine that is decided while all nodes leave, before they start again.
func TestLeavingNodesWriteQuarantines(t *testing.T) {
	ranks := make(map[int]int)
	for i := range 100 {
		node := fmt.Sprint("vm", i)
		require.Equal(t, 3, writerRank(3, false, node))
		rank := writerRank(0, true, node)
		require.GreaterOrEqual(t, rank, firstLeavingRank, "nodes that stay write first, and only they send trials")
		require.Less(t, time.Duration(rank)*reconcileRankDelay, 3*time.Second, "before they have stopped")
		ranks[rank]++
	}
	require.Len(t, ranks, leavingRanks)
	s := new(objectStore)
	r := newReconciler(s, writerRank(0, true, "vm1"))
	r.reconcile(t.Context(), startTime)
	require.Zero(t, s.writes)
	r.reconcile(t.Context(), startTime.Add(3*time.Second))
	require.Len(t, s.objects, 1)
}

// Prevents operators from finding quarantines that name no part, account or service though some node knows them.
func TestNodeThatCannotDescribeSuspectWritesLater(t *testing.T) {
	s := new(objectStore)
	r := newReconciler(s, 0)
	r.Tracker = new(sagequarantine.Tracker)
	for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
		r.Tracker.RecordCrash(startTime, sagequarantine.Crash{ID: c, At: startTime.Add(-time.Duration(c) * time.Second)}, sagequarantine.NewPart("acc", "s", "m", 7))
	}
	r.reconcile(t.Context(), startTime)
	r.reconcile(t.Context(), startTime.Add(unlabelledRanks*reconcileRankDelay-1))
	require.Zero(t, s.writes)
	r.reconcile(t.Context(), startTime.Add(unlabelledRanks*reconcileRankDelay))
	require.Equal(t, 1, s.writes)
}

// Prevents a node that learns of a quarantine from the store from refusing more than the others do.
func TestCompanionsAreKeptInTheStore(t *testing.T) {
	a, b := sagequarantine.NewPart("acc", "s", "m", 1), sagequarantine.NewPart("acc", "s", "m", 2)
	spec, err := json.Marshal(quarantineSpec{Crashes: 3, By: "vm2", Suspect: "part 1", With: []string{b.Name(), "no name"}})
	require.NoError(t, err)
	n := &Node{Log: sagelog.New(io.Discard, "vm1")}
	n.relay = &sagerelay.Service{Quarantine: &n.quarantine}
	n.applyQuarantines([]sagefollow.Change{{Object: sagefollow.Object{Name: a.Name(), Revision: 1, Spec: spec}}}, false)
	require.Len(t, n.quarantine.Quarantined(sageclock.Now(), a, b), 1)
	require.Empty(t, n.quarantine.Quarantined(sageclock.Now(), a))
	require.Empty(t, n.quarantine.Quarantined(sageclock.Now(), b))
}

// Prevents a node that writes a quarantine while an operator deletes it from bringing it back.
func TestQuarantineWrittenDuringReleaseIsDeleted(t *testing.T) {
	s := &objectStore{objects: make(map[string]bool)}
	n := &Node{Log: sagelog.New(io.Discard, "vm1")}
	n.Settings.Node, n.relay = "vm1", &sagerelay.Service{Quarantine: &n.quarantine}
	r := &quarantineReconciler{Self: "vm1", Kind: "q", Tracker: &n.quarantine, Store: s, Rank: func() int { return 0 }, Log: n.Log}
	now := sageclock.Now()
	for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
		n.quarantine.RecordCrash(now, sagequarantine.Crash{ID: c, At: now.Add(-time.Duration(c) * time.Second)}, crashingRequest)
	}
	apply := func(revision uint64, by string, deleted bool) {
		spec, err := json.Marshal(quarantineSpec{Crashes: 3, By: by})
		require.NoError(t, err)
		n.applyQuarantines([]sagefollow.Change{{Object: sagefollow.Object{Name: crashingRequest.Name(), Revision: revision, Spec: spec}, Deleted: deleted}}, false)
	}
	r.reconcile(t.Context(), now)
	require.Len(t, s.objects, 1)
	apply(2, "vm2", true) // another node's object, which an operator deleted before this node's write arrived
	apply(3, "vm1", false)
	require.Empty(t, n.quarantine.Quarantined(sageclock.Now(), crashingRequest))
	r.reconcile(t.Context(), now)
	require.Empty(t, s.objects)
	apply(4, "vm1", true)
	apply(5, "vm2", false)
	require.Len(t, n.quarantine.Quarantined(sageclock.Now(), crashingRequest), 1, "a later one of another node")
}
