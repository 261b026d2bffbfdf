package sagerouter

import (
	"runtime/metrics"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// saturationInterval is the time between two samples of the scheduler's delays.
	saturationInterval = 200 * time.Millisecond
	// saturatedDelay is a delay of the scheduler that callers would notice, saturatedShare the share of goroutines
	// delayed by as much from which a node is saturated.
	saturatedDelay = 0.02 // seconds
	saturatedShare = 0.1
	// schedulerDelays is the runtime's histogram of the times that goroutines waited for a processor.
	schedulerDelays = "/sched/latencies:seconds"
)

// saturation finds out from the delays of the scheduler whether the process has no processor time left. The zero value is
// ready to use.
type saturation struct {
	mu        sync.Mutex
	next      sageclock.Instant
	last      []uint64
	saturated bool
}

// check reports whether the process was saturated in the last interval.
func (s *saturation) check(now sageclock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.next {
		return s.saturated
	}
	s.next = now.Add(saturationInterval)
	sample := []metrics.Sample{{Name: schedulerDelays}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return false
	}
	h := sample[0].Value.Float64Histogram()
	s.saturated = isSaturated(h.Buckets, h.Counts, s.last)
	s.last = append(s.last[:0], h.Counts...)
	return s.saturated
}

// isSaturated compares two states of a histogram. last is empty at the first sample.
func isSaturated(buckets []float64, counts, last []uint64) bool {
	var total, delayed uint64
	for i, n := range counts {
		if i < len(last) {
			n -= last[i]
		} else if len(last) == 0 {
			return false
		}
		total += n
		if buckets[i] >= saturatedDelay {
			delayed += n
		}
	}
	return float64(delayed) > saturatedShare*float64(total)
}
