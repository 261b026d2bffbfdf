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

// machine drives acceptors against one store and keeps what every outcome promised.
type machine struct {
	f        *faults
	log      map[uint64]*sageconfig.Ticket // by revision, as the head showed them
	accepted map[string]*sageconfig.Ticket // by digest
	refused  map[string]bool
	last     *sageconfig.State
	base     *Loaded
}

func anyTicket(t *rapid.T) *sageconfig.Ticket {
	tk := &sageconfig.Ticket{Number: rapid.Uint64Range(1, 300).Draw(t, "number")}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string]).Draw(t, "things")
	for _, n := range names {
		tk.Changes = append(tk.Changes, dc(n, rapid.Bool().Draw(t, "in")))
	}
	return tk
}

func (m *machine) acceptor(t *rapid.T) *Acceptor {
	a := &Acceptor{Store: m.f, MaxSummariesPerShard: 1, KeepRecords: rapid.IntRange(1, 3).Draw(t, "keep")}
	if base := m.base; base != nil && rapid.Bool().Draw(t, "base") {
		a.BaseState = func() (uint64, *sageconfig.State) { return base.Head.Revision, base.State }
	}
	return a
}

func (m *machine) submit(t *rapid.T) {
	tk := anyTicket(t)
	d := tk.Digest()
	_, err := m.acceptor(t).Submit(ctx, tk)
	switch {
	case err == nil:
		m.accepted[d] = tk
		delete(m.refused, d)
	case !errors.Is(err, ErrOutcomeUnknown) && m.accepted[d] == nil:
		m.refused[d] = true
	case errors.Is(err, ErrOutcomeUnknown):
		delete(m.refused, d)
	}
}

func (m *machine) fold(t *rapid.T) { _ = m.acceptor(t).Compact(ctx) }

// between lets another operator act right before the next put of the step.
func (m *machine) between(t *rapid.T, act func(*rapid.T)) {
	inner, at := m.f.Before, m.f.puts+rapid.IntRange(1, 4).Draw(t, "at")
	m.f.Before = func(op sageobject.Op, key string) error {
		if op == sageobject.OpPut && m.f.puts+1 == at {
			m.f.Before = inner
			act(t)
		}
		return inner(op, key)
	}
	defer func() { m.f.Before = inner }()
	if rapid.Bool().Draw(t, "outer fold") {
		m.fold(t)
	} else {
		m.submit(t)
	}
}

func (m *machine) fault(t *rapid.T) {
	at := m.f.puts + rapid.IntRange(1, 5).Draw(t, "put")
	switch rapid.SampledFrom([]string{"lose", "down", "crash", "blind", "none"}).Draw(t, "fault") {
	case "lose":
		m.f.lose = at
	case "down":
		m.f.down = at
	case "crash":
		m.f.crash = at
	case "blind":
		m.f.lose, m.f.blind = at, true
	}
}

// check holds after every step, with the faults mended.
func (m *machine) check(t *rapid.T) {
	m.f.mend()
	l, err := Load(ctx, m.f)
	require.NoError(t, err)
	for _, b := range m.f.heads {
		h, err := DecodeHead(b)
		require.NoError(t, err)
		for _, r := range h.Tail {
			m.log[r.Revision] = r.Ticket
		}
	}
	m.f.heads = nil
	want, contents := sageconfig.NewState(), make(map[uint64]string)
	for rev := uint64(1); rev <= l.Head.Revision; rev++ {
		tk := m.log[rev]
		require.NotNil(t, tk, "revision %d was never seen", rev)
		d := tk.Digest()
		if other, ok := contents[tk.Number]; ok && other != d {
			t.Fatalf("number %d has two contents", tk.Number)
		}
		contents[tk.Number] = d
		require.False(t, m.refused[d], "ticket %d was called refused and is in force", tk.Number)
		require.Equal(t, len(tk.Changes), want.ApplyTicket(tk), "ticket %d was accepted though superseded", tk.Number)
	}
	require.Equal(t, maps.Collect(want.All()), maps.Collect(l.State.All()), "the state is the join of the accepted tickets, each whole")
	for d, tk := range m.accepted {
		require.Equal(t, d, contents[tk.Number], "ticket %d was called accepted", tk.Number)
	}
	for th, e := range m.last.All() {
		require.GreaterOrEqual(t, l.State.TicketNumber(th), e.TicketNumber, "%s fell", th)
	}
	m.last = l.State
}

