package sagerouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// newFleet returns a fleet with upstreams u0 and on of service s, of which the first n are cold.
func newFleet(t *testing.T, upstreams, cold int) *fleet {
	t.Helper()
	v := newView()
	tab, err := sageroute.New(1, nil, []sageroute.Service{{Name: "s", ColdPerSecond: 10, Engine: true}}, nil, sageroute.Limits{})
	require.NoError(t, err)
	v.table.Store(tab)
	for i := range upstreams {
		e := sageupstream.Entry{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1)}
		if i < cold {
			e.ColdUntil = sageclock.Now().Add(time.Minute)
		}
		v.registry.Put(e)
	}
	v.applyUpstreams(nil, false)
	return &fleet{
		view: v, keyProof: new(sagefresh.Proof), placer: v.placer, lag: func() time.Duration { return 0 },
		known: func() []string { return []string{"vm1"} }, cold: sageshare.ColdLimiter{Self: "vm1"},
		retries: sageshare.RetryLimiter{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	}
}

func chain(thing uint64) sagechain.Chain {
	return sagechain.Chain{{ID: 1, Tokens: 500}, {ID: thing, Tokens: 9000}, {ID: thing + 1000, Tokens: 50}}
}

// A data centre's engines come back cold and get their old share at once, and fall over.
func TestColdUpstreamsComeLastAndWithinTheirShare(t *testing.T) {
	f := newFleet(t, 3, 2)
	for range 20 {
		p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
		require.Equal(t, "u2", p.Upstream.ID)
		p.Done()
	}
	sent := 0
	for range 20 {
		if p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7), Tried: []string{"u2"}}); p != nil {
			sent++
			p.Done()
		}
	}
	require.Equal(t, 2, sent, "one for each cold upstream at a moment; the others are refused at once")
}

// One engine resets connections; requests go on to it while others are idle, or all are refused
// although one might work.
func TestBrokenUpstreamsAreSecondChoice(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.RecordExchange(f.view.set.Load().Get("u0"), sagehealth.Broken)
	f.RecordExchange(f.view.set.Load().Get("u1"), sagehealth.Broken)
	for thing := range uint64(10) {
		p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(thing)})
		require.Equal(t, "u2", p.Upstream.ID)
		p.Done()
	}
	p := f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u2"}})
	require.NotNil(t, p)
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u0", "u1", "u2"}}))
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "none"}))
}

// An application runner with six places gets every request, since all nodes see the same counts.
func TestPlainRequestsSpread(t *testing.T) {
	f := newFleet(t, 4, 0)
	got := make(map[string]int)
	for range 40 {
		got[f.Pick(&sagerelay.Query{Service: "s"}).Upstream.ID]++
	}
	for id, n := range got {
		require.Equal(t, 10, n, id)
	}
}

// A spilled prompt is copied from the engine that holds it, also from one that is leaving.
func TestPickNamesTheSourceToCopyFrom(t *testing.T) {
	f := newFleet(t, 2, 0)
	p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	f.RecordPrompt(p.Upstream, chain(7))
	other := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7), Tried: []string{p.Upstream.ID}})
	require.Equal(t, p.Upstream.Address, other.CacheSource)
	f.RecordMisdirected(p.Upstream)
	again := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7), Tried: []string{p.Upstream.ID}})
	require.Empty(t, again.CacheSource, "another upstream has that address")
}

// A key is trusted for as long as its removal could not have taken effect, and no longer.
func TestFreshEndsBeforeTheBound(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.keyWithin.Store(int64(5 * time.Second))
	require.False(t, f.Fresh(), "nothing proven")
	f.keyProof.RecordRead(sageclock.Now().Add(-4 * time.Second))
	require.True(t, f.Fresh())
	g := newFleet(t, 1, 0)
	g.keyWithin.Store(int64(5 * time.Second))
	g.keyProof.RecordRead(sageclock.Now().Add(-4900 * time.Millisecond))
	require.False(t, g.Fresh())
}

func BenchmarkPick(b *testing.B) {
	f := newFleet(&testing.T{}, 64, 0)
	for thing := range uint64(200) {
		p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(thing)})
		f.RecordPrompt(p.Upstream, chain(thing))
		p.Done()
	}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		f.Pick(&sagerelay.Query{Service: "s", Chain: chain(i % 200)}).Done()
	}
}
