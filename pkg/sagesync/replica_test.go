package sagesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageticket"
)

// A node boots during an outage of the store and copies the state from a peer, while tickets that
// had been accepted before go on arriving at that peer. Requests must never see one half of a ticket.
func TestCopyIsAtomic(t *testing.T) {
	c := &clock{start}
	s, peer := filled(t, c, 12, 200)
	peer.MaxTail = 2
	s.accept(t, 0, "dc0", "zz") // touches the first and the last thing of the transfer
	node := &Replica{Now: c.Now}
	const budget = 1500
	pull(t, node, peer, budget)
	s.feed(t, peer, c.now)
	for range 40 {
		pull(t, node, peer, budget)
		if rev := node.Current().Revision; rev > 0 {
			require.Equal(t, entries(s.at(rev)), entries(node.Current().State), "revision %d", rev)
		}
	}
	assert.Equal(t, uint64(13), node.Current().Revision)
}

// A ticket, or the state of one thing, may be larger than what one exchange carries. A node that
// can't take it in pieces would never get past it.
func TestLargeTicket(t *testing.T) {
	c := &clock{start}
	s := newSource()
	s.accept(t, 20_000, "big")
	for _, tail := range []int{DefaultMaxTail, 1} {
		peer, node := &Replica{Now: c.Now, MaxTail: tail}, &Replica{Now: c.Now}
		s.feed(t, peer, c.now)
		s.accept(t, 5, "small")
		s.feed(t, peer, c.now)
		n := 0
		for ; node.Current().Revision < peer.Current().Revision && n < 100; n++ {
			pull(t, node, peer, 2000)
		}
		require.Equal(t, entries(peer.Current().State), entries(node.Current().State))
		assert.Greater(t, n, 10, "in pieces")
	}
}

// Evidence of freshness about a revision that the node lacks must not make it count as fresh: it
// would send work to a data centre that the ticket it lacks took out.
func TestEvidence(t *testing.T) {
	c := &clock{start}
	s, watcher := filled(t, c, 1, 0)
	node := &Replica{Now: c.Now}
	pull(t, node, watcher, 4000)
	require.Equal(t, start, node.Status().ConfirmedAt)

	s.accept(t, 0, "next")
	c.now = start.Add(2 * time.Second)
	s.feed(t, watcher, c.now)
	node.Delta(watcher.Digest(), 4000) // the digest arrives, the ticket doesn't
	st := node.Status()
	assert.Equal(t, start, st.ConfirmedAt, "not fresh without the ticket")
	assert.Equal(t, uint64(2), st.Observed)
	assert.Equal(t, c.now, st.BehindSince)

	pull(t, node, watcher, 4000)
	st = node.Status()
	assert.Equal(t, c.now, st.ConfirmedAt)
	assert.True(t, st.BehindSince.IsZero())

	hearsay := &Replica{Now: c.Now}
	hearsay.Observe(9)
	watcher.Delta(hearsay.Digest(), 4000)
	assert.Equal(t, uint64(9), watcher.Status().Observed, "heard from a digest")
	hearsay.Confirm(11, c.now)
	assert.Equal(t, uint64(11), hearsay.Status().Observed, "heard from evidence")

	node.Confirm(2, c.now.Add(time.Minute))
	assert.Equal(t, c.now, node.Status().ConfirmedAt, "evidence from a clock that runs ahead")
	node.Confirm(1, c.now.Add(time.Millisecond))
	assert.Equal(t, c.now, node.Status().ConfirmedAt, "evidence from a copy of the store that lags")
}

// Far more tickets are accepted than a node that can't fetch them remembers; after it has caught up
// with some it must still know that it is behind.
func TestManyPending(t *testing.T) {
	c := &clock{start}
	s := newSource()
	node := &Replica{Now: c.Now}
	for i := range 3 * maxPending {
		s.accept(t, 0, fmt.Sprintf("dc%d", i))
		node.Observe(uint64(i + 1))
	}
	full := &Replica{Now: c.Now}
	s.feed(t, full, c.now)
	pull(t, node, full, 100_000)
	require.Equal(t, uint64(3*maxPending), node.Current().Revision)
	assert.True(t, node.Status().BehindSince.IsZero())

	node.Observe(500)
	c.now = c.now.Add(time.Second)
	for i := uint64(501); i < 501+2*maxPending; i++ {
		node.Observe(i)
	}
	require.Len(t, node.behind, maxPending)
	node.behind = node.behind[1:] // all but the newest could be caught up with
	assert.Equal(t, uint64(500+2*maxPending), node.behind[maxPending-2].revision)
}

