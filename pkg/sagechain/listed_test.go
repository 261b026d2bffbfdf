package sagechain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// testListings returns the listings of n engines with 300 parts each, the first of which is shared by all.
func testListings(n int) map[string][]uint64 {
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

func sortParts(byUpstream map[string][]uint64) map[string][]uint64 {
	for _, parts := range byUpstream {
		slices.Sort(parts)
	}
	return byUpstream
}

// Prevents listed parts from displacing shared ones: after a restart of all nodes, sixty engines list 18 000
// parts. With both kinds in one index, its limit was exceeded, it was cleared, and all prompts were read again.
func TestListedPartsDontEvictSharedParts(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for i := range uint64(500) {
		p.Record(now, fmt.Sprintf("e%d", i%60), Chain{{ID: 1, Tokens: 500}, {ID: 100 + i, Tokens: 9000}, {ID: 5000 + i, Tokens: 10}})
	}
	before := sortParts(p.All(now))
	for u, parts := range testListings(60) {
		p.RecordListed(now, u, parts)
	}
	require.Equal(t, before, sortParts(p.All(now)))
	require.LessOrEqual(t, p.listed.parts, maxListedParts)
}

// A node that has just started sends a prompt to the engine that lists it, not to the one that ranks first. If
// that engine is full, the chosen one copies from it.
func TestListedPartsGuidePlacement(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for u, parts := range testListings(4) {
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
	got, _ = p.Choose(now.Add(listedTTL), cands, BoundParams{}, c)
	require.Equal(t, ReasonHashOrder, got.Reason, "the listing has expired")
	p.Forget("e2")
	require.NotContains(t, p.AllListed(now), "e2")
}

func TestListedPartsAreBounded(t *testing.T) {
	p := new(Placer)
	now := sageclock.Instant(time.Hour)
	for u, parts := range testListings(400) {
		p.RecordListed(now, u, parts)
		p.RecordListed(now, u, parts)
	}
	require.Equal(t, maxListedParts, p.listed.parts)
	sum := 0
	for _, parts := range p.AllListed(now) {
		sum += len(parts)
	}
	require.Equal(t, maxListedParts, sum)
	require.Len(t, p.TakeListedUpdates(10), 1)
	p.listed.forget(now.Add(listedTTL), "")
	require.Zero(t, p.listed.parts)
}
