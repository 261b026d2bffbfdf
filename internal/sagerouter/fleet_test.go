package sagerouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// newFleet returns a fleet with upstreams u0, u1, ... of service s, the first ones of which are cold.
func newFleet(t testing.TB, upstreams, cold int) *fleet {
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
		view: v, keyProof: new(sagefresh.Proof), placer: v.placer, countLag: func() time.Duration { return 0 },
		knownNodes: func() []string { return []string{"vm1"} }, fleetSize: func() int { return 1 }, coldLimiter: sageshare.ColdLimiter{Self: "vm1"},
		retryLimiter: sageshare.RetryLimiter{Start: sageclock.Now(), Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	}
}

func chain(prompt uint64) sagechain.Chain {
	return sagechain.Chain{{ID: 1, Tokens: 500}, {ID: prompt, Tokens: 9000}, {ID: prompt + 1000, Tokens: 50}}
}

// A data centre's engines came back with cold caches, received their full share of the load immediately, and were
// overloaded.
func TestColdUpstreamsAreUsedLastAndRateLimited(t *testing.T) {
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
	require.Equal(t, 2, sent, "one for each cold upstream; the others are refused without a wait")
}

// Prevents all requests of a service from going to the first upstream that is warm while the others stay cold: it held
// several times the mean, and each cold one could have taken some.
func TestWarmUpstreamAtBoundLeavesRequestsToColdOnes(t *testing.T) {
	f := newFleet(t, 18, 17)
	got := make(map[string]int)
	for prompt := range uint64(18) {
		p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(prompt)})
		require.NotNil(t, p)
		got[p.Upstream.ID]++
	}
	require.LessOrEqual(t, got["u17"], 4, "twice the mean of 1, and the slack")
	for i := range 17 {
		require.LessOrEqual(t, got[fmt.Sprintf("u%d", i)], 1, "the rate of cold upstreams")
	}
	for prompt := range uint64(18) {
		require.NotNil(t, f.Pick(&sagerelay.Query{Service: "s", Chain: chain(prompt)}), "served above the bound if nothing else is left")
	}
}

// An engine resets connections. Requests must be sent to the idle others, but also to a broken upstream if no
// other is left.
func TestBrokenUpstreamsAreUsedOnlyWithoutAlternative(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.RecordExchange(f.view.upstreams.Load().Get("u0"), sagehealth.Broken)
	f.RecordExchange(f.view.upstreams.Load().Get("u1"), sagehealth.Broken)
	for prompt := range uint64(10) {
		p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(prompt)})
		require.Equal(t, "u2", p.Upstream.ID)
		p.Done()
	}
	p := f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u2"}})
	require.NotNil(t, p)
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u0", "u1", "u2"}}))
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "none"}))
}

// Nodes that all see the same counts must not all send to the same upstream.
func TestRequestsWithoutChainAreBalanced(t *testing.T) {
	f := newFleet(t, 4, 0)
	got := make(map[string]int)
	for range 40 {
		got[f.Pick(&sagerelay.Query{Service: "s"}).Upstream.ID]++
	}
	for id, n := range got {
		require.Equal(t, 10, n, id)
	}
}

// A prompt that is placed elsewhere than on its cache holder is copied from there.
func TestPickReturnsCacheSource(t *testing.T) {
	f := newFleet(t, 2, 0)
	p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	f.RecordPrompt(p.Upstream, chain(7))
	other := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7), Tried: []string{p.Upstream.ID}})
	require.Equal(t, p.Upstream.Address, other.CacheSource)
	f.RecordMisdirected(p.Upstream)
	again := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7), Tried: []string{p.Upstream.ID}})
	require.Empty(t, again.CacheSource, "another upstream has this address now")
}

// A revoked key must be rejected within the bound, so the copy must stop counting as fresh before it.
func TestFreshEndsBeforeKeyBound(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.keyMaxAge.Store(int64(5 * time.Second))
	require.False(t, f.Fresh(), "no proof yet")
	f.keyProof.RecordRead(sageclock.Now().Add(-4 * time.Second))
	require.True(t, f.Fresh())
	g := newFleet(t, 1, 0)
	g.keyMaxAge.Store(int64(5 * time.Second))
	g.keyProof.RecordRead(sageclock.Now().Add(-4900 * time.Millisecond))
	require.False(t, g.Fresh())
}

func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{64, 10000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := newFleet(&testing.T{}, upstreams, 0)
			for prompt := range uint64(200) {
				p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(prompt)})
				f.RecordPrompt(p.Upstream, chain(prompt))
				p.Done()
			}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				f.Pick(&sagerelay.Query{Service: "s", Chain: chain(i % 200)}).Done()
			}
		})
	}
}

// An upstream that asked for a pause must get nothing before its end, even if no other is left, neither by a new pick
// nor by one made before. A new start of it is not paused.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	f := newFleet(t, 2, 0)
	picked := f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u1"}}).Upstream
	require.True(t, f.Usable(picked))
	until := sageclock.Now().Add(time.Minute)
	require.True(t, f.RecordPause(picked, until))
	require.False(t, f.Usable(picked))
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "s", Tried: []string{"u1"}}))
	require.Equal(t, "u1", f.Pick(&sagerelay.Query{Service: "s"}).Upstream.ID)
	require.Zero(t, f.PausedUntil("s"), "u1 takes requests")
	f.RecordPause(f.view.upstreams.Load().Get("u1"), until.Add(time.Second))
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "s"}))
	require.Equal(t, until, f.PausedUntil("s"))
	require.Zero(t, f.PausedUntil("none"))

	f.view.registry.Delete(sageclock.Now(), "u0")
	f.view.registry.Put(*picked)
	f.view.publish()
	require.Nil(t, f.Pick(&sagerelay.Query{Service: "s"}), "listed again, the same start")

	restarted := *picked
	restarted.Born++
	f.view.registry.Put(restarted)
	f.view.publish()
	require.Equal(t, "u0", f.Pick(&sagerelay.Query{Service: "s"}).Upstream.ID)
}

// Prevents an upstream that crashed under a request and started again under its ID from staying ejected.
func TestRestartedUpstreamIsNotEjected(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.view.onRestart = f.health.Forget
	now := sageclock.Now()
	for range 5 {
		f.health.Record(now, "s", "u0", sagehealth.Broken)
	}
	f.view.applyUpstreams([]sagefollow.Change{put("u0", 5, `{"ID":"u0","Service":"s","Address":"10.0.0.1:80"}`)}, false)
	require.True(t, f.health.Excluded(now, "s", "u0"), "the same start")
	f.view.applyUpstreams([]sagefollow.Change{put("u0", 6, `{"ID":"u0","Service":"s","Address":"10.0.0.1:80","Born":7}`)}, false)
	require.False(t, f.health.Excluded(now, "s", "u0"))
}
