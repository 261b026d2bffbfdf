package sagemesh

import "time"

const (
	// shortestInterval is the interval of heartbeats in a small fleet. If load reports are no older than
	// this, a load bound of 1.5 times the mean keeps the actual load well below twice the mean.
	shortestInterval = 200 * time.Millisecond
	// smallFleetSize is the largest fleet in which nodes send to all others at the shortest interval, where each
	// sends and receives a hundred datagrams a second. Each further node adds intervalPerNode to the interval, so
	// that a node of a large fleet handles some thirty a second. Urgent data goes through the aggregators there.
	smallFleetSize  = 20
	intervalPerNode = 30 * time.Millisecond
)

// PropagationDelay returns how long a node's report and the freshness proof with it take to reach all others if no
// datagram is lost. Each hop takes two intervals, one for the stamp and one for the heartbeat that echoes it. With
// aggregators there are three hops.
func (s *Service) PropagationDelay() time.Duration {
	if s.Interval() > shortestInterval {
		return 3 * 2 * shortestInterval
	}
	return 2 * shortestInterval
}

// Interval returns the mean time between two broadcast rounds.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shortestInterval + time.Duration(max(0, len(s.peers)+1-smallFleetSize))*intervalPerNode
}

// tick does the work that is due at the shortest interval, and starts a broadcast round if it is time for one.
func (s *Service) tick() {
	s.checkLiveness()
	s.shortIntervalTo = nil
	if s.Interval() > shortestInterval {
		s.sendViaAggregators()
		s.sendToStandbyNodes()
	} else {
		clear(s.expectedSince)
	}
	if now := s.now(); now >= s.nextBroadcast {
		s.nextBroadcast = now.Add(s.untilNextBroadcast())
		s.broadcast(false)
	}
}

// untilNextBroadcast returns the time until the next broadcast round.
//
// In a large fleet it is random. The nodes start at the same moment, and with rounds that are seconds apart, their
// datagrams would otherwise arrive over the slow links in bursts.
func (s *Service) untilNextBroadcast() time.Duration {
	d := s.Interval()
	if d == shortestInterval {
		return 0
	}
	return d/2 + time.Duration(s.rnd.Int64N(int64(d)))
}
