package sagemesh

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// hubHash orders nodes with equal links. It differs from the order of [Service.Rank], so that the nodes
// that watch the store aren't hubs as well.
func hubHash(address string) uint64 { return xxhash.Sum64String(address + "/hub") }

// hub is who passes news on in a data centre.
type hub struct {
	first string
	// deputy is the next in order, empty if there is none.
	deputy string
}

// has reports whether a node is the hub or its deputy.
func (h hub) has(address string) bool { return address == h.first || address == h.deputy }

// hubs returns, by data centre, its hub and the hub's deputy: of its nodes that stay the two with the widest
// links, among equals the first in an order of their own.
//
// It guards against news that waits on a small link: the hub of fifty nodes handles some five hundred
// datagrams a second, and many fleets have a few nodes with wide links among many with small ones.
func (s *Service) hubs() map[string]hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]hub{s.DataCentre: {first: s.Address}}
	for _, a := range s.order {
		m := &s.peers[a].member
		if !s.live[a] || m.Leaving {
			continue
		}
		h := out[m.DataCentre]
		switch {
		case h.first == "" || s.before(a, h.first):
			h.first, h.deputy = a, h.first
		case h.deputy == "" || s.before(a, h.deputy):
			h.deputy = a
		}
		out[m.DataCentre] = h
	}
	return out
}

// before reports whether one node comes before another in the order of hubs. mu is held.
func (s *Service) before(a, b string) bool {
	return cmp.Or(cmp.Compare(s.linkOf(a), s.linkOf(b)), cmp.Compare(hubHash(a), hubHash(b))) > 0
}

func (s *Service) linkOf(address string) int {
	if address == s.Address {
		return s.LinkMbps
	}
	return s.peers[address].member.LinkMbps
}

// IsHub reports whether a node is the hub of its data centre, as far as this node knows. Sums of others
// are not for use: two nodes may believe that they are it.
func (s *Service) IsAggregator(m *Member) bool { return s.hubs()[m.DataCentre].first == m.Address }

// Relays reports whether this node passes on what others report: in a small fleet every node does, in a large one the
// hubs.
func (s *Service) ForwardsReports() bool {
	return s.Interval() == shortest || s.hubs()[s.DataCentre].first == s.Address
}

// tellHubs does this node's part in passing counts and news on between the rounds of a large fleet: it
// tells its hub, or, if it is one, the other hubs what came from its data centre and the nodes of its
// own what came from all. Deputies are told what hubs are told, so that one that takes over knows at once who is
// silent, and hears of hubs elsewhere that took over at the same moment.
//
// It guards against what nodes do together because they last heard of each other seconds ago: they fill
// the same engine, and read a prompt again on an engine of their own that another one holds. News goes with
// the rounds to all nodes as well, so that a lost datagram or hub only delays it.
func (s *Service) tellHubs() {
	hubs := s.hubs()
	mine := hubs[s.DataCentre]
	s.gatherNews()
	if mine.first != s.Address {
		s.dropPassed()
		s.expect(map[string]bool{mine.first: true})
		s.soonTo = map[string]bool{mine.first: true, mine.deputy: true}
		s.tellThose(round{
			fill: func(h *Heartbeat) { h.Forward = true; s.forHub.put(h, mostListedPassed) },
			want: func(t *target) bool { return mine.has(t.address) },
		})
		return
	}
	s.passOwn()
	near := func(t *target) bool { return t.dataCentre == s.DataCentre }
	others := func(t *target) bool { return !near(t) && hubs[t.dataCentre].has(t.address) }
	s.expect(s.addresses(func(t *target) bool { return near(t) || t.address == hubs[t.dataCentre].first }))
	s.soonTo = s.addresses(func(t *target) bool { return near(t) || others(t) })
	silent := s.silentWords()
	s.tellThose(round{fill: func(h *Heartbeat) { s.fillForHubs(h, silent) }, want: others})
	s.tellThose(round{fill: func(h *Heartbeat) { s.fillForNear(h, silent) }, want: near})
}

// dropPassed forgets what came to be passed on by a node that isn't the hub: the hub was told as well.
func (s *Service) dropPassed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forHubs, s.forNear = news{}, news{}
}

// passOwn adds this hub's own facts to those that it has to pass on.
func (s *Service) passOwn() {
	own := new(Heartbeat)
	s.forHub.put(own, mostListedPassed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forHubs.add(own.Held, own.Listed)
	s.forNear.add(own.Held, own.Listed)
}

// fillForHubs adds what came from this data centre.
func (s *Service) fillForHubs(h *Heartbeat, silent words) {
	s.FillSum(h, false)
	h.Forward, h.Unresponsive = true, silent.near
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forHubs.put(h, s.listedFor(len(s.soonTo), len(h.Sum.InFlight)))
}

// fillForNear adds what came from all.
func (s *Service) fillForNear(h *Heartbeat, silent words) {
	s.FillSum(h, true)
	h.Unresponsive = silent.all
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forNear.put(h, s.listedFor(len(s.soonTo), len(h.Sum.InFlight)))
}

// passOn keeps what came with a heartbeat for the other nodes, if its sender asks for that. mu is held.
func (s *Service) passOn(h *Heartbeat) {
	if !h.Forward {
		return
	}
	s.forNear.add(h.Held, h.Listed)
	if h.DataCentre == s.DataCentre {
		s.forHubs.add(h.Held, h.Listed)
	}
}
