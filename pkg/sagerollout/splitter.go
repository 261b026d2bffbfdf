package sagerollout

// maxCredit bounds the credit that accumulates while no request may use it.
const maxCredit = 2.0

// Splitter sends a share of a node's requests to the target. It is not safe for concurrent use.
//
// Each request adds its share to a credit, and a request for the target takes 1 from it. Requests on the routes
// with the fewest requests for the target are preferred, so that a version that is bad only on a rare route is
// detected as fast as one that is bad on a busy route.
type Splitter struct {
	// InitialCredit is a random number in [0, 1). Without it, nodes that get few requests each would never reach
	// the credit for a request to the target. With it some of them do, so that the share holds for all nodes
	// together. It is set before use.
	InitialCredit float64

	credit float64
	sent   map[string]int
}

// Next reports whether the next request on a route goes to the target.
func (s *Splitter) Next(route string, share float64) bool {
	if share >= 1 {
		return true
	}
	if s.sent == nil {
		s.sent, s.credit = make(map[string]int), s.InitialCredit
	}
	n := s.sent[route]
	s.sent[route] = n // adds a new route with 0
	s.credit = min(s.credit+max(0, share), maxCredit)
	if share <= 0 || s.credit < 1 || n > s.fewestSent() && s.credit < maxCredit {
		return false
	}
	s.credit--
	s.sent[route]++
	return true
}

// fewestSent returns the number of requests for the target on the route with the fewest of them.
func (s *Splitter) fewestSent() int {
	fewest := -1
	for _, n := range s.sent {
		if fewest < 0 || n < fewest {
			fewest = n
		}
	}
	return fewest
}
