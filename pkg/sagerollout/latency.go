package sagerollout

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagepace"
)

// Parameters of the comparison.
const (
	// slowFactor is the multiple of the baseline's mean from which on an answer is slow.
	slowFactor = 2.5
	// slowMargin is added to that, so that means near zero don't make every answer slow.
	slowMargin = 10 * time.Millisecond
	// maxSample bounds one sample of a mean.
	maxSample = 15 * time.Second
)

// Latencies describes how long an answer took. Zero means unknown.
type Latencies struct {
	// FirstEvent is the time to the first event of a stream, without the time for reading the prompt.
	FirstEvent time.Duration
	// EventInterval is the mean time between two events of a stream.
	EventInterval time.Duration
	// Total is the time to the end of an answer that is not a stream.
	Total time.Duration
}

// LatencyTracker tracks the mean latencies of the baseline's answers by route. The zero value is ready for use; it
// is safe for concurrent use.
type LatencyTracker struct {
	mu     sync.Mutex
	routes map[string]*[3]*sagepace.Mean
}

// IsSlow reports whether an answer took several times as long as the baseline's answers on its route.
func (t *LatencyTracker) IsSlow(route string, l Latencies) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	means := t.routes[route]
	if means == nil {
		return false
	}
	for i, d := range l.list() {
		if means[i] != nil && d > slowMargin+time.Duration(slowFactor*float64(means[i].Value())) {
			return true
		}
	}
	return false
}

// Add adds the latencies of an answer of the baseline.
func (t *LatencyTracker) Add(route string, l Latencies) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]*[3]*sagepace.Mean)
	}
	means := t.routes[route]
	if means == nil {
		means = new([3]*sagepace.Mean)
		t.routes[route] = means
	}
	for i, d := range l.list() {
		switch {
		case d <= 0:
		case means[i] == nil:
			means[i] = &sagepace.Mean{Initial: min(d, maxSample), Max: maxSample}
		default:
			means[i].Add(d)
		}
	}
}

func (l Latencies) list() [3]time.Duration {
	return [3]time.Duration{l.FirstEvent, l.EventInterval, l.Total}
}
