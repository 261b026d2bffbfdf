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

// platform is a store that can be out, whose watches can hang, and that can go back in time.
type platform struct {
	sageobject.Memory
	out, hang, back atomic.Bool
}

func newPlatform() *platform {
	p := new(platform)
	p.Before = func(sageobject.Op, string) error {
		if p.out.Load() {
			return fmt.Errorf("injected: %w", sageobject.ErrUnavailable)
		}
		return nil
	}
	return p
}

func (p *platform) Watch(ctx context.Context, key string, after int64) (sageobject.Object, error) {
	if p.hang.Load() {
		<-ctx.Done()
		return sageobject.Object{}, ctx.Err()
	}
	return p.Memory.Watch(ctx, key, after)
}

func (p *platform) List(ctx context.Context, prefix string) ([]sageobject.Meta, error) {
	metas, err := p.Memory.List(ctx, prefix)
	if p.back.Load() {
		for i := range metas {
			metas[i].Version--
		}
	}
	return metas, err
}

// total returns the number of calls to the store.
func (p *platform) total() (n int64) {
	for _, c := range p.Calls() {
		n += c
	}
	return n
}

// members is a membership whose nodes a test sets.
type members struct {
	live   []string
	quorum func(now time.Time) time.Time
	nodes  atomic.Pointer[[]NodeRevision]
}

func (m *members) set(nodes ...NodeRevision) { m.nodes.Store(&nodes) }

func (m *members) Live() []string                   { return m.live }
func (m *members) QuorumAt(now time.Time) time.Time { return m.quorum(now) }

func (m *members) Nodes() []NodeRevision {
	if ns := m.nodes.Load(); ns != nil {
		return *ns
	}
	return nil
}

func dcTicket(number uint64, in bool) *sageconfig.Ticket {
	return &sageconfig.Ticket{Number: number, Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"},
		DataCentre: &sageconfig.DataCentre{InService: in},
	}}}
}

// accept accepts tickets through some other node.
func accept(t *testing.T, p *platform, from, to uint64) {
	t.Helper()
	a := &sageticket.Acceptor{Store: &p.Memory, KeepRecords: 1}
	for n := from; n <= to; n++ {
		_, err := a.Submit(t.Context(), dcTicket(n, n%2 == 0))
		require.NoError(t, err)
	}
	require.NoError(t, a.Compact(t.Context()))
}

// start runs a service until the test's end.
func start(t *testing.T, p *platform, m Members, way sagesync.IsolationPolicy) *Service {
	s := &Service{Node: "vm-0", Store: p, Members: m, Rule: sagesync.Rule{
		Isolated: way, MaxEvidenceAge: sagesync.DefaultMaxEvidenceAge, CatchUpTimeout: sagesync.DefaultCatchUpTimeout,
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
