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

func chain(thing uint64) Chain {
	return Chain{{ID: 1, Tokens: 500}, {ID: thing, Tokens: 10_000}, {ID: thing + 1e6, Tokens: 1300}}
}

func TestNodesAgreeWithoutTalking(t *testing.T) {
	var a, b Placer
	for thing := range uint64(100) {
		x, ok := a.Choose(at(1), candidates(12), BoundParams{}, chain(thing+10))
		require.True(t, ok)
		y, _ := b.Choose(at(1), candidates(12), BoundParams{}, chain(thing+10))
		require.Equal(t, x.Index, y.Index)
	}
}

// An engine joins, and a tenth of all chains is read again by it although the engines that hold them
// are idle. A holder below the bound goes first.
func TestHolderGoesBeforeOrder(t *testing.T) {
	var p Placer
	cands := candidates(3)
	c, _ := p.Choose(at(1), cands, BoundParams{}, chain(7))
	p.Record(at(1), cands[c.Index].ID, chain(7))
	for n := 4; n < 40; n++ {
		again, _ := p.Choose(at(2), candidates(n), BoundParams{}, chain(7))
		require.Equal(t, c.Index, again.Index)
		require.Equal(t, ReasonHoldsChain, again.Reason)
		require.Empty(t, again.CopyFrom)
	}
}

// One key gets a quarter of the traffic: its engine exceeds the bound on the load. The surplus goes
// to the next in order, which copies the parts from the holder instead of reading them again.
func TestHotChainSpillsAndCopies(t *testing.T) {
	var p Placer
	cands := candidates(4)
	c, _ := p.Choose(at(1), cands, BoundParams{}, chain(7))
	p.Record(at(1), cands[c.Index].ID, chain(7))
	cands[c.Index].Load = 12
	spill, _ := p.Choose(at(1), cands, BoundParams{}, chain(7))
	require.NotEqual(t, c.Index, spill.Index)
	require.Equal(t, cands[c.Index].ID, spill.CopyFrom)
	p.Record(at(1), cands[spill.Index].ID, chain(7))
	again, _ := p.Choose(at(1), cands, BoundParams{}, chain(7))
	require.Equal(t, spill.Index, again.Index, "the second holder is kept")
}

func TestAllAtBoundTakesTheLeastLoaded(t *testing.T) {
	var p Placer
	cands := []Candidate{{"a", 2}}
	c, ok := p.Choose(at(1), cands, BoundParams{}, nil)
	require.True(t, ok)
	require.Equal(t, 0, c.Index)
	_, ok = p.Choose(at(1), nil, BoundParams{}, nil)
	require.False(t, ok)
}

func TestNewsReachesOtherNodes(t *testing.T) {
	var a, b Placer
	a.Record(at(1), "e05", chain(7))
	news := a.TakeUpdates(10)
	require.Len(t, news["e05"], 2)
	require.Empty(t, a.TakeUpdates(10))
	a.Record(at(2), "e05", chain(7))
	require.Empty(t, a.TakeUpdates(10), "known and told a second ago")
	a.Record(at(20), "e05", chain(7))
	require.Len(t, a.TakeUpdates(1), 1)
	require.Len(t, a.TakeUpdates(10), 1)
	b.Merge(at(1), news)
	c, _ := b.Choose(at(2), candidates(12), BoundParams{}, chain(7))
	require.Equal(t, 5, c.Index)
	b.Forget("e05")
	c, _ = b.Choose(at(2), candidates(12), BoundParams{}, chain(7))
	require.Equal(t, ReasonHashOrder, c.Reason)
	c, _ = a.Choose(at(200), candidates(12), BoundParams{}, chain(7))
	require.Equal(t, ReasonHashOrder, c.Reason, "too long ago")
}

func TestMemoryIsBounded(t *testing.T) {
	var p Placer
	for i := range uint64(3 * maxParts) {
		p.Record(at(1), "e", Chain{{ID: i, Tokens: 1}, {}})
	}
	require.LessOrEqual(t, len(p.held.parts), maxParts)
}

