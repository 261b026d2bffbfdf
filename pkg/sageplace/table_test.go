package sageplace

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func first(t *Table, key uint64) string {
	var o [1]int32
	t.Order(key, o[:])
	return t.Upstreams[o[0]].Name
}

// Story: an engine joins and the chats of all the others come to cold caches, because the order of
// every key was made anew. Only keys whose first upstream is the new one may move, and to it.
func TestJoinMovesOnlyToNewUpstream(t *testing.T) {
	old, joined := NewTable(upstreams(11, 8)), NewTable(upstreams(12, 8))
	moved := 0
	for k := range 12000 {
		key := mix(uint64(k + 1))
		was, is := first(old, key), first(joined, key)
		if was != is {
			require.Equal(t, "engine-11", is)
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
		if first(tab, mix(uint64(k+1))) == "engine-2" {
			n++
		}
	}
	require.InDelta(t, 6000, n, 250, "24 of 48 in weight")
}

func TestNegLog2(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.Uint64Min(1).Draw(t, "x")
		got := float64(negLog2(x)) / (1 << logPoint)
		want := 64 - math.Log2(float64(x|1))
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("-log2(%d/2^64) = %v, want %v", x, got, want)
		}
	})
}

func TestFloorIsBelowCost(t *testing.T) {
	ups := upstreams(40, 1)
	for i := range ups {
		ups[i].Weight = 1 + i*i
	}
	tab := NewTable(ups)
	rapid.Check(t, func(t *rapid.T) {
		// Hashes near 2⁶⁴ win and are rare; they get half of the draws.
		x := rapid.OneOf(rapid.Uint64(), rapid.Uint64Min(^uint64(0)>>1)).Draw(t, "x")
		i := rapid.IntRange(0, len(ups)-1).Draw(t, "i")
		if f, c := tab.floorOf(x, i), tab.costOf(x, i); f > c {
			t.Fatalf("floor %d above cost %d", f, c)
		}
	})
}

func TestFind(t *testing.T) {
	tab := NewTable(upstreams(3, 1))
	require.Equal(t, 1, tab.Find(Key("engine-1")))
	require.Equal(t, -1, tab.Find(Key("engine-9")))
	require.NotZero(t, Key(""))
}

func TestBoundedForgetsLeastRecent(t *testing.T) {
	b := NewLRUMap[int](ways)
	for k := 1; k <= ways; k++ {
		*b.GetOrInsert(uint64(k)) = k
	}
	require.NotNil(t, b.Get(1))
	*b.GetOrInsert(99) = 99
	require.Nil(t, b.Get(2), "the one used longest ago gives way")
	require.Equal(t, 1, *b.Get(1))
	b.Delete(1)
	require.Nil(t, b.Get(1))
}

// Story: a chat moves from a to b; a's eviction event comes late and makes the router forget that b
// holds the chat. The chat's next request meets a cold cache.
func TestLateEvictionChangesNothing(t *testing.T) {
	e := NewPrefixLocations(64)
	e.RecordStored(7, 100, 1)
	e.RecordStored(7, 200, 5)
	e.RecordEvicted(7, 100, 9)
	p, ok := e.Lookup(7)
	require.True(t, ok)
	require.Equal(t, Location{Upstream: 200, Generation: 5}, p)
	e.RecordEvicted(7, 200, 4)
	_, ok = e.Lookup(7)
	require.True(t, ok, "an event of an older generation says nothing of the new one")
	e.RecordEvicted(7, 200, 5)
	_, ok = e.Lookup(7)
	require.False(t, ok)
}
