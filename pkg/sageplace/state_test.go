package sageplace

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// A node has 32 MB for control at the size of the letter. The greatest state that the service keeps,
// 128 groups of 256 upstreams, the evidence and the hot contexts, must leave most of it to others.
func TestStateFitsNode(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	ups := upstreams(256, 16)
	var tables []*Table
	var loads []*Loads
	for range 128 {
		tables, loads = append(tables, NewTable(ups)), append(loads, NewLoads(len(ups)))
	}
	evidence, width := NewPrefixLocations(1<<14), NewWidthByLoad(1<<10)
	used := heap() - before
	runtime.KeepAlive([]any{tables, loads, evidence, width})
	t.Logf("%d bytes", used)
	require.Less(t, used, uint64(8<<20))
}
