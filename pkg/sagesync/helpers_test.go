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

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// testStore is a store with an acceptor and the log of the accepted tickets.
type testStore struct {
	mem      sageobject.Memory
	acceptor sageticket.Acceptor
	log      []*sageconfig.Ticket // by revision, from 1
	states   []*sageconfig.State  // by revision, from 0
}

func newTestStore() *testStore {
	s := &testStore{log: []*sageconfig.Ticket{nil}, states: []*sageconfig.State{sageconfig.NewState()}}
	s.acceptor = sageticket.Acceptor{Store: &s.mem, Now: func() time.Time { return start }, KeepRecords: 2}
	s.acceptor.BaseState = func() (uint64, *sageconfig.State) { return uint64(len(s.log) - 1), s.states[len(s.log)-1] }
	return s
}

// incompressibleText returns random text that hardly compresses.
func incompressibleText(n int, seed uint64) string {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[r.IntN(len(letters))]
	}
	return string(b)
}

// accept submits a ticket that changes the named data centres; pad is the length of random text in its
// reason and in each change.
func (s *testStore) accept(t require.TestingT, pad int, names ...string) {
	tk := &sageconfig.Ticket{Number: uint64(len(s.log)), Reason: incompressibleText(pad, uint64(len(s.log)))}
	for i, n := range names {
		tk.Changes = append(tk.Changes, sageconfig.Change{
			Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: n},
			DataCentre: &sageconfig.DataCentre{InService: true, Region: incompressibleText(pad, uint64(len(s.log)+i))},
		})
	}
	acc, err := s.acceptor.Submit(ctx, tk)
	require.NoError(t, err)
	require.Equal(t, uint64(len(s.log)), acc.Revision)
	st := s.states[len(s.log)-1].Clone()
	st.ApplyTicket(tk)
	s.log, s.states = append(s.log, tk), append(s.states, st)
}

// stateAt returns the state of a revision.
func (s *testStore) stateAt(revision uint64) *sageconfig.State { return s.states[revision] }

func entries(s *sageconfig.State) map[sageconfig.EntryKey]sageconfig.Entry {
	return maps.Collect(s.All())
}

// update brings r up to date from the store, as a watcher does.
func (s *testStore) update(t require.TestingT, r *Replica, now time.Time) {
	h, _, err := sageticket.ReadHead(ctx, &s.mem)
	require.NoError(t, err)
	if r.ApplyHead(h, now) {
		return
	}
	l, err := sageticket.Load(ctx, &s.mem)
	require.NoError(t, err)
	r.ApplyLoaded(l, now)
}

// exchange sends the digest of a to b and merges b's answer, of at most budget bytes, into a.
func exchange(t require.TestingT, a, b *Replica, budget int) {
	d := b.Delta(a.Digest(), budget)
	require.LessOrEqual(t, len(d), budget)
	if d != nil {
		require.NoError(t, a.Merge(d))
	}
}

// newFilledStore returns a store with n tickets and a replica that holds them.
func newFilledStore(t testing.TB, c *clock, n, pad int) (*testStore, *Replica) {
	s := newTestStore()
	for i := range n {
		s.accept(t, pad, fmt.Sprintf("dc%d", i))
	}
	r := &Replica{Now: c.Now}
	s.update(t, r, c.now)
	return s, r
}
