package sageconfigd

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagesync"
	"sagestand.example/sagestand/pkg/sageticket"
)

// fakeStore is a store that can be unavailable, whose watches can stall, and that can return an older version.
type fakeStore struct {
	sageobject.Memory
	unavailable, watchStalls, rolledBack atomic.Bool
}

func newFakeStore() *fakeStore {
	p := new(fakeStore)
	p.Before = func(sageobject.Op, string) error {
		if p.unavailable.Load() {
			return fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
		}
		return nil
	}
	return p
}

func (p *fakeStore) Watch(ctx context.Context, key string, after int64) (sageobject.Object, error) {
	if p.watchStalls.Load() {
		<-ctx.Done()
		return sageobject.Object{}, ctx.Err()
	}
	return p.Memory.Watch(ctx, key, after)
}

func (p *fakeStore) List(ctx context.Context, prefix string) ([]sageobject.Meta, error) {
	metas, err := p.Memory.List(ctx, prefix)
	if p.rolledBack.Load() {
		for i := range metas {
			metas[i].Version--
		}
	}
	return metas, err
}

// numCalls returns the number of calls to the store.
func (p *fakeStore) numCalls() (n int64) {
	for _, c := range p.Calls() {
		n += c
	}
	return n
}

// fakeMembers is a membership that a test controls.
type fakeMembers struct {
	live   []string
	quorum func(now time.Time) time.Time
	nodes  atomic.Pointer[[]NodeRevision]
}

func (m *fakeMembers) setNodes(nodes ...NodeRevision) { m.nodes.Store(&nodes) }

func (m *fakeMembers) Live() []string                   { return m.live }
func (m *fakeMembers) QuorumAt(now time.Time) time.Time { return m.quorum(now) }

func (m *fakeMembers) Nodes() []NodeRevision {
	if ns := m.nodes.Load(); ns != nil {
		return *ns
	}
	return nil
}

func dcTicket(number uint64, inService bool) *sageconfig.Ticket {
	return &sageconfig.Ticket{Number: number, Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"},
		DataCentre: &sageconfig.DataCentre{InService: inService},
	}}}
}

// acceptTickets accepts the tickets from..to as another node does, and compacts the tail.
func acceptTickets(t *testing.T, p *fakeStore, from, to uint64) {
	t.Helper()
	a := &sageticket.Acceptor{Store: &p.Memory, KeepRecords: 1}
	for n := from; n <= to; n++ {
		_, err := a.Submit(t.Context(), dcTicket(n, n%2 == 0))
		require.NoError(t, err)
	}
	require.NoError(t, a.Compact(t.Context()))
}

// startService runs a service until the end of the test.
func startService(t *testing.T, p *fakeStore, m Members, policy sagesync.IsolationPolicy) *Service {
	s := &Service{Node: "vm-0", Store: p, Members: m, Rule: sagesync.Rule{
		Isolated: policy, MaxEvidenceAge: sagesync.DefaultMaxEvidenceAge, CatchUpTimeout: sagesync.DefaultCatchUpTimeout,
	}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return s
}
