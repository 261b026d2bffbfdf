package sagemesh

import (
	"slices"
	"time"
)

const (
	// shortestInterval is the interval of heartbeats in a small fleet. If load reports are no older than
	// this, a load bound of 1.5 times the mean keeps the actual load well below twice the mean.
	shortestInterval = 200 * time.Millisecond
	// smallFleetSize is the largest fleet in which nodes send to all others at the shortest interval, where each
	// sends and receives a hundred datagrams a second. Each further node adds intervalPerNode to the interval, so
	// that a node of a large fleet handles some thirty a second. Urgent data goes through the aggregators there.
	smallFleetSize  = 20
	intervalPerNode = 30 * time.Millisecond
	// maxRoundBatch is the number of heartbeats of a broadcast round that are sent at a time in a large fleet, a thousand
	// a second: a fiftieth of a core.
	maxRoundBatch = 200
)

// PropagationDelay returns how long a node's report and the freshness proof with it take to reach all others if no
// datagram is lost. Each hop takes two intervals, one for the stamp and one for the heartbeat that echoes it. With
// aggregators there are three hops.
func (s *Service) PropagationDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MaxPropagationDelay(len(s.peers) + 1)
}

// MaxPropagationDelay returns the propagation delay at a node that knows the given number of nodes, itself included.
func MaxPropagationDelay(nodes int) time.Duration {
	if nodes > smallFleetSize {
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
		return
	}
	s.continueRound()
}

// round is a broadcast round of a large fleet in progress.
type round struct {
	// waiting are the addresses of the nodes whose turn has not come yet.
	waiting []string
	// reached are the nodes that got a heartbeat since the round started, for instance a reply.
	reached map[string]bool
	// updates are the cached parts that the heartbeats of the round carry.
	updates Heartbeat
}

// startRound starts a broadcast round in a large fleet. If one is in progress, it goes on after another heartbeat to the
// nodes that need it soon.
//
// Its heartbeats are paced. When a large fleet starts, each node has to reach each other one, and all at once these
// heartbeats and the replies to them would occupy the smallest nodes for seconds.
func (s *Service) startRound() {
	s.collectUpdates()
	soon, others := s.roundOrder()
	if len(s.round.waiting) > 0 {
		s.updatesForAll.add(s.round.updates.Held, s.round.updates.Listed)
		others = s.round.waiting
	} else {
		s.round.reached = make(map[string]bool)
	}
	for _, a := range soon {
		delete(s.round.reached, a)
	}
	s.round.waiting = slices.Concat(soon, others)
	s.updatesForAll.moveTo(&s.round.updates, maxListedPerDatagram)
}

// roundOrder returns the addresses of all peers: the nodes of this data centre and those that distribute updates or query
// the store, and the others in random order.
func (s *Service) roundOrder() (soon, others []string) {
	aggregators, standby := s.aggregators(), s.standbyNodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.order {
		dc := s.peers[a].member.DataCentre
		if dc == s.DataCentre || aggregators[dc].contains(a) || slices.Contains(standby, a) {
			soon = append(soon, a)
		} else {
			others = append(others, a)
		}
	}
	s.rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return soon, others
}

// continueRound sends the next heartbeats of the round in progress.
func (s *Service) continueRound() {
	var next []string
	for len(s.round.waiting) > 0 && len(next) < maxRoundBatch {
		a := s.round.waiting[0]
		s.round.waiting = s.round.waiting[1:]
		if !s.round.reached[a] {
			next = append(next, a)
		}
	}
	if len(next) > 0 {
		s.sendBatch(batch{to: next, fill: func(h *Heartbeat) {
			h.Held, h.Listed = s.round.updates.Held, s.round.updates.Listed
			h.Demand = nil // out of date long before the next round
		}})
	}
}

// untilNextBroadcast returns the time until the next broadcast round.
//
// In a large fleet it is random, since nodes that start together would otherwise send in bursts.
func (s *Service) untilNextBroadcast() time.Duration {
	d := s.Interval()
	switch {
	case d == shortestInterval:
		return 0
	case s.nextBroadcast == 0:
		return time.Duration(s.rnd.Int64N(int64(d)))
	}
	return d/2 + time.Duration(s.rnd.Int64N(int64(d)))
}
