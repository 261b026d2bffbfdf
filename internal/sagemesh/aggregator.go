package sagemesh

import "github.com/cespare/xxhash/v2"

// aggregatorHash orders nodes with equal link bandwidths. The order differs from that of [Service.Rank], so that the
// nodes that watch the store aren't aggregators as well.
func aggregatorHash(address string) uint64 { return xxhash.Sum64String(address + "/hub") }

// aggregatorPair holds the addresses of a data centre's aggregators.
type aggregatorPair struct {
	primary string
	// backup is the next node in the order of aggregators, empty if there is none.
	backup string
}

// contains reports whether a node is the aggregator or its backup.
func (p aggregatorPair) contains(address string) bool {
	return address == p.primary || address == p.backup
}

// addresses returns the addresses of the aggregator and its backup.
func (p aggregatorPair) addresses() []string { return []string{p.primary, p.backup} }

// aggregators returns the aggregator and its backup by data centre. They are the two nodes with the fastest links
// among those that aren't leaving; aggregatorHash decides between equal links.
//
// The aggregator of fifty nodes handles some five hundred datagrams a second. In many fleets most nodes have slow
// links, over which an aggregator would send updates late.
func (s *Service) aggregators() map[string]aggregatorPair { return s.currentRoles().aggregators }

// IsAggregator reports whether a node is the aggregator of its data centre in this node's view. Sums from other
// nodes must not be used, since more than one node may consider itself the aggregator.
func (s *Service) IsAggregator(m *Member) bool {
	return s.aggregators()[m.DataCentre].primary == m.Address
}

// ForwardsReports reports whether this node forwards reports of other nodes. In a small fleet every node does, in a
// large one only the aggregators do.
func (s *Service) ForwardsReports() bool {
	return s.Interval() == shortestInterval || s.aggregators()[s.DataCentre].primary == s.Address
}

// sendViaAggregators exchanges counts and updates through the aggregators between the broadcast rounds of a large
// fleet. A node sends its own to its aggregator. An aggregator sends those of its data centre to the other
// aggregators, and those of all nodes to the nodes of its data centre. Backups get what aggregators get. When one
// takes over, it already knows which nodes are unresponsive, and it receives from aggregators elsewhere that took
// over at the same moment.
//
// Without it, nodes act on counts that are seconds old: they fill the same engine together, and process a prompt
// on one engine that another engine has cached. Broadcast rounds carry the updates as well, so that the loss of a
// datagram or an aggregator only delays them.
func (s *Service) sendViaAggregators() {
	aggregators := s.aggregators()
	own := aggregators[s.DataCentre]
	s.collectUpdates()
	if own.primary != s.Address {
		s.dropForwarded()
		s.setExpected(map[string]bool{own.primary: true})
		s.shortIntervalTo = map[string]bool{own.primary: true, own.backup: true}
		s.sendBatch(batch{
			fill: func(h *Heartbeat) { h.Forward = true; s.updatesForAggregator.moveTo(h, maxListedForwarded) },
			to:   own.addresses(),
		})
		return
	}
	s.forwardOwn()
	local := func(t *target) bool { return t.dataCentre == s.DataCentre }
	otherAggregators := func(t *target) bool { return !local(t) && aggregators[t.dataCentre].contains(t.address) }
	s.setExpected(s.targetAddresses(func(t *target) bool { return local(t) || t.address == aggregators[t.dataCentre].primary }))
	s.shortIntervalTo = s.targetAddresses(func(t *target) bool { return local(t) || otherAggregators(t) })
	unresponsive := s.collectUnresponsive()
	s.sendBatch(batch{fill: func(h *Heartbeat) { s.fillForAggregators(h, unresponsive) }, include: otherAggregators})
	s.sendBatch(batch{fill: func(h *Heartbeat) { s.fillForLocal(h, unresponsive) }, include: local})
}

// dropForwarded discards the updates to be forwarded, on a node that isn't the aggregator: the aggregator received
// them too.
func (s *Service) dropForwarded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardToAggregators, s.forwardToLocal = cacheUpdates{}, cacheUpdates{}
}

// forwardOwn adds this aggregator's own updates to those that it forwards.
func (s *Service) forwardOwn() {
	h := new(Heartbeat)
	s.updatesForAggregator.moveTo(h, maxListedForwarded)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardToAggregators.add(h.Held, h.Listed)
	s.forwardToLocal.add(h.Held, h.Listed)
}

// fillForAggregators adds what came from the nodes of this data centre.
func (s *Service) fillForAggregators(h *Heartbeat, unresponsive unresponsiveNodes) {
	s.FillSum(h, false)
	h.Forward, h.Unresponsive = true, unresponsive.local
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardToAggregators.moveTo(h, s.listedPerNode(len(s.shortIntervalTo), len(h.Sum.InFlight)))
}

// fillForLocal adds what came from all nodes.
func (s *Service) fillForLocal(h *Heartbeat, unresponsive unresponsiveNodes) {
	s.FillSum(h, true)
	h.Unresponsive = unresponsive.all
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardToLocal.moveTo(h, s.listedPerNode(len(s.shortIntervalTo), len(h.Sum.InFlight)))
}

// queueForwarded queues the updates in a heartbeat for other nodes, if its sender asks to forward them. mu is held.
func (s *Service) queueForwarded(h *Heartbeat) {
	if !h.Forward {
		return
	}
	s.forwardToLocal.add(h.Held, h.Listed)
	if h.DataCentre == s.DataCentre {
		s.forwardToAggregators.add(h.Held, h.Listed)
	}
}
