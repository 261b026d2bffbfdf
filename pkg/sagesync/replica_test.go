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

// Guards against serving a partially applied ticket: a node starts during an outage of the store and
// receives the state from a peer, at which accepted tickets still arrive.
func TestCopyIsAtomic(t *testing.T) {
	c := &clock{start}
	s, peer := newFilledStore(t, c, 12, 200)
	peer.MaxTail = 2
	s.accept(t, 0, "dc0", "zz") // changes the first and the last entry of the transfer
	node := &Replica{Now: c.Now}
	const budget = 1500
	exchange(t, node, peer, budget)
	s.update(t, peer, c.now)
	for range 40 {
		exchange(t, node, peer, budget)
		if rev := node.Current().Revision; rev > 0 {
			require.Equal(t, entries(s.stateAt(rev)), entries(node.Current().State), "revision %d", rev)
		}
	}
	assert.Equal(t, uint64(13), node.Current().Revision)
}

// Guards against a ticket, or a single entry, that is larger than one exchange can carry: a node that
// can't receive it in fragments would never get past it.
func TestLargeTicket(t *testing.T) {
	c := &clock{start}
	s := newTestStore()
	s.accept(t, 20_000, "big")
	for _, tail := range []int{DefaultMaxTail, 1} {
		peer, node := &Replica{Now: c.Now, MaxTail: tail}, &Replica{Now: c.Now}
		s.update(t, peer, c.now)
		s.accept(t, 5, "small")
		s.update(t, peer, c.now)
		n := 0
		for ; node.Current().Revision < peer.Current().Revision && n < 100; n++ {
			exchange(t, node, peer, 2000)
		}
		require.Equal(t, entries(peer.Current().State), entries(node.Current().State))
		assert.Greater(t, n, 10, "sent in fragments")
	}
}

// Guards against a node that counts as fresh by evidence about a revision that it lacks: it would send
// requests to a data centre that the missing ticket takes out of service.
func TestEvidence(t *testing.T) {
	c := &clock{start}
	s, watcher := newFilledStore(t, c, 1, 0)
	node := &Replica{Now: c.Now}
	exchange(t, node, watcher, 4000)
	require.Equal(t, start, node.Status().ConfirmedAt)

	s.accept(t, 0, "next")
	c.now = start.Add(2 * time.Second)
	s.update(t, watcher, c.now)
	node.Delta(watcher.Digest(), 4000) // the digest is received, the ticket isn't
	st := node.Status()
	assert.Equal(t, start, st.ConfirmedAt, "not fresh without the ticket")
	assert.Equal(t, uint64(2), st.Observed)
	assert.Equal(t, c.now, st.BehindSince)

	exchange(t, node, watcher, 4000)
	st = node.Status()
	assert.Equal(t, c.now, st.ConfirmedAt)
	assert.True(t, st.BehindSince.IsZero())

	reporter := &Replica{Now: c.Now}
	reporter.Observe(9)
	watcher.Delta(reporter.Digest(), 4000)
	assert.Equal(t, uint64(9), watcher.Status().Observed, "observed in a digest")
	reporter.Confirm(11, c.now)
	assert.Equal(t, uint64(11), reporter.Status().Observed, "observed in evidence")

	node.Confirm(2, c.now.Add(time.Minute))
	assert.Equal(t, c.now, node.Status().ConfirmedAt, "evidence from a clock that runs ahead")
	node.Confirm(1, c.now.Add(time.Millisecond))
	assert.Equal(t, c.now, node.Status().ConfirmedAt, "evidence from a store replica that lags")
}

// Far more tickets are accepted than a node records as pending while it can't fetch them. After it has
// received some, it must still know that it is behind.
func TestPendingRevisionsAreBounded(t *testing.T) {
	c := &clock{start}
	s := newTestStore()
	node := &Replica{Now: c.Now}
	for i := range 3 * maxPending {
		s.accept(t, 0, fmt.Sprintf("dc%d", i))
		node.Observe(uint64(i + 1))
	}
	upToDate := &Replica{Now: c.Now}
	s.update(t, upToDate, c.now)
	exchange(t, node, upToDate, 100_000)
	require.Equal(t, uint64(3*maxPending), node.Current().Revision)
	assert.True(t, node.Status().BehindSince.IsZero())

	node.Observe(500)
	c.now = c.now.Add(time.Second)
	for i := uint64(501); i < 501+2*maxPending; i++ {
		node.Observe(i)
	}
	require.Len(t, node.pending, maxPending)
	node.pending = node.pending[1:] // as if the oldest had been received
	assert.Equal(t, uint64(500+2*maxPending), node.pending[maxPending-2].revision)
}

