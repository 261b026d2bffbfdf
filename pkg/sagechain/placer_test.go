package sagechain

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(s int) sageclock.Instant { return sageclock.Instant(time.Duration(s) * time.Second) }

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].ID = fmt.Sprintf("e%02d", i)
	}
	return out
}

func testChain(document uint64) Chain {
	return Chain{{ID: 1, Tokens: 500}, {ID: document, Tokens: 10_000}, {ID: document + 1e6, Tokens: 1300}}
}

func TestNodesAgreeWithoutCommunication(t *testing.T) {
	var a, b Placer
	for document := range uint64(100) {
		x, ok := a.Choose(at(1), candidates(12), BoundParams{}, testChain(document+10))
		require.True(t, ok)
		y, _ := b.Choose(at(1), candidates(12), BoundParams{}, testChain(document+10))
		require.Equal(t, x.Index, y.Index)
	}
}

// Prevents a new engine from taking over a tenth of all chains and reading them again while their holders are
// idle: a holder below the bound precedes the hash order.
func TestHolderPrecedesHashOrder(t *testing.T) {
	var p Placer
	cands := candidates(3)
	c, _ := p.Choose(at(1), cands, BoundParams{}, testChain(7))
	p.Record(at(1), cands[c.Index].ID, testChain(7))
	for n := 4; n < 40; n++ {
		again, _ := p.Choose(at(2), candidates(n), BoundParams{}, testChain(7))
		require.Equal(t, c.Index, again.Index)
		require.Equal(t, ReasonHoldsChain, again.Reason)
		require.Empty(t, again.CopyFrom)
	}
}

// A chain with a quarter of the requests drives its engine above the load bound. The surplus goes to the engine
// that ranks next, which copies the parts from the holder instead of reading them again.
func TestHotChainSpillsAndCopies(t *testing.T) {
	var p Placer
	cands := candidates(4)
	c, _ := p.Choose(at(1), cands, BoundParams{}, testChain(7))
	p.Record(at(1), cands[c.Index].ID, testChain(7))
	cands[c.Index].Load = 12
	spill, _ := p.Choose(at(1), cands, BoundParams{}, testChain(7))
	require.NotEqual(t, c.Index, spill.Index)
	require.Equal(t, cands[c.Index].ID, spill.CopyFrom)
	p.Record(at(1), cands[spill.Index].ID, testChain(7))
	again, _ := p.Choose(at(1), cands, BoundParams{}, testChain(7))
	require.Equal(t, spill.Index, again.Index, "the second holder is used again")
}

func TestAllAtBoundPicksLeastLoaded(t *testing.T) {
	var p Placer
	cands := []Candidate{{"a", 2}}
	c, ok := p.Choose(at(1), cands, BoundParams{}, nil)
	require.True(t, ok)
	require.Equal(t, 0, c.Index)
	_, ok = p.Choose(at(1), nil, BoundParams{}, nil)
	require.False(t, ok)
}

func TestUpdatesReachOtherNodes(t *testing.T) {
	var a, b Placer
	a.Record(at(1), "e05", testChain(7))
	updates := a.TakeUpdates(10)
	require.Len(t, updates["e05"], 2)
	require.Empty(t, a.TakeUpdates(10))
	a.Record(at(2), "e05", testChain(7))
	require.Empty(t, a.TakeUpdates(10), "reported a second ago")
	a.Record(at(20), "e05", testChain(7))
	require.Len(t, a.TakeUpdates(1), 1)
	require.Len(t, a.TakeUpdates(10), 1)
	b.Merge(at(1), updates)
	c, _ := b.Choose(at(2), candidates(12), BoundParams{}, testChain(7))
	require.Equal(t, 5, c.Index)
	b.Forget("e05")
	c, _ = b.Choose(at(2), candidates(12), BoundParams{}, testChain(7))
	require.Equal(t, ReasonHashOrder, c.Reason)
	c, _ = a.Choose(at(200), candidates(12), BoundParams{}, testChain(7))
	require.Equal(t, ReasonHashOrder, c.Reason, "the holder has expired")
}

func TestHolderIndexIsBounded(t *testing.T) {
	var p Placer
	for i := range uint64(3 * maxParts) {
		p.Record(at(1), "e", Chain{{ID: i, Tokens: 1}, {}})
	}
	require.LessOrEqual(t, len(p.holders.parts), maxParts)
}

func BenchmarkChoose(b *testing.B) {
	var p Placer
	cands := candidates(256)
	for document := range uint64(200) {
		p.Record(at(1), cands[document].ID, testChain(document))
	}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		p.Choose(at(2), cands, BoundParams{}, testChain(i%200))
	}
}

func ExamplePlacer() {
	var p Placer
	prompt := Chain{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 9000}, {ID: 3, Tokens: 40}}
	p.Record(at(1), "e2", prompt)
	c, _ := p.Choose(at(2), []Candidate{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}, BoundParams{}, prompt)
	fmt.Println(c.Index, c.HeldTokens, c.Reason)
	// Output: 1 9500 holds_chain
}

// Prevents failed copies during a rolling restart: without it, requests name a stopped engine as the source for up
// to holderTTL, and the chains are read again although a second engine holds them.
func TestCopySourceIsUsable(t *testing.T) {
	stopped := map[string]bool{}
	p := Placer{SourceTrust: func(u string) SourceTrust {
		if stopped[u] {
			return SourceUnusable
		}
		return SourceTrusted
	}}
	p.Record(at(1), "a", testChain(7))
	p.Record(at(1), "b", testChain(7))
	only := []Candidate{{ID: "c"}}
	c, _ := p.Choose(at(2), only, BoundParams{}, testChain(7))
	require.Equal(t, "a", c.CopyFrom)
	stopped["a"] = true
	c, _ = p.Choose(at(2), only, BoundParams{}, testChain(7))
	require.Equal(t, "b", c.CopyFrom)
	stopped["b"] = true
	c, _ = p.Choose(at(2), only, BoundParams{}, testChain(7))
	require.Empty(t, c.CopyFrom)
}