func BenchmarkChoose(b *testing.B) {
	var p Placer
	cands := candidates(256)
	for thing := range uint64(200) {
		p.Record(at(1), cands[thing].ID, chain(thing))
	}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		p.Choose(at(2), cands, BoundParams{}, chain(i%200))
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

// An engine leaves during a release, and the requests of its chains name it as the one to copy from
// for a minute: the copies fail and the chains are read again, though a second engine holds them too.
func TestCopiesComeFromEnginesThatRun(t *testing.T) {
	gone := map[string]bool{}
	p := Placer{SourceTrust: func(u string) SourceTrust {
		if gone[u] {
			return SourceUnusable
		}
		return SourceTrusted
	}}
	p.Record(at(1), "a", chain(7))
	p.Record(at(1), "b", chain(7))
	only := []Candidate{{ID: "c"}}
	c, _ := p.Choose(at(2), only, BoundParams{}, chain(7))
	require.Equal(t, "a", c.CopyFrom)
	gone["a"] = true
	c, _ = p.Choose(at(2), only, BoundParams{}, chain(7))
	require.Equal(t, "b", c.CopyFrom)
	gone["b"] = true
	c, _ = p.Choose(at(2), only, BoundParams{}, chain(7))
	require.Empty(t, c.CopyFrom)
}

// A data centre with three of eleven engines is out of service and three more are cold: the five that
// are left carry everything, and one of them 22 requests where twice the mean of all eleven is 19.
// The load comes in one by one; every engine has to stay within the platform's cap.
func TestFewEnginesAreLoadedEvenly(t *testing.T) {
	p := new(Placer)
	cands, rest := candidates(5), BoundParams{ExcludedUpstreams: 6}
	for n := range 95 {
		thing := uint64(n%7 + 10)
		c, ok := p.Choose(at(1), cands, rest, chain(thing))
		require.True(t, ok)
		p.Record(at(1), cands[c.Index].ID, chain(thing))
		cands[c.Index].Load++
	}
	for _, c := range cands {
		require.LessOrEqual(t, float64(c.Load), 2*95.0/11+3, c.ID)
	}
}

func TestBound(t *testing.T) {
	loaded := func(n, load int) []Candidate {
		out := candidates(n)
		for i := range out {
			out[i].Load = load
		}
		return out
	}
	for _, tt := range []struct {
		name string
		rest BoundParams
		want float64
	}{
		{"all usable", BoundParams{}, 2*5 + 1.5},
		// Sums of counts arrive each 0.3 s: that many requests are not in them.
		{"counts lag", BoundParams{CountLag: 300 * time.Millisecond, MeanRunTime: time.Second}, 2*5 + 1.5 - 0.3*5},
		{"counts lag more than can be allowed for", BoundParams{CountLag: 900 * time.Millisecond, MeanRunTime: time.Second}, 2*5 + 1.5 - 0.3*5},
		{"runs are long", BoundParams{CountLag: 300 * time.Millisecond, MeanRunTime: 3 * time.Second}, 2*5 + 1.5 - 0.1*5},
		{"another cap", BoundParams{CapFactor: 1.5}, 1.5*5 + 1.5},
		{"few usable", BoundParams{ExcludedUpstreams: 20}, 5 + 1},
	} {
		require.InDelta(t, tt.want, LoadBound(loaded(10, 5), tt.rest), 1e-9, tt.name)
	}
}

// Thirteen of sixty engines crash, and their leases last some seconds. Each of their chains is read again by
// one engine; the next ones were told to copy from the crashed one, which came first by name, and read the
// chain again as well, two or three times for each chain.
func TestCopiesComeFromSoundEnginesFirst(t *testing.T) {
	trust := map[string]SourceTrust{"a": SourceSuspect, "b": SourceTrusted}
	p := Placer{SourceTrust: func(u string) SourceTrust { return trust[u] }}
	p.Record(at(1), "a", chain(7))
	only := []Candidate{{ID: "c"}}
	c, _ := p.Choose(at(2), only, BoundParams{}, chain(7))
	require.Equal(t, "a", c.CopyFrom, "it may still run")
	p.Record(at(2), "b", chain(7))
	c, _ = p.Choose(at(3), only, BoundParams{}, chain(7))
	require.Equal(t, "b", c.CopyFrom)
	require.Equal(t, chain(7).Shared().Tokens(), c.CopyTokens)
	short := chain(7)[:1]
	p.Record(at(3), "d", append(Chain(nil), short[0], Part{ID: 99}))
	trust["d"], trust["b"] = SourceTrusted, SourceSuspect
	c, _ = p.Choose(at(4), only, BoundParams{}, chain(7))
	require.Equal(t, "d", c.CopyFrom, "less, but surely")
	p = Placer{}
	for i, u := range []string{"x", "y", "z"} {
		p.Record(at(i+1), u, chain(7))
	}
	p.Record(at(5), "y", chain(7))
	c, _ = p.Choose(at(6), only, BoundParams{}, chain(7))
	require.Equal(t, "y", c.CopyFrom, "used last, so that it runs is known best")
}
