package sagedemand

import (
	"math"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// bucketWidth is the resolution of a window.
	bucketWidth = 100 * time.Millisecond
	// windowBuckets is the number of buckets in a second.
	windowBuckets = int64(time.Second / bucketWidth)
)

// window counts events of the last second.
type window struct {
	// buckets has one more than a second needs: the oldest is counted in part.
	buckets [windowBuckets + 1]uint32
	// newest is the number of the newest bucket since boot.
	newest int64
}

// add counts an event.
func (w *window) add(now sageclock.Instant) {
	w.advance(now)
	w.buckets[w.newest%int64(len(w.buckets))]++
}

// advance clears the buckets that begin after the newest one and up to now.
func (w *window) advance(now sageclock.Instant) {
	n := int64(now) / int64(bucketWidth)
	size := int64(len(w.buckets))
	if n-w.newest >= size {
		clear(w.buckets[:])
		w.newest = n
		return
	}
	for w.newest < n {
		w.newest++
		w.buckets[w.newest%size] = 0
	}
}

// count returns the number of events of the second before now.
func (w *window) count(now sageclock.Instant) int {
	w.advance(now)
	size := int64(len(w.buckets))
	oldest := w.buckets[(w.newest+1)%size]
	sum := 0
	for _, n := range w.buckets {
		sum += int(n)
	}
	elapsed := float64(int64(now)%int64(bucketWidth)) / float64(bucketWidth)
	return sum - int(math.Round(float64(oldest)*elapsed))
}