// TestTicketsProperty: operators at several nodes submit and fold in any interleaving, while the
// store goes out before or after the effect of any write, and processes crash at any write. What an
// operator was told must stay true; an operator told "refused" must never see the ticket in force.
func TestTicketsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			f: newFaults(), log: make(map[uint64]*sageconfig.Ticket), accepted: make(map[string]*sageconfig.Ticket),
			refused: make(map[string]bool), last: sageconfig.NewState(),
		}
		acts := map[string]func(*rapid.T){
			"submit": m.submit,
			"fold":   m.fold,
			"base": func(t *rapid.T) {
				l, err := Load(ctx, m.f)
				require.NoError(t, err)
				m.base = l
			},
			"faulty submit":          func(t *rapid.T) { m.fault(t); m.submit(t) },
			"faulty fold":            func(t *rapid.T) { m.fault(t); m.fold(t) },
			"submit between":         func(t *rapid.T) { m.between(t, m.submit) },
			"fold between":           func(t *rapid.T) { m.between(t, m.fold) },
			"faulty submit between":  func(t *rapid.T) { m.fault(t); m.between(t, m.submit) },
			"submit and fold within": func(t *rapid.T) { m.between(t, func(t *rapid.T) { m.submit(t); m.fold(t) }) },
		}
		acts[""] = m.check
		t.Repeat(acts)
	})
}

// A node loads the configuration while another folds: the shards that it reads first lack the
// ticket, those that it reads later hold it. Without the second read of the head the node would
// serve one half of the ticket.
func TestLoadDuringFold(t *testing.T) {
	wide := ticket(2)
	for i := range 40 {
		wide.Changes = append(wide.Changes, dc(fmt.Sprintf("c%d", i), true))
	}
	var filler []*sageconfig.Ticket
	for n := uint64(3); n < 8; n++ {
		filler = append(filler, ticket(n, dc("filler", true)))
	}
	for name, c := range map[string]struct{ first, during []*sageconfig.Ticket }{
		"accepted and folded meanwhile": {nil, append([]*sageconfig.Ticket{wide}, filler...)},
		"folded meanwhile":              {append([]*sageconfig.Ticket{wide}, filler...), nil},
	} {
		mem := new(sageobject.Memory)
		a := &Acceptor{Store: mem, KeepRecords: 1}
		mustSubmit(t, a, ticket(1, dc("a", true), dc("b", true)))
		mustSubmit(t, a, c.first...)
		st := &interposed{Memory: mem, at: 1 + NumShards/2, act: func() {
			mustSubmit(t, a, c.during...)
			require.NoError(t, a.Compact(ctx))
		}}
		l, err := Load(ctx, st)
		require.NoError(t, err, name)
		require.Equal(t, 2+40+1, l.State.Len(), name)
		require.Equal(t, uint64(7), l.Head.Revision, name)
	}
}

// A number is used again, with other content, long after its ticket was forgotten; before that, a
// node crashed while it folded, at any of its writes. If the second content were accepted, nodes
// that heard of the first would differ from the others for good.
func TestForgottenNumber(t *testing.T) {
	var same []uint64 // numbers remembered in one shard
	for n := uint64(1); len(same) < 6; n++ {
		if shardOfNumber(n) == 0 {
			same = append(same, n)
		}
	}
	forgot := false
	for crash := range 8 {
		f := newFaults()
		a := &Acceptor{Store: f, KeepRecords: 1, MaxSummariesPerShard: 2}
		for i, n := range same {
			mustSubmit(t, a, ticket(n, dc(fmt.Sprintf("dc%d", i), true)))
			if crash > 0 {
				f.crash = f.puts + crash
			}
			_ = a.Compact(ctx)
			f.mend()
			_, err := a.Submit(ctx, ticket(same[0], dc("other", true)))
			require.True(t, errors.Is(err, ErrContentMismatch) || errors.Is(err, ErrTooOld), "crash at put %d: %v", crash, err)
			forgot = forgot || errors.Is(err, ErrTooOld)
		}
	}
	require.True(t, forgot, "the bound was reached")
}
