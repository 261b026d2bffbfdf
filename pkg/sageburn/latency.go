package sageburn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// ErrInvalidLatency reports a histogram of another shape than this package's.
var ErrInvalidLatency = errors.New("malformed latency histogram")

// Shape of the latency histograms: milliseconds up to a minute, to a tenth of the value.
const (
	lowestMillis  = 1
	highestMillis = 60_000
	latencyDigits = 1
)

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMillis, highestMillis, latencyDigits)
}

// latencyCounts is the number of counters of a histogram of this shape.
var latencyCounts = len(newLatency().Export().Counts)

// recordLatency counts one latency; those beyond the shape count at its ends.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(int64(d/time.Millisecond), lowestMillis), highestMillis)
	_ = h.RecordValue(ms) // it fails only outside the shape
}

// checkLatency reports a snapshot of another shape: importing one from a faulty peer could take any
// amount of memory.
func checkLatency(s *hdrhistogram.Snapshot) error {
	if s == nil {
		return nil
	}
	if s.LowestTrackableValue != lowestMillis || s.HighestTrackableValue != highestMillis ||
		s.SignificantFigures != latencyDigits || len(s.Counts) != latencyCounts {
		return fmt.Errorf("range %d to %d, %d digits, %d counts: %w", s.LowestTrackableValue, s.HighestTrackableValue,
			s.SignificantFigures, len(s.Counts), ErrInvalidLatency)
	}
	return nil
}

// addLatency returns the sum of two snapshots of this shape; nil counts as empty.
func addLatency(a, b *hdrhistogram.Snapshot) *hdrhistogram.Snapshot {
	if a == nil || b == nil {
		if a == nil {
			a = b
		}
		return a
	}
	h := hdrhistogram.Import(a)
	h.Merge(hdrhistogram.Import(b))
	return h.Export()
}
