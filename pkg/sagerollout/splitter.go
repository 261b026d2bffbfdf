package sagerollout

// mostCredit bounds what a node saves up for the target while no request may use it.
const mostCredit = 2.0

// Splitter sends a share of a node's requests to the target. It is not safe for concurrent use.
//
// Requests on the routes of which the target has had the least are preferred, so that a version that is bad
// on a rare route only is found out as soon as one that is bad on a busy one.
type Splitter struct {
	// Begin is where this node begins between two requests for the target, a random part of 1: of many nodes
	// that see a few requests each some send one there, and the share holds for all of them together. It is
	// set before use.
	InitialCredit float64

	credit float64
	sent   map[string]int
}

// Next reports whether the next request, on a route, goes to the target.
func (s *Splitter) Next(route string, share float64) bool {
	if share >= 1 {
		return true
	}
	if s.sent == nil {
		s.sent, s.credit = make(map[string]int), s.InitialCredit
	}
	n := s.sent[route]
	s.sent[route] = n // a route counts from its first request on
	s.credit = min(s.credit+max(0, share), mostCredit)
	if share <= 0 || s.credit < 1 || n > s.least() && s.credit < mostCredit {
		return false
	}
	s.credit--
	s.sent[route]++
	return true
}

// least returns how many requests of the route with the fewest went to the target.
func (s *Splitter) least() int {
	out := -1
	for _, n := range s.sent {
		if out < 0 || n < out {
			out = n
		}
	}
	return out
}
