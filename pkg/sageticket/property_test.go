package sageticket

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// stateMachine runs acceptors against one store and records the outcomes that they reported.
type stateMachine struct {
	store      *faultyStore
	byRevision map[uint64]*sageconfig.Ticket // by revision, as seen in heads
	accepted   map[string]*sageconfig.Ticket // by digest
	rejected   map[string]bool
	lastState  *sageconfig.State
	base       *Loaded
}

func drawTicket(t *rapid.T) *sageconfig.Ticket {
	tk := &sageconfig.Ticket{Number: rapid.Uint64Range(1, 300).Draw(t, "number")}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string]).Draw(t, "keys")
	for _, n := range names {
		tk.Changes = append(tk.Changes, dataCentre(n, rapid.Bool().Draw(t, "in")))
	}
	return tk
}

func (m *stateMachine) acceptor(t *rapid.T) *Acceptor {
	a := &Acceptor{Store: m.store, MaxSummariesPerShard: 1, KeepRecords: rapid.IntRange(1, 3).Draw(t, "keep")}
	if base := m.base; base != nil && rapid.Bool().Draw(t, "base") {
		a.BaseState = func() (uint64, *sageconfig.State) { return base.Head.Revision, base.State }
	}
	return a
}

func (m *stateMachine) submit(t *rapid.T) {
	tk := drawTicket(t)
	d := tk.Digest()
	_, err := m.acceptor(t).Submit(ctx, tk)
	switch {
	case err == nil:
		m.accepted[d] = tk
		delete(m.rejected, d)
	case !errors.Is(err, ErrOutcomeUnknown) && m.accepted[d] == nil:
		m.rejected[d] = true
	case errors.Is(err, ErrOutcomeUnknown):
		delete(m.rejected, d)
	}
}

func (m *stateMachine) compact(t *rapid.T) { _ = m.acceptor(t).Compact(ctx) }

// interleave runs a step and lets another operator run otherStep right before a put of it.
func (m *stateMachine) interleave(t *rapid.T, otherStep func(*rapid.T)) {
	outerHook, atPut := m.store.Before, m.store.puts+rapid.IntRange(1, 4).Draw(t, "at")
	m.store.Before = func(op sageobject.Op, key string) error {
		if op == sageobject.OpPut && m.store.puts+1 == atPut {
			m.store.Before = outerHook
			otherStep(t)
		}
		return outerHook(op, key)
	}
	defer func() { m.store.Before = outerHook }()
	if rapid.Bool().Draw(t, "outer compaction") {
		m.compact(t)
	} else {
		m.submit(t)
	}
}

func (m *stateMachine) injectFault(t *rapid.T) {
	atPut := m.store.puts + rapid.IntRange(1, 5).Draw(t, "put")
	switch rapid.SampledFrom([]string{"lose response", "refuse", "crash", "fail read back", "none"}).Draw(t, "fault") {
	case "lose response":
		m.store.loseResponse = atPut
	case "refuse":
		m.store.refuse = atPut
	case "crash":
		m.store.crashFrom = atPut
	case "fail read back":
		m.store.loseResponse, m.store.failReadBack = atPut, true
	}
}

// check verifies the invariants after every step, without faults.
func (m *stateMachine) check(t *rapid.T) {
	m.store.clearFaults()
	l, err := Load(ctx, m.store)
	require.NoError(t, err)
	for _, b := range m.store.heads {
		h, err := DecodeHead(b)
		require.NoError(t, err)
		for _, r := range h.Tail {
			m.byRevision[r.Revision] = r.Ticket
		}
	}
	m.store.heads = nil
	expected, contents := sageconfig.NewState(), make(map[uint64]string)
	for rev := uint64(1); rev <= l.Head.Revision; rev++ {
		tk := m.byRevision[rev]
		require.NotNil(t, tk, "revision %d is missing from the heads", rev)
		d := tk.Digest()
		if other, ok := contents[tk.Number]; ok && other != d {
			t.Fatalf("number %d has two contents", tk.Number)
		}
		contents[tk.Number] = d
		require.False(t, m.rejected[d], "ticket %d was reported as rejected and is in force", tk.Number)
		require.Equal(t, len(tk.Changes), expected.ApplyTicket(tk), "ticket %d was accepted though superseded", tk.Number)
	}
	require.Equal(t, maps.Collect(expected.All()), maps.Collect(l.State.All()), "the state is the join of the accepted tickets, each complete")
	for d, tk := range m.accepted {
		require.Equal(t, d, contents[tk.Number], "ticket %d was reported as accepted", tk.Number)
	}
	for key, e := range m.lastState.All() {
		require.GreaterOrEqual(t, l.State.TicketNumber(key), e.TicketNumber, "ticket number of %s decreased", key)
	}
	m.lastState = l.State
}

