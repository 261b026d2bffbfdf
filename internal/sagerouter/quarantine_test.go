package sagerouter

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

const (
	fatal = sagequarantine.Fingerprint(7)
	begun = sageclock.Instant(time.Hour)
)

// shelf is a store that takes objects of one kind.
type shelf struct {
	entries
	objects map[string]bool
	writes  int
	refuse  bool
}

var errShelf = errors.New("store is away")

func (s *shelf) Create(_ context.Context, _, name string, _ json.RawMessage) error {
	return s.write(func() { s.objects[name] = true })
}

func (s *shelf) Delete(_ context.Context, _, name string) error {
	return s.write(func() { delete(s.objects, name) })
}

func (s *shelf) write(do func()) error {
	s.writes++
	if s.refuse {
		return errShelf
	}
	do()
	return nil
}

// keeper returns a node's keeper before a store, with a request that is quarantined.
func keeper(s *shelf, rank int) *quarantineKeeper {
	if s.objects == nil {
		s.objects = make(map[string]bool)
	}
	b := new(sagequarantine.Tracker)
	for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
		b.RecordCrash(begun, c, fatal)
	}
	return &quarantineKeeper{Self: "vm1", Kind: "q", Book: b, Store: s, Rank: func() int { return rank }, Log: sagelog.New(io.Discard, "vm1")}
}

func TestKeeperWritesByTurns(t *testing.T) {
	s := new(shelf)
	k := keeper(s, 2)
	k.reconcile(t.Context(), begun)
	k.reconcile(t.Context(), begun.Add(2*reconcileRank-1))
	require.Zero(t, s.writes, "two nodes come first")
	k.reconcile(t.Context(), begun.Add(2*reconcileRank))
	require.Equal(t, []string{fatal.String()}, slices.Collect(maps.Keys(s.objects)))
	k.Book.Restore(begun, fatal)
	k.reconcile(t.Context(), begun.Add(time.Minute))
	require.Equal(t, 1, s.writes)
	over := begun.Add(sagequarantine.QuarantineDuration)
	k.reconcile(t.Context(), over)
	k.reconcile(t.Context(), over.Add(2*reconcileRank))
	require.Empty(t, s.objects, "its quarantine is over")
}

// Guards against calls without pause to a store that is away, and against writes by nodes that it doesn't answer.
func TestKeeperSparesAStoreThatIsAway(t *testing.T) {
	s := &shelf{refuse: true}
	k := keeper(s, 0)
	for range 5 {
		k.reconcile(t.Context(), begun)
	}
	require.Equal(t, 1, s.writes)
	k.reconcile(t.Context(), begun.Add(reconcilePause))
	require.Equal(t, 2, s.writes)
	k = keeper(s, -1)
	k.reconcile(t.Context(), begun.Add(time.Minute))
	require.Equal(t, 2, s.writes)
}

// Guards against nodes that start with an object that names no request, or don't notice that operators released one.
func TestQuarantineFollowsTheStore(t *testing.T) {
	n := &Node{Log: sagelog.New(io.Discard, "vm1")}
	object := func(name string) sagefollow.Object { return sagefollow.Object{Name: name, Revision: 1} }
	n.applyQuarantines([]sagefollow.Change{{Object: object("no fingerprint")}, {Object: object(fatal.String())}}, false)
	_, ok := n.quarantine.QuarantinedUntil(sageclock.Now(), fatal)
	require.True(t, ok)
	n.applyQuarantines([]sagefollow.Change{{Object: object(fatal.String()), Deleted: true}, {Object: object("no fingerprint"), Deleted: true}}, false)
	_, ok = n.quarantine.QuarantinedUntil(sageclock.Now(), fatal)
	require.False(t, ok)
}