// Stale and corrupt data must not change what is served.
func TestMergeRejectsStaleAndMalformedData(t *testing.T) {
	c := &clock{start}
	s, peer := newFilledStore(t, c, 3, 0)
	emptyDigest := (&Replica{Now: c.Now}).Digest()
	firstDelta := peer.Delta(emptyDigest, 100_000)
	node := &Replica{Now: c.Now}
	require.NoError(t, node.Merge(firstDelta))
	loaded, err := sageticket.Load(ctx, &s.mem)
	require.NoError(t, err)
	s.accept(t, 0, "more")
	s.update(t, node, c.now)
	require.NoError(t, node.Merge(firstDelta), "a delta received late")
	assert.Equal(t, uint64(4), node.Current().Revision)
	node.ApplyLoaded(loaded, c.now)
	assert.Equal(t, uint64(4), node.Current().Revision, "a load completed late")
	empty := &Replica{Now: c.Now}
	require.NoError(t, empty.Merge(node.Delta(peer.Digest(), 100_000)))
	assert.Zero(t, empty.Current().Revision, "records that don't continue the local revision")

	for _, bad := range []string{
		``, `[]`, `{"records":[{}]}`, `{"records":[{"revision":5,"digest":"00","ticket":{"number":9,"changes":[{"thing":{"kind":"upstream","name":"a"},"deleted":true}]}}]}`,
		`{"fragment":{"of":"record/5","offset":9,"total":4,"bytes":"AAAA"}}`, `{"fragment":{"of":"record/5","offset":0,"total":1000000000,"bytes":"AAAA"}}`,
		`{"chunk":{"revision":9,"last":"a","done":true,"entries":[{"number":1,"change":{"thing":{"kind":"zone","name":"a"}}}]}}`,
		string(pack([]byte(`{`))), string([]byte{packedMarker, 0xff, 0xff}),
	} {
		assert.ErrorIs(t, node.Merge([]byte(bad)), ErrBadDelta, "%.40q", bad)
	}
	assert.Equal(t, uint64(4), node.Current().Revision)
}

// Guards against a chunk meant for an earlier process: a node restarts while it receives the state. If
// it merged such a chunk, the served state would lack the entries in between.
func TestChunkForEarlierProcess(t *testing.T) {
	c := &clock{start}
	s, peer := newFilledStore(t, c, 60, 300)
	peer.MaxTail = 1
	s.accept(t, 0, "zz")
	s.update(t, peer, c.now)
	oldProcess, newProcess := &Replica{Now: c.Now}, &Replica{Now: c.Now}
	for range 3 {
		exchange(t, oldProcess, peer, 2000)
	}
	require.Zero(t, oldProcess.Current().Revision, "in the middle of the transfer")
	staleDelta := peer.Delta(oldProcess.Digest(), 100_000)
	exchange(t, newProcess, peer, 2000)
	require.NoError(t, newProcess.Merge(staleDelta))
	for range 40 {
		exchange(t, newProcess, peer, 2000)
	}
	assert.Equal(t, entries(peer.Current().State), entries(newProcess.Current().State))
}

// A record that was requested earlier arrives between two chunks, and again after the last. The records
// kept with the state must have no gap, since peers are served from them.
func TestRecordBetweenChunks(t *testing.T) {
	rec := record{revision: 6, ticket: &sageconfig.Ticket{Number: 6}}
	transfer := &stateTransfer{state: sageconfig.NewState()}
	transfer.add(&chunk{Revision: 5, Last: "a"}, nil)
	transfer.applyRecords([]record{rec})
	transfer.add(&chunk{Revision: 5, After: "a", Last: "b", Done: true}, nil)
	transfer.applyRecords([]record{rec})
	require.True(t, transfer.complete())
	assert.Equal(t, uint64(6), transfer.base)
	assert.Len(t, transfer.records, 1)
}

// Fragments arrive twice and out of order.
func TestReassembly(t *testing.T) {
	data := []byte("0123456789")
	var a reassembler
	f1 := nextFragment("x", data, nil, 4)
	require.Nil(t, a.add(f1))
	f2 := nextFragment("x", data, a.digest(), 4)
	require.Nil(t, a.add(f2))
	require.Nil(t, a.add(f2), "repeated")
	require.Nil(t, a.add(f1), "out of order")
	require.Nil(t, a.add(nextFragment("y", data, &partialDigest{ID: "y", Received: 4}, 4)), "the middle of other data")
	assert.Equal(t, data, a.add(nextFragment("x", data, a.digest(), 4)))
}

// A subscriber must be woken when the configuration changes, and only then. The snapshot that a request
// holds must not change.
func TestChanged(t *testing.T) {
	c := &clock{start}
	s, r := newFilledStore(t, c, 1, 0)
	ch := r.Changed()
	s.update(t, r, c.now)
	select {
	case <-ch:
		t.Fatal("woken without a change")
	default:
	}
	held := r.Current()
	s.accept(t, 0, "x")
	s.update(t, r, c.now)
	<-ch
	assert.Equal(t, entries(s.stateAt(1)), entries(held.State))
}

// A node that can't reach the store is in contact with the roster only through a peer. Neither a clock
// that runs ahead nor a name outside the roster may add to the contact.
func TestContacts(t *testing.T) {
	c := &clock{start}
	roster := []string{"a", "b", "c"}
	node := func(self string) *Replica { return &Replica{Now: c.Now, Roster: roster, Self: self} }
	a, b, isolated, nonMember := node("a"), node("b"), node("x"), node("y")
	assert.True(t, isolated.Status().QuorumAt.IsZero())
	b.Delta(a.Digest(), 4000)
	c.now = start.Add(2 * time.Second)
	isolated.Delta(b.Digest(), 4000)
	assert.True(t, isolated.Status().QuorumAt.Equal(start), "two of three, the older contact by way of b")
	assert.True(t, b.Status().QuorumAt.Equal(start), "b itself and a")

	nonMember.Delta([]byte(`{"contacts":{"z":1,"w":1,"v":1}}`), 4000)
	assert.True(t, nonMember.Status().QuorumAt.IsZero())
	ahead := c.now.Add(time.Hour).UnixMilli()
	nonMember.Delta([]byte(fmt.Sprintf(`{"contacts":{"a":%d,"b":%d,"c":%d}}`, ahead, ahead, ahead)), 4000)
	assert.True(t, nonMember.Status().QuorumAt.IsZero())
	isolated.Delta([]byte(`{"contacts":{"a":1,"b":1}}`), 4000)
	assert.True(t, isolated.Status().QuorumAt.Equal(start), "older instants received late")
}