// TestTicketsProperty draws interleavings of submissions and compactions at several nodes, while the
// store fails before or after the effect of any write and processes crash at any write. A reported
// outcome must stay true: a ticket reported as rejected must never come into force.
func TestTicketsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{
			store: newFaultyStore(), byRevision: make(map[uint64]*sageconfig.Ticket), accepted: make(map[string]*sageconfig.Ticket),
			rejected: make(map[string]bool), lastState: sageconfig.NewState(),
		}
		actions := map[string]func(*rapid.T){
			"submit":         m.submit,
			"run compaction": m.compact,
			"base": func(t *rapid.T) {
				l, err := Load(ctx, m.store)
				require.NoError(t, err)
				m.base = l
			},
			"faulty submit":             func(t *rapid.T) { m.injectFault(t); m.submit(t) },
			"faulty compaction":         func(t *rapid.T) { m.injectFault(t); m.compact(t) },
			"submit between":            func(t *rapid.T) { m.interleave(t, m.submit) },
			"run compaction between":    func(t *rapid.T) { m.interleave(t, m.compact) },
			"faulty submit between":     func(t *rapid.T) { m.injectFault(t); m.interleave(t, m.submit) },
			"submit and compact within": func(t *rapid.T) { m.interleave(t, func(t *rapid.T) { m.submit(t); m.compact(t) }) },
		}
		actions[""] = m.check
		t.Repeat(actions)
	})
}

// A node loads the configuration during a compaction: the shards that it reads first lack a ticket,
// those that it reads later contain it. Without the second read of the head, the node would use part of
// the ticket.
func TestLoadDuringCompaction(t *testing.T) {
	large := ticket(2)
	for i := range 40 {
		large.Changes = append(large.Changes, dataCentre(fmt.Sprintf("c%d", i), true))
	}
	var filler []*sageconfig.Ticket
	for n := uint64(3); n < 8; n++ {
		filler = append(filler, ticket(n, dataCentre("filler", true)))
	}
	for name, c := range map[string]struct{ before, during []*sageconfig.Ticket }{
		"accepted and compacted meanwhile": {nil, append([]*sageconfig.Ticket{large}, filler...)},
		"compacted meanwhile":              {append([]*sageconfig.Ticket{large}, filler...), nil},
	} {
		mem := new(sageobject.Memory)
		a := &Acceptor{Store: mem, KeepRecords: 1}
		mustSubmit(t, a, ticket(1, dataCentre("a", true), dataCentre("b", true)))
		mustSubmit(t, a, c.before...)
		store := &readHook{Memory: mem, atRead: 1 + NumShards/2, hook: func() {
			mustSubmit(t, a, c.during...)
			require.NoError(t, a.Compact(ctx))
		}}
		l, err := Load(ctx, store)
		require.NoError(t, err, name)
		require.Equal(t, 2+40+1, l.State.Len(), name)
		require.Equal(t, uint64(7), l.Head.Revision, name)
	}
}

// A number is reused with other content after its summary was dropped, and a node may have crashed at
// any write of an earlier compaction. If the second content were accepted, nodes that had applied the
// first would differ from the others permanently.
func TestReusedNumber(t *testing.T) {
	var sameShard []uint64 // numbers whose summaries are in the same shard
	for n := uint64(1); len(sameShard) < 6; n++ {
		if shardOfNumber(n) == 0 {
			sameShard = append(sameShard, n)
		}
	}
	rejectedAsTooOld := false
	for crashAt := range 8 {
		store := newFaultyStore()
		a := &Acceptor{Store: store, KeepRecords: 1, MaxSummariesPerShard: 2}
		for i, n := range sameShard {
			mustSubmit(t, a, ticket(n, dataCentre(fmt.Sprintf("dc%d", i), true)))
			if crashAt > 0 {
				store.crashFrom = store.puts + crashAt
			}
			_ = a.Compact(ctx)
			store.clearFaults()
			_, err := a.Submit(ctx, ticket(sameShard[0], dataCentre("other", true)))
			require.True(t, errors.Is(err, ErrContentMismatch) || errors.Is(err, ErrTooOld), "crash at put %d: %v", crashAt, err)
			rejectedAsTooOld = rejectedAsTooOld || errors.Is(err, ErrTooOld)
		}
	}
	require.True(t, rejectedAsTooOld, "a number was rejected as too old")
}
