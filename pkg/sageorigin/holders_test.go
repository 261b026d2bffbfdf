package sageorigin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func testNodes(n, centres int) []Holder {
	var out []Holder
	for i := range n {
		out = append(out, Holder{Address: fmt.Sprintf("10.0.%d.%d:7", i/200, i%200), DataCentre: fmt.Sprint("dc", i%centres)})
	}
	return out
}

func testKey(i int) Key {
	var k Key
	binary.LittleEndian.PutUint64(k[:], mix(uint64(i)))
	return k
}

func TestHoldersSpreadOverDataCentres(t *testing.T) {
	nodes := testNodes(9, 3)
	r := NewRing(nodes)
	require.Equal(t, 9, r.Len())
	for i := range 200 {
		self := nodes[i%9].Address
		got := r.Holders(testKey(i), self)
		require.Len(t, got, NumHolders)
		require.NotContains(t, got, self)
		centres := map[string]bool{}
		for _, a := range got {
			centres[nodes[slices.IndexFunc(nodes, func(h Holder) bool { return h.Address == a })].DataCentre] = true
		}
		require.GreaterOrEqual(t, len(centres), 2, "the loss of a data centre must not lose all holders")
		require.Equal(t, got, r.Asked(testKey(i), self)[:NumHolders])
	}
	require.Empty(t, NewRing(nil).Holders(testKey(1), "x"))
	require.Empty(t, NewRing(nodes[:1]).Asked(testKey(1), nodes[0].Address))
	require.Len(t, NewRing(nodes[:2]).Asked(testKey(1), nodes[0].Address), 1)
}

// Prevents records from not being found after nodes have left or joined since they were sent.
func TestHoldersAreAskedAfterMembershipChanges(t *testing.T) {
	for _, size := range []struct{ nodes, centres, change int }{{6, 3, 1}, {9, 3, 2}, {100, 3, 10}, {300, 9, 30}} {
		all := testNodes(size.nodes+size.change, size.centres)
		before := NewRing(all[:size.nodes])
		left := NewRing(all[size.change:size.nodes])
		joined := NewRing(all)
		lost, missed := 0, 0
		for i := range 500 {
			carrier, returning := all[i%size.change].Address, all[size.nodes-1].Address
			holders := before.Holders(testKey(i), carrier)
			alive := slices.DeleteFunc(slices.Clone(holders), func(a string) bool {
				return slices.IndexFunc(all, func(h Holder) bool { return h.Address == a }) < size.change
			})
			if len(alive) > 0 && !slices.Contains(alive, returning) && !slices.ContainsFunc(alive, func(a string) bool { return slices.Contains(left.Asked(testKey(i), returning), a) }) {
				lost++
			}
			if !slices.Contains(holders, returning) && !slices.ContainsFunc(holders, func(a string) bool { return slices.Contains(joined.Asked(testKey(i), returning), a) }) {
				missed++
			}
		}
		require.Zero(t, lost, "%d nodes: holders that remain aren't asked after others left", size.nodes)
		require.Zero(t, missed, "%d nodes: no holder is asked after nodes joined", size.nodes)
	}
}

func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{9, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := NewRing(testNodes(n, 9))
			b.ReportAllocs()
			for i := range b.N {
				_ = r.Holders(testKey(i), "")
			}
		})
	}
}

func TestWritersSpreadOverDataCentres(t *testing.T) {
	nodes := testNodes(9, 3)
	r := NewRing(nodes)
	require.Equal(t, []string{nodes[4].Address}, r.Writers(testKey(1), nodes[4].Address), "a writer writes its own")
	load := make(map[string]int)
	for i := range 900 {
		got := r.Writers(testKey(i), "10.9.9.9:7")
		require.Len(t, got, numWriters)
		centre := func(a string) string {
			return nodes[slices.IndexFunc(nodes, func(h Holder) bool { return h.Address == a })].DataCentre
		}
		require.NotEqual(t, centre(got[0]), centre(got[1]))
		for _, a := range got {
			load[a]++
		}
	}
	for _, n := range nodes {
		require.InDelta(t, 200, load[n.Address], 70)
	}
	require.Empty(t, NewRing(nil).Writers(testKey(1), "10.9.9.9:7"))
}
