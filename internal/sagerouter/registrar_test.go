package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageshare"
)

// entryStore is a store of node entries that counts its calls.
type entryStore struct {
	changes []sagefollow.Change
	calls   int
	refuse  bool
}

func (s *entryStore) List(context.Context, string, string) (sagefollow.Page, error) {
	s.calls++
	if s.refuse {
		return sagefollow.Page{}, context.DeadlineExceeded
	}
	return sagefollow.Page{Changes: s.changes, AsOf: 1}, nil
}

func (s *entryStore) ListStale(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	return s.List(ctx, kind, after)
}

func (s *entryStore) Watch(context.Context, string, uint64, time.Duration) (sagefollow.Delta, error) {
	return sagefollow.Delta{}, nil
}

func (s *entryStore) ResetConnections() {}

func (s *entryStore) SetStatus(context.Context, string, string, uint64, json.RawMessage) error {
	return nil
}

func (s *entryStore) Delete(context.Context, string, string) error { return nil }

func (s *entryStore) Create(_ context.Context, _, name string, spec json.RawMessage) (bool, error) {
	s.calls++
	if slices.ContainsFunc(s.changes, func(c sagefollow.Change) bool { return c.Object.Name == name }) {
		return false, nil
	}
	s.changes = append(s.changes, sagefollow.Change{Object: sagefollow.Object{Name: name, Spec: spec}})
	return true, nil
}

// newRegistrar returns the registrar of a node that starts.
func newRegistrar(t *testing.T, i int, first bool, store *entryStore) *registrar {
	t.Helper()
	mesh := &sagemesh.Service{Name: fmt.Sprint("vm", i), Address: "127.0.0.1:0", OnHeartbeat: func(*sagemesh.Heartbeat, sageclock.Instant) {}}
	require.NoError(t, mesh.Open())
	return &registrar{node: &Node{
		Settings: Settings{Node: fmt.Sprint("vm", i), DataCentre: "north", FirstStart: first, Listen: Listen{Mesh: fmt.Sprintf("10.0.0.%d:7000", i+1)}},
		Store:    store, Log: sagelog.New(io.Discard, "vm"), mesh: mesh,
		fleet: &fleet{retryLimiter: sageshare.RetryLimiter{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Start: sageclock.Now()}},
	}}
}

// Prevents a node that restarts or is added from getting retries at once: its predecessor, or the node that it replaces, may have
// sent its share just before.
func TestOnlyNodesOfANewFleetStartWithRetries(t *testing.T) {
	store := new(entryStore)
	allow := func(m *registrar) bool {
		return m.node.fleet.retryLimiter.Allow(m.node.fleet.retryLimiter.Start, "s", m.node.fleetSize())
	}
	added := newRegistrar(t, 1, false, store)
	require.False(t, allow(added), "the fleet isn't known yet")
	require.NoError(t, added.register(t.Context()))
	require.False(t, allow(added))
	restarted := newRegistrar(t, 1, false, store)
	require.NoError(t, restarted.register(t.Context()))
	require.False(t, allow(restarted))
	first := newRegistrar(t, 2, true, store)
	require.NoError(t, first.create(t.Context()))
	require.NoError(t, first.register(t.Context()))
	require.True(t, allow(first))
	require.Equal(t, 2, first.node.fleetSize())
	restartedFirst := newRegistrar(t, 2, true, store)
	require.NoError(t, restartedFirst.create(t.Context()))
	require.NoError(t, restartedFirst.register(t.Context()))
	require.False(t, allow(restartedFirst))
}

// When all nodes of a large fleet restarted, each wrote its entry although the store had it. These calls alone
// were as many as a day without faults needs for everything else.
func TestRegisteredNodeOnlyListsAtStart(t *testing.T) {
	store := new(entryStore)
	for i := range 5 {
		m := newRegistrar(t, i, true, store)
		require.NoError(t, m.create(t.Context()))
		require.NoError(t, m.register(t.Context()))
	}
	require.Equal(t, 10, store.calls, "at the first start a node registers before it lists")
	store.calls = 0
	for i := range 5 {
		m := newRegistrar(t, i, false, store)
		require.NoError(t, m.register(t.Context()))
		require.Len(t, *m.node.registeredNames.Load(), 5)
	}
	require.Equal(t, 5, store.calls)
}

// A node that is new to a running fleet must register, or the others could not find it in the store. A node whose
// entry has an outdated address tries to register too, which leaves the entry unchanged, and must still start.
func TestUnregisteredNodeRegistersAtStart(t *testing.T) {
	store := new(entryStore)
	m := newRegistrar(t, 9, false, store)
	require.NoError(t, m.register(t.Context()))
	require.Equal(t, 3, store.calls)
	require.Len(t, store.changes, 1)
	require.Equal(t, []string{"vm9"}, *m.node.registeredNames.Load())

	moved := newRegistrar(t, 9, false, store)
	moved.node.Settings.Listen.Mesh = "10.0.9.9:7000"
	require.NoError(t, moved.register(t.Context()))
	require.Equal(t, []string{"vm9"}, *moved.node.registeredNames.Load(), "a node with an outdated entry continues; the others discover it only by its own heartbeats")

	store = &entryStore{refuse: true}
	m = newRegistrar(t, 9, false, store)
	require.ErrorIs(t, m.register(t.Context()), context.DeadlineExceeded)
	require.Nil(t, m.node.registeredNames.Load(), "a failed registration is tried again")
}
