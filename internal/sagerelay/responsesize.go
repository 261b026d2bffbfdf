package sagerelay

import "sync"

// What a response of a route may take before it counts as large.
const (
	minUsualBytes = 16 << 10
	// usualFactor multiplies the mean size of the route's responses.
	usualFactor = 8
	// sizeWeight is the weight of one response in that mean.
	sizeWeight = 1.0 / 16
)

// responseSizes holds the mean size of each route's complete responses. The zero value is ready to use. It is safe for concurrent
// use.
type responseSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// record adds the size of a complete response.
func (s *responseSizes) record(route string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[string]float64)
	}
	s.means[route] += sizeWeight * (float64(n) - s.means[route])
}

// usual returns the size that the route's responses usually stay well below.
func (s *responseSizes) usual(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minUsualBytes, int64(usualFactor*s.means[route]))
}