// Prevents overload of one of the usable engines if three of eleven are in a data centre out of service and three
// are cold. The other five got all requests, and one of them had 22 while twice the mean of all eleven was 19. Every
// engine must stay within the platform's cap.
func TestFewEnginesAreLoadedEvenly(t *testing.T) {
	p := new(Placer)
	cands, params := candidates(5), BoundParams{ExcludedUpstreams: 6}
	for n := range 95 {
		document := uint64(n%7 + 10)
		c, ok := p.Choose(at(1), cands, params, testChain(document))
		require.True(t, ok)
		p.Record(at(1), cands[c.Index].ID, testChain(document))
		cands[c.Index].Load++
	}
	for _, c := range cands {
		require.LessOrEqual(t, float64(c.Load), 2*95.0/11+3, c.ID)
	}
}

func TestLoadBound(t *testing.T) {
	loaded := func(n, load int) []Candidate {
		out := candidates(n)
		for i := range out {
			out[i].Load = load
		}
		return out
	}
	for _, tt := range []struct {
		name   string
		params BoundParams
		want   float64
	}{
		{"all usable", BoundParams{}, 2*5 + 1.5},
		// Sums of counts arrive every 0.3 s; the requests sent in between are missing from them.
		{"counts lag", BoundParams{CountLag: 300 * time.Millisecond, MeanRunTime: time.Second}, 2*5 + 1.5 - 0.3*5},
		{"lag above the maximum", BoundParams{CountLag: 900 * time.Millisecond, MeanRunTime: time.Second}, 2*5 + 1.5 - 0.3*5},
		{"long requests", BoundParams{CountLag: 300 * time.Millisecond, MeanRunTime: 3 * time.Second}, 2*5 + 1.5 - 0.1*5},
		{"other cap factor", BoundParams{CapFactor: 1.5}, 1.5*5 + 1.5},
		{"few usable", BoundParams{ExcludedUpstreams: 20}, 5 + 1},
	} {
		require.InDelta(t, tt.want, LoadBound(loaded(10, 5), tt.params), 1e-9, tt.name)
	}
}

// Prevents copies from crashed engines while another one holds the chain. Thirteen of sixty engines crash, and
// their leases last some seconds. One engine reads each of their chains again; without trust, the next ones were
// sent to copy from the crashed engine, which was first by name, and each chain was read two or three times.
func TestCopySourcePrefersTrustedEngines(t *testing.T) {
	trust := map[string]SourceTrust{"a": SourceSuspect, "b": SourceTrusted}
	p := Placer{SourceTrust: func(u string) SourceTrust { return trust[u] }}
	p.Record(at(1), "a", testChain(7))
	only := []Candidate{{ID: "c"}}
	c, _ := p.Choose(at(2), only, BoundParams{}, testChain(7))
	require.Equal(t, "a", c.CopyFrom, "it may still be running")
	p.Record(at(2), "b", testChain(7))
	c, _ = p.Choose(at(3), only, BoundParams{}, testChain(7))
	require.Equal(t, "b", c.CopyFrom)
	require.Equal(t, testChain(7).Shared().Tokens(), c.CopyTokens)
	short := testChain(7)[:1]
	p.Record(at(3), "d", append(Chain(nil), short[0], Part{ID: 99}))
	trust["d"], trust["b"] = SourceTrusted, SourceSuspect
	c, _ = p.Choose(at(4), only, BoundParams{}, testChain(7))
	require.Equal(t, "d", c.CopyFrom, "a shorter prefix from a trusted engine")
	p = Placer{}
	for i, u := range []string{"x", "y", "z"} {
		p.Record(at(i+1), u, testChain(7))
	}
	p.Record(at(5), "y", testChain(7))
	c, _ = p.Choose(at(6), only, BoundParams{}, testChain(7))
	require.Equal(t, "y", c.CopyFrom, "the engine used last")
}

// Prevents the nodes of a fleet from all filling the first upstream that is warm, up to the bound that each of them sees,
// before they know each other's counts.
func TestBoundOfFewCandidatesAllowsForAllRequestsOfTheLag(t *testing.T) {
	one := []Candidate{{"a", 3}}
	params := BoundParams{ExcludedUpstreams: 31, ExcludedLoad: 77, CountLag: 200 * time.Millisecond, MeanRunTime: 1100 * time.Millisecond, MayDecline: true}
	var p Placer
	c, ok := p.Choose(at(1), one, params, testChain(7))
	require.True(t, ok)
	require.Equal(t, ReasonAllAtBound, c.Reason, "15 more requests come before the counts of the others")
	params.MayDecline = false
	c, _ = p.Choose(at(1), one, params, testChain(7))
	require.Equal(t, ReasonHashOrder, c.Reason, "nowhere else to go")

	many := candidates(28)
	for i := range many {
		many[i].Load = 2
	}
	params = BoundParams{ExcludedUpstreams: 4, ExcludedLoad: 8, CountLag: 200 * time.Millisecond, MeanRunTime: 1100 * time.Millisecond}
	usual := LoadBound(many, params)
	params.MayDecline = true
	require.InDelta(t, usual, LoadBound(many, params), 0.1, "nearly all upstreams are candidates")
}
