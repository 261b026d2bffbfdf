package sagemesh

import (
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Detection of unresponsive nodes.
const (
	// minContactTimeout is the time without contact within which a node is never suspected.
	minContactTimeout = 4 * shortestInterval
	// maxMissedBroadcasts is the number of broadcast rounds that a node may miss before it is suspected.
	maxMissedBroadcasts = 3
	// minMissedHeartbeats is how many heartbeats must have been expected from a data centre since the last one for all
	// of its nodes to be suspected. Their broadcast rounds are independent, so in one of twenty thousand such periods none
	// arrives by chance.
	minMissedHeartbeats = 10
	// replyTimeout is how long a suspected node has to reply. Meanwhile it is probed at the shortest interval.
	// The time covers a round trip between the most distant data centres and a slow node's processing.
	replyTimeout = 500 * time.Millisecond
	// unresponsiveReportPeriod is how long an aggregator reports an unresponsive node of its data centre: long
	// enough for several datagrams, some of which may be lost.
	unresponsiveReportPeriod = time.Second
)

// unresponsiveNodes are addresses of unresponsive nodes that an aggregator reports.
type unresponsiveNodes struct {
	// local are nodes of its own data centre, which it detected itself. all also contains those that other
	// aggregators reported.
	local, all []string
}

// suspected reports whether a live node has to be probed. mu is held.
func (s *Service) suspected(now sageclock.Instant, p *peer, interval time.Duration, unresponsiveCentres map[string]bool) bool {
	sinceContact := now.Sub(p.lastContact)
	switch {
	case sinceContact <= minContactTimeout:
		return false
	case p.shortInterval, p.reportedAt > p.lastContact, unresponsiveCentres[p.member.DataCentre]:
		return true
	}
	if since, ok := s.expectedSince[p.member.Address]; ok {
		return now.Sub(max(p.lastContact, since)) > minContactTimeout
	}
	return sinceContact > maxMissedBroadcasts*interval
}

// setExpected sets the nodes from which this node expects heartbeats at the shortest interval.
//
// This detects nodes that died together with their aggregator. The node that takes over may never have received
// heartbeats from them at the shortest interval, or may have died as well. Without the expectation, all nodes
// would consider the dead ones live until their broadcast rounds are overdue.
func (s *Service) setExpected(nodes map[string]bool) {
	for a := range s.expectedSince {
		if !nodes[a] {
			delete(s.expectedSince, a)
		}
	}
	for a := range nodes {
		if s.expectedSince[a] == 0 {
			s.expectedSince[a] = s.now()
		}
	}
}

// unresponsiveCentres returns the data centres that seem to be lost or cut off: none of their nodes has been in
// contact for so long that several heartbeats are missing. mu is held.
//
// When a data centre loses power, its aggregator can't report the other nodes, and each of them would be suspected
// only after its broadcast rounds are overdue. Until then callers would be directed to these nodes.
func (s *Service) unresponsiveCentres(now sageclock.Instant, interval time.Duration) map[string]bool {
	nodes := make(map[string]int)
	lastContact := make(map[string]sageclock.Instant)
	for a := range s.live {
		p := s.peers[a]
		nodes[p.member.DataCentre]++
		lastContact[p.member.DataCentre] = max(lastContact[p.member.DataCentre], p.lastContact)
	}
	unresponsive := make(map[string]bool)
	for dc, n := range nodes {
		unresponsive[dc] = now.Sub(lastContact[dc]) > max(minContactTimeout, minMissedHeartbeats*interval/time.Duration(n))
	}
	return unresponsive
}

// checkLiveness probes suspected nodes, and drops those that did not reply.
//
// It keeps addresses of dead nodes out of the directory's answers. With hundreds of nodes, broadcast rounds are
// seconds apart, and without faster detection a caller would try several dead nodes in a row. A node that receives
// heartbeats at the shortest interval, as an aggregator does from its data centre, suspects their sender after a
// few missing ones and reports it when it is dropped. A report or a lost datagram alone causes a probe but drops no
// node, since an aggregator may be able to send but not to receive.
func (s *Service) checkLiveness() {
	now, interval := s.now(), s.Interval()
	aggregator := s.aggregators()[s.DataCentre].primary
	var dropped []Member
	var probed []string
	s.mu.Lock()
	unresponsiveCentres := s.unresponsiveCentres(now, interval)
	for a, p := range s.peers {
		switch {
		case !s.live[a]:
			if !p.seed && now.Sub(max(p.lastContact, p.addedAt)) > forgetAfter {
				delete(s.peers, a)
				s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == a })
			}
		case p.probedAt > p.lastContact && now.Sub(p.probedAt) > replyTimeout:
			s.drop(now, a, a == aggregator)
			dropped = append(dropped, p.member)
		case p.probedAt > p.lastContact:
			probed = append(probed, a)
		case s.suspected(now, p, interval, unresponsiveCentres):
			p.probedAt = now
			probed = append(probed, a)
		}
	}
	s.mu.Unlock()
	if len(probed) > 0 {
		s.sendBatch(batch{
			fill: func(h *Heartbeat) { h.ReplyRequested = true },
			to:   probed,
		})
	}
	for _, m := range dropped {
		s.OnLost(m)
	}
}

// drop removes a node from the live ones. mu is held.
//
// If the node was this data centre's aggregator, the other nodes of the data centre without recent contact are
// probed. They may have died together with it, and so may its backup, so that no node is left that received
// heartbeats from all of them at the shortest interval and could report them.
func (s *Service) drop(now sageclock.Instant, address string, isAggregator bool) {
	delete(s.live, address)
	s.roles = nil
	s.peers[address].droppedAt = now
	if !isAggregator {
		return
	}
	for a := range s.live {
		if p := s.peers[a]; p.member.DataCentre == s.DataCentre {
			p.reportedAt = now
		}
	}
}

// collectUnresponsive returns the unresponsive nodes that this node has to report as an aggregator.
func (s *Service) collectUnresponsive() unresponsiveNodes {
	now := s.now()
	var u unresponsiveNodes
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, p := range s.peers {
		if !s.live[a] && p.droppedAt != 0 && now.Sub(p.droppedAt) < unresponsiveReportPeriod && p.member.DataCentre == s.DataCentre {
			u.local = append(u.local, a)
		}
	}
	u.all = slices.Clone(u.local)
	for a, at := range s.remoteUnresponsive {
		if now.Sub(at) < unresponsiveReportPeriod {
			u.all = append(u.all, a)
		} else {
			delete(s.remoteUnresponsive, a)
		}
	}
	return u
}

// recordUnresponsive records the nodes that an aggregator reports as unresponsive, and keeps the reports from other
// data centres for the nodes of this one. mu is held.
func (s *Service) recordUnresponsive(now sageclock.Instant, h *Heartbeat) {
	for _, a := range h.Unresponsive {
		if p := s.peers[a]; p != nil {
			p.reportedAt = now
		}
		if h.Forward && h.DataCentre != s.DataCentre {
			s.remoteUnresponsive[a] = now
		}
	}
}
