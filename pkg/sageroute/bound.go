package sageroute

import "math"

// Bounds of numbers of a configuration, far beyond those in use, within which sums and products stay finite.
const (
	// minShare and maxShare bound weights and limits in requests per second other than 0.
	minShare, maxShare = 1e-9, 1e9
	// maxConns bounds the connections of an upstream.
	maxConns = 1 << 30
	// maxBodyBytes bounds the size of a body.
	maxBodyBytes = 1 << 50
)

// boundShare returns the nearest number within the bounds; 0 stays 0.
func boundShare(n float64) float64 {
	if n == 0 {
		return 0
	}
	return min(max(n, minShare), maxShare)
}

// boundWeights makes the sum of the weights finite and keeps their proportions. Weights that aren't positive become 0.
func boundWeights(services []WeightedService) {
	greatest := 0.0
	for i := range services {
		w := &services[i].Weight
		if !(*w > 0) { // also NaN
			*w = 0
		}
		*w = min(*w, math.MaxFloat64)
		greatest = max(greatest, *w)
	}
	if greatest == 0 || greatest >= minShare && greatest <= maxShare {
		return
	}
	for i := range services {
		services[i].Weight /= greatest
	}
}

func (s *Service) bound() { s.MaxConns = min(max(0, s.MaxConns), maxConns) }

func (l *Limits) bound() { l.BodyBytes = min(max(0, l.BodyBytes), maxBodyBytes) }

func (a *Account) bound() {
	a.Weight, a.MaxPerSecond = boundShare(a.Weight), boundShare(a.MaxPerSecond)
}
