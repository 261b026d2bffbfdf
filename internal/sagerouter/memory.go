package sagerouter

import (
	"runtime/debug"
	"runtime/metrics"
)

// Limits of the garbage collector's target.
const (
	// minHeapGrowth is by how much the heap may always grow between two collections.
	minHeapGrowth = 4 << 20
	minGCPercent  = 25
	maxGCPercent  = 100
)

const liveHeapMetric = "/gc/heap/live:bytes"

// gcPercent returns the growth of the heap between two collections, in per cent of the live heap.
//
// A node of a large fleet holds many megabytes that rarely change, and allocates little. Doubling its heap before each
// collection would only add memory that nobody uses.
func gcPercent(liveBytes uint64) int {
	if liveBytes == 0 {
		return maxGCPercent
	}
	return int(min(maxGCPercent, max(minGCPercent, 100*minHeapGrowth/liveBytes)))
}

// tuneGC adapts the garbage collector to the live heap.
func tuneGC() {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	debug.SetGCPercent(gcPercent(sample[0].Value.Uint64()))
}
