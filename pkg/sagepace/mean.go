package sagepace

import (
	"sync"
	"time"
)

// meanWindow is the weight in samples of the mean. With service times whose standard deviation is about their
// mean, 100 samples give an error of a tenth, and a node with ten exchanges per second follows a change within
// seconds.
const meanWindow = 100

// meanInitialWeight is the weight in samples of the initial value.
const meanInitialWeight = 10

// Mean is an exponentially weighted moving average of durations. Its exported fields are set before use. It is
// safe for concurrent use.
type Mean struct {
	// Initial is the value before there are samples.
	Initial time.Duration
	// Max limits one sample.
	Max time.Duration

	mu  sync.Mutex
	n   float64
	sum float64
}

// Add adds a sample. A negative one is ignored, and one above Max counts as Max.
func (m *Mean) Add(d time.Duration) {
	if d < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialize()
	if m.n >= meanWindow {
		m.sum *= (meanWindow - 1) / m.n
		m.n = meanWindow - 1
	}
	m.sum += float64(min(d, m.Max))
	m.n++
}

// Value returns the mean.
func (m *Mean) Value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialize()
	return time.Duration(m.sum / m.n)
}

func (m *Mean) initialize() {
	if m.n == 0 {
		m.n, m.sum = meanInitialWeight, meanInitialWeight*float64(m.Initial)
	}
}
