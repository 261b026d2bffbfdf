package sageplace

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func firstUpstream(t *Table, key uint64) string {
	var o [1]int32
	t.Order(key, o[:])
	return t.Upstreams[o[0]].Name
}

// Guards against an engine that joins and changes the order of every key, so that the chats of all
// other engines find cold caches. Only keys whose first upstream is the new one may move, and only to
// it.
func TestJoinMovesOnlyToNewUpstream(t *testing.T) {
	old, joined := NewTable(upstreams(11, 8)), NewTable(upstreams(12, 8))
	moved := 0
	for k := range 12000 {
		key := mix(uint64(k + 1))
		before, after := firstUpstream(old, key), firstUpstream(joined, key)
		if before != after {
			require.Equal(t, "engine-11", after)
			moved++
		}
	}
	require.InDelta(t, 1000, moved, 150)
}

func TestOrderFollowsWeight(t *testing.T) {
	ups := upstreams(4, 8)
	ups[2].Weight = 24
	tab := NewTable(ups)
	n := 0
	for k := range 12000 {
		if firstUpstream(tab, mix(uint64(k+1))) == "engine-2" {
			n++
		}
	}
	require.InDelta(t, 6000, n, 250, "weight 24 of 48")
}

func TestNegLog2(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.Uint64Min(1).Draw(t, "x")
		got := float64(negLog2(x)) / (1 << logFractionBits)
		want := 64 - math.Log2(float64(x|1))
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("-log2(%d/2^64) = %v, want %v", x, got, want)
		}
	})
}

func TestMinCostIsBelowCost(t *testing.T) {
	ups := upstreams(40, 1)
	for i := range ups {
		ups[i].Weight = 1 + i*i
	}
	tab := NewTable(ups)
	rapid.Check(t, func(t *rapid.T) {
		// Hashes near 2⁶⁴ have the lowest costs and are rare; they get half of the draws.
		x := rapid.OneOf(rapid.Uint64(), rapid.Uint64Min(^uint64(0)>>1)).Draw(t, "x")
		i := rapid.IntRange(0, len(ups)-1).Draw(t, "i")
		if f, c := tab.minCostOf(x, i), tab.costOf(x, i); f > c {
			t.Fatalf("lower bound %d above cost %d", f, c)
		}
	})
}

func TestFind(t *testing.T) {
	tab := NewTable(upstreams(3, 1))
	require.Equal(t, 1, tab.Find(Key("engine-1")))
	require.Equal(t, -1, tab.Find(Key("engine-9")))
	require.NotZero(t, Key(""))
}

func TestLRUMapEvictsLeastRecentlyUsed(t *testing.T) {
	m := NewLRUMap[int](entriesPerSet)
	for k := 1; k <= entriesPerSet; k++ {
		*m.GetOrInsert(uint64(k)) = k
	}
	require.NotNil(t, m.Get(1))
	*m.GetOrInsert(99) = 99
	require.Nil(t, m.Get(2), "the least recently used entry is evicted")
	require.Equal(t, 1, *m.Get(1))
	m.Delete(1)
	require.Nil(t, m.Get(1))
}

// Guards against a late eviction event. A chat moves from one upstream to another; if the event of the
// first one deleted the location, the chat's next request would find a cold cache.
func TestLateEvictionIsIgnored(t *testing.T) {
	locations := NewPrefixLocations(64)
	locations.RecordStored(7, 100, 1)
	locations.RecordStored(7, 200, 5)
	locations.RecordEvicted(7, 100, 9)
	p, ok := locations.Lookup(7)
	require.True(t, ok)
	require.Equal(t, Location{Upstream: 200, Generation: 5}, p)
	locations.RecordEvicted(7, 200, 4)
	_, ok = locations.Lookup(7)
	require.True(t, ok, "an event of an older generation is ignored")
	locations.RecordEvicted(7, 200, 5)
	_, ok = locations.Lookup(7)
	require.False(t, ok)
}
