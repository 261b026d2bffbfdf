package sagechain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// lists returns what n engines list: three hundred parts each, of which the first is shared and held by all.
func lists(n int) map[string][]uint64 {
	out := make(map[string][]uint64, n)
	for i := range n {
		parts := []uint64{1}
		for k := range 299 {
			parts = append(parts, uint64(1_000_000+300*i+k))
		}
		out[fmt.Sprintf("e%d", i)] = parts
	}
	return out
}

func sorted(held map[string][]uint64) map[string][]uint64 {
	for _, parts := range held {
		slices.Sort(parts)
	}
	return held
}

// All nodes of a fleet with sixty engines restart and ask the engines what they hold: eighteen thousand
// parts, most of which belonged to one request. They were remembered like the few hundred shared ones,
// the memory was full and emptied, and the prompts of the whole fleet were read again.
func TestLongListsDoNotCrowdOutWhatRequestsShare(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for i := range uint64(500) {
		p.Record(now, fmt.Sprintf("e%d", i%60), Chain{{ID: 1, Tokens: 500}, {ID: 100 + i, Tokens: 9000}, {ID: 5000 + i, Tokens: 10}})
	}
	before := sorted(p.All(now))
	for u, parts := range lists(60) {
		p.RecordListed(now, u, parts)
	}
	require.Equal(t, before, sorted(p.All(now)))
	require.LessOrEqual(t, p.listed.parts, maxListed)
}

// A node that has just started sends a prompt to the engine that lists it, not to the first in the order, and
// where that one is full, the chosen engine copies from it.
func TestListedPartsPlacePrompts(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for u, parts := range lists(4) {
		p.RecordListed(now, u, parts)
	}
	cands := []Candidate{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	c := Chain{{ID: 1, Tokens: 500}, {ID: 1_000_000 + 300*2 + 7, Tokens: 9000}, {ID: 9, Tokens: 10}}
	got, _ := p.Choose(now, cands, BoundParams{}, c)
	require.Equal(t, "e2", cands[got.Index].ID)
	require.Equal(t, ReasonHoldsChain, got.Reason)
	cands[2].Load = 50
	got, _ = p.Choose(now, cands, BoundParams{}, c)
	require.NotEqual(t, "e2", cands[got.Index].ID)
	require.Equal(t, "e2", got.CopyFrom)
	got, _ = p.Choose(now.Add(listedFor), cands, BoundParams{}, c)
	require.Equal(t, ReasonHashOrder, got.Reason, "a list grows old")
	p.Forget("e2")
	require.NotContains(t, p.AllListed(now), "e2")
}

func TestListsAreBounded(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for u, parts := range lists(400) {
		p.RecordListed(now, u, parts)
		p.RecordListed(now, u, parts)
	}
	require.Equal(t, maxListed, p.listed.parts)
	sum := 0
	for _, parts := range p.AllListed(now) {
		sum += len(parts)
	}
	require.Equal(t, maxListed, sum)
	require.Len(t, p.TakeListedUpdates(10), 1)
	p.listed.forget(now.Add(listedFor), "")
	require.Zero(t, p.listed.parts)
}
