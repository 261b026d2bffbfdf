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
)

// entries are a store of node entries that counts its calls.
type entries struct {
	changes []sagefollow.Change
	calls   int
	refuse  bool
}

func (s *entries) List(context.Context, string, string) (sagefollow.Page, error) {
	s.calls++
	if s.refuse {
		return sagefollow.Page{}, context.DeadlineExceeded
	}
	return sagefollow.Page{Changes: s.changes, AsOf: 1}, nil
}

func (s *entries) Watch(context.Context, string, uint64, time.Duration) (sagefollow.Delta, error) {
	return sagefollow.Delta{}, nil
}

func (s *entries) ResetConnections() {}

func (s *entries) SetStatus(context.Context, string, string, uint64, json.RawMessage) error {
	return nil
}

func (s *entries) Delete(context.Context, string, string) error { return nil }

func (s *entries) Create(_ context.Context, _, name string, spec json.RawMessage) error {
	s.calls++
	if slices.ContainsFunc(s.changes, func(c sagefollow.Change) bool { return c.Object.Name == name }) {
		return nil
	}
	s.changes = append(s.changes, sagefollow.Change{Object: sagefollow.Object{Name: name, Spec: spec}})
	return nil
}

// member returns the registration of a node that starts.
func member(t *testing.T, i int, first bool, store *entries) *members {
	t.Helper()
	mesh := &sagemesh.Service{Address: "127.0.0.1:0", OnHeartbeat: func(*sagemesh.Heartbeat, sageclock.Instant) {}}
	require.NoError(t, mesh.Open())
	return &members{node: &Node{
		Settings: Settings{Node: fmt.Sprint("vm", i), DataCentre: "north", FirstStart: first, Listen: Listen{Mesh: fmt.Sprintf("10.0.0.%d:7000", i+1)}},
		Store:    store, Log: sagelog.New(io.Discard, "vm"), mesh: mesh,
	}}
}

// All nodes of a large fleet lose power and start again. Each of them registers although it stands in the
// store, and the calls for that alone are as many as a quiet day needs for everything else.
func TestAStartedNodeThatIsRegisteredOnlyLists(t *testing.T) {
	store := new(entries)
	for i := range 5 {
		require.NoError(t, member(t, i, true, store).register(t.Context()))
	}
	require.Equal(t, 10, store.calls, "at the first start it registers before it lists")
	store.calls = 0
	for i := range 5 {
		m := member(t, i, false, store)
		require.NoError(t, m.register(t.Context()))
		require.Len(t, *m.node.names.Load(), 5)
	}
	require.Equal(t, 5, store.calls)
}

// A node is added to a running fleet, or stands in the store with an address that it had before: nobody
// would find it there.
func TestAStartedNodeThatIsNotRegisteredRegisters(t *testing.T) {
	store := new(entries)
	m := member(t, 9, false, store)
	require.NoError(t, m.register(t.Context()))
	require.Equal(t, 3, store.calls)
	require.Len(t, store.changes, 1)
	require.Equal(t, []string{"vm9"}, *m.node.names.Load())

	moved := member(t, 9, false, store)
	moved.node.Settings.Listen.Mesh = "10.0.9.9:7000"
	require.NoError(t, moved.register(t.Context()))
	require.Equal(t, []string{"vm9"}, *moved.node.names.Load(), "it goes on, though the others hear of it by itself only")

	store = &entries{refuse: true}
	m = member(t, 9, false, store)
	require.ErrorIs(t, m.register(t.Context()), context.DeadlineExceeded)
	require.Nil(t, m.node.names.Load(), "it tries again")
}
