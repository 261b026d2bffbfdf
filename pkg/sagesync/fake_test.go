package sagesync

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sageticket"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	ctx   = context.Background()
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// clock is virtual time.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// source is a store with an acceptor and the log of what was accepted.
type source struct {
	mem sageobject.Memory
	a   sageticket.Acceptor
	log []*sageconfig.Ticket // by revision, from 1
	was []*sageconfig.State  // by revision, from 0
}

func newSource() *source {
	s := &source{log: []*sageconfig.Ticket{nil}, was: []*sageconfig.State{sageconfig.NewState()}}
	s.a = sageticket.Acceptor{Store: &s.mem, Now: func() time.Time { return start }, KeepRecords: 2}
	s.a.BaseState = func() (uint64, *sageconfig.State) { return uint64(len(s.log) - 1), s.was[len(s.log)-1] }
	return s
}

// noise returns text that doesn't compress.
func noise(n int, seed uint64) string {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[r.IntN(len(letters))]
	}
	return string(b)
}

// accept submits a ticket that touches the named data centres; pad lengthens its reason and each of
// its states.
func (s *source) accept(t require.TestingT, pad int, names ...string) {
	tk := &sageconfig.Ticket{Number: uint64(len(s.log)), Reason: noise(pad, uint64(len(s.log)))}
	for i, n := range names {
		tk.Changes = append(tk.Changes, sageconfig.Change{
			Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: n},
			DataCentre: &sageconfig.DataCentre{InService: true, Region: noise(pad, uint64(len(s.log)+i))},
		})
	}
	acc, err := s.a.Submit(ctx, tk)
	require.NoError(t, err)
	require.Equal(t, uint64(len(s.log)), acc.Revision)
	st := s.was[len(s.log)-1].Clone()
	st.ApplyTicket(tk)
	s.log, s.was = append(s.log, tk), append(s.was, st)
}

// at returns the state of a revision.
func (s *source) at(revision uint64) *sageconfig.State { return s.was[revision] }

func entries(s *sageconfig.State) map[sageconfig.EntryKey]sageconfig.Entry {
	return maps.Collect(s.All())
}

// feed brings r up to date from the store, as a watcher does.
func (s *source) feed(t require.TestingT, r *Replica, now time.Time) {
	h, _, err := sageticket.ReadHead(ctx, &s.mem)
	require.NoError(t, err)
	if r.ApplyHead(h, now) {
		return
	}
	l, err := sageticket.Load(ctx, &s.mem)
	require.NoError(t, err)
	r.ApplyLoaded(l, now)
}

// pull brings what b has to a in one exchange of at most budget bytes.
func pull(t require.TestingT, a, b *Replica, budget int) {
	d := b.Delta(a.Digest(), budget)
	require.LessOrEqual(t, len(d), budget)
	if d != nil {
		require.NoError(t, a.Merge(d))
	}
}

// filled returns a source with n tickets and a replica that holds them.
func filled(t testing.TB, c *clock, n, pad int) (*source, *Replica) {
	s := newSource()
	for i := range n {
		s.accept(t, pad, fmt.Sprintf("dc%d", i))
	}
	r := &Replica{Now: c.Now}
	s.feed(t, r, c.now)
	return s, r
}