// Old and corrupt data must not change what is served.
func TestMergeRefuses(t *testing.T) {
	c := &clock{start}
	s, peer := filled(t, c, 3, 0)
	old := (&Replica{Now: c.Now}).Digest()
	delta := peer.Delta(old, 100_000)
	node := &Replica{Now: c.Now}
	require.NoError(t, node.Merge(delta))
	loaded, err := sageticket.Load(ctx, &s.mem)
	require.NoError(t, err)
	s.accept(t, 0, "more")
	s.feed(t, node, c.now)
	require.NoError(t, node.Merge(delta), "an old delta arrives late")
	assert.Equal(t, uint64(4), node.Current().Revision)
	node.ApplyLoaded(loaded, c.now)
	assert.Equal(t, uint64(4), node.Current().Revision, "an old load ends late")
	fresh := &Replica{Now: c.Now}
	require.NoError(t, fresh.Merge(node.Delta(peer.Digest(), 100_000)))
	assert.Zero(t, fresh.Current().Revision, "records that don't follow on the own state")

	for _, bad := range []string{
		``, `[]`, `{"records":[{}]}`, `{"records":[{"revision":5,"digest":"00","ticket":{"number":9,"changes":[{"thing":{"kind":"upstream","name":"a"},"deleted":true}]}}]}`,
		`{"fragment":{"of":"record/5","offset":9,"total":4,"bytes":"AAAA"}}`, `{"fragment":{"of":"record/5","offset":0,"total":1000000000,"bytes":"AAAA"}}`,
		`{"chunk":{"revision":9,"last":"a","done":true,"entries":[{"number":1,"change":{"thing":{"kind":"zone","name":"a"}}}]}}`,
		string(pack([]byte(`{`))), string([]byte{packed, 0xff, 0xff}),
	} {
		assert.ErrorIs(t, node.Merge([]byte(bad)), ErrBadDelta, "%.40q", bad)
	}
	assert.Equal(t, uint64(4), node.Current().Revision)
}

// A node restarts while it copies the state: a chunk meant for the process before it arrives. If it
// were taken, the things between would be missing from what the node serves.
func TestStrayChunk(t *testing.T) {
	c := &clock{start}
	s, peer := filled(t, c, 60, 300)
	peer.MaxTail = 1
	s.accept(t, 0, "zz")
	s.feed(t, peer, c.now)
	before, after := &Replica{Now: c.Now}, &Replica{Now: c.Now}
	for range 3 {
		pull(t, before, peer, 2000)
	}
	require.Zero(t, before.Current().Revision, "in the middle of the copy")
	stray := peer.Delta(before.Digest(), 100_000)
	pull(t, after, peer, 2000)
	require.NoError(t, after.Merge(stray))
	for range 40 {
		pull(t, after, peer, 2000)
	}
	assert.Equal(t, entries(peer.Current().State), entries(after.Current().State))
}

// Between two chunks a record arrives that was asked for earlier; it arrives again after the last.
// The records that go with the copy must have no gap, since peers are served from them.
func TestRecordBetweenChunks(t *testing.T) {
	rec := record{revision: 6, ticket: &sageconfig.Ticket{Number: 6}}
	sc := &stateCopy{state: sageconfig.NewState()}
	sc.add(&chunk{Revision: 5, Last: "a"}, nil)
	sc.follow([]record{rec})
	sc.add(&chunk{Revision: 5, After: "a", Last: "b", Done: true}, nil)
	sc.follow([]record{rec})
	require.True(t, sc.complete())
	assert.Equal(t, uint64(6), sc.base)
	assert.Len(t, sc.records, 1)
}

// Fragments arrive twice and out of order.
func TestAssembly(t *testing.T) {
	whole := []byte("0123456789")
	var a assembly
	f1 := cutFragment("x", whole, nil, 4)
	require.Nil(t, a.take(f1))
	f2 := cutFragment("x", whole, a.digest(), 4)
	require.Nil(t, a.take(f2))
	require.Nil(t, a.take(f2), "again")
	require.Nil(t, a.take(f1), "late")
	require.Nil(t, a.take(cutFragment("y", whole, &partial{Of: "y", Have: 4}, 4)), "the middle of another")
	assert.Equal(t, whole, a.take(cutFragment("x", whole, a.digest(), 4)))
}

// A subscriber must wake up when the configuration changes, and only then. What a request holds
// stays as it was.
func TestChanged(t *testing.T) {
	c := &clock{start}
	s, r := filled(t, c, 1, 0)
	ch := r.Changed()
	s.feed(t, r, c.now)
	select {
	case <-ch:
		t.Fatal("nothing changed")
	default:
	}
	held := r.Current()
	s.accept(t, 0, "x")
	s.feed(t, r, c.now)
	<-ch
	assert.Equal(t, entries(s.at(1)), entries(held.State))
}

// A node that can't reach the store hears of the roster only through a peer. Contact must arrive that
// way, and neither a clock that runs ahead nor a name outside the roster may add to it.
func TestContacts(t *testing.T) {
	c := &clock{start}
	roster := []string{"a", "b", "c"}
	node := func(self string) *Replica { return &Replica{Now: c.Now, Roster: roster, Self: self} }
	a, b, x, outside := node("a"), node("b"), node("x"), node("y")
	assert.True(t, x.Status().QuorumAt.IsZero())
	b.Delta(a.Digest(), 4000)
	c.now = start.Add(2 * time.Second)
	x.Delta(b.Digest(), 4000)
	assert.True(t, x.Status().QuorumAt.Equal(start), "two of three, the older one by way of b")
	assert.True(t, b.Status().QuorumAt.Equal(start), "itself and a")

	outside.Delta([]byte(`{"contacts":{"z":1,"w":1,"v":1}}`), 4000)
	assert.True(t, outside.Status().QuorumAt.IsZero())
	ahead := c.now.Add(time.Hour).UnixMilli()
	outside.Delta([]byte(fmt.Sprintf(`{"contacts":{"a":%d,"b":%d,"c":%d}}`, ahead, ahead, ahead)), 4000)
	assert.True(t, outside.Status().QuorumAt.IsZero())
	x.Delta([]byte(`{"contacts":{"a":1,"b":1}}`), 4000)
	assert.True(t, x.Status().QuorumAt.Equal(start), "older instants arrive late")
}
