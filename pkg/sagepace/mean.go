package sagepace

import (
	"sync"
	"time"
)

// meanMemory is how many samples a mean remembers: enough that the usual scatter of run times, as wide as
// their mean, leaves a tenth of it, and few enough that a node that sees ten a second follows in seconds.
const meanMemory = 100

// startWeight is how many samples the start counts for.
const startWeight = 10

// Mean is a moving mean. Start and Most are set before use; it is safe for concurrent use.
type Mean struct {
	// Start is the value before there is evidence.
	Initial time.Duration
	// Most bounds one sample.
	Max time.Duration

	mu  sync.Mutex
	n   float64
	sum float64
}

// Add takes a sample in. One that is negative is left out, one above Most counts as Most.
func (m *Mean) Add(d time.Duration) {
	if d < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin()
	if m.n >= meanMemory {
		m.sum *= (meanMemory - 1) / m.n
		m.n = meanMemory - 1
	}
	m.sum += float64(min(d, m.Max))
	m.n++
}

// Value returns the mean.
func (m *Mean) Value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin()
	return time.Duration(m.sum / m.n)
}

func (m *Mean) begin() {
	if m.n == 0 {
		m.n, m.sum = startWeight, startWeight*float64(m.Initial)
	}
}
