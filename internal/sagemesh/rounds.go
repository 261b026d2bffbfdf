package sagemesh

import "time"

// How often nodes tell each other.
const (
	// shortest is the interval of heartbeats in a small fleet. Loads that are this old let a bound
	// of one and a half times the mean stay well below twice the mean.
	shortest = 200 * time.Millisecond
	// smallFleet is how many nodes tell all others at the shortest interval: a hundred datagrams a second in
	// and as many out. perNode is by how much each further one makes the interval longer, so that a node
	// of a large fleet handles some thirty: what is urgent comes by the hubs.
	smallFleet = 20
	perNode    = 30 * time.Millisecond
)

// Lag is how long what one node tells takes to reach all others while nothing is lost, and what they prove to
// each other with it: a datagram and the stamp that it echoes a hop, by the hubs three hops.
func (s *Service) PropagationDelay() time.Duration {
	if s.Interval() > shortest {
		return 3 * 2 * shortest
	}
	return 2 * shortest
}

// Interval is the time between two rounds of heartbeats to all, in the mean.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shortest + time.Duration(max(0, len(s.peers)+1-smallFleet))*perNode
}

// between does what comes at the shortest interval, a round to all among it if one is due.
func (s *Service) between() {
	s.sweep()
	s.soonTo = nil
	if s.Interval() > shortest {
		s.tellHubs()
		s.tellQuick()
	} else {
		clear(s.expected)
	}
	if now := s.now(); now >= s.nextRound {
		s.nextRound = now.Add(s.untilRound())
		s.tell(false)
	}
}

// untilRound returns the time until the next round to all.
//
// It guards against rounds that fall together: the nodes of a fleet start at the same moment, and where
// rounds are seconds apart their datagrams would come at once over the small links, and then none for long.
func (s *Service) untilRound() time.Duration {
	d := s.Interval()
	if d == shortest {
		return 0
	}
	return d/2 + time.Duration(s.rnd.Int64N(int64(d)))
}
