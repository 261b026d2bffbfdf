package sagerollout

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagepace"
)

// When an answer is slow.
const (
	// slowTimes is how many times the baseline's mean an answer must take to be slow.
	slowTimes = 2.5
	// slowLeast is what it must take beyond that, so that means near zero don't make every answer slow.
	slowLeast = 10 * time.Millisecond
	// mostTime bounds one sample.
	mostTime = 15 * time.Second
)

// Latencies are how long an answer took; zero is a time that isn't known.
type Latencies struct {
	// First is the time to the first event of a stream, without the reading of the prompt.
	FirstEvent time.Duration
	// Pause is the mean time between two events of a stream.
	EventInterval time.Duration
	// Whole is the time to the whole of an answer that is no stream.
	Total time.Duration
}

// LatencyTracker follow how long the baseline's answers take by route. The zero value is ready; it is safe for
// concurrent use.
type LatencyTracker struct {
	mu     sync.Mutex
	routes map[string]*[3]*sagepace.Mean
}

// Slow reports whether an answer took several times as long as the baseline's on its route.
func (p *LatencyTracker) IsSlow(route string, t Latencies) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	means := p.routes[route]
	if means == nil {
		return false
	}
	for i, d := range t.list() {
		if means[i] != nil && d > slowLeast+time.Duration(slowTimes*float64(means[i].Value())) {
			return true
		}
	}
	return false
}

// Add takes in how long an answer of the baseline took.
func (p *LatencyTracker) Add(route string, t Latencies) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = make(map[string]*[3]*sagepace.Mean)
	}
	means := p.routes[route]
	if means == nil {
		means = new([3]*sagepace.Mean)
		p.routes[route] = means
	}
	for i, d := range t.list() {
		switch {
		case d <= 0:
		case means[i] == nil:
			means[i] = &sagepace.Mean{Initial: min(d, mostTime), Max: mostTime}
		default:
			means[i].Add(d)
		}
	}
}

func (t Latencies) list() [3]time.Duration {
	return [3]time.Duration{t.FirstEvent, t.EventInterval, t.Total}
}
