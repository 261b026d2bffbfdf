package sagemesh

import "github.com/cespare/xxhash/v2"

// gatherHash orders the nodes that may gather counts. It differs from the order of [Service.Rank], so
// that the nodes that watch the store don't gather as well.
func gatherHash(address string) uint64 { return xxhash.Sum64String(address + "/gather") }

// gatherers returns, by data centre, the address of the node that gathers its counts: the first, in
// an order of their own, of its nodes that stay.
func (s *Service) gatherers() map[string]string {
	out := map[string]string{s.DataCentre: s.Address}
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		m := &s.peers[a].member
		if m.Leaving {
			continue
		}
		if first, ok := out[m.DataCentre]; !ok || gatherHash(a) > gatherHash(first) {
			out[m.DataCentre] = a
		}
	}
	return out
}

// Gathers reports whether a node is the one that gathers the counts of its data centre, as far as this
// node knows. Sums of others are not for use: two nodes may believe that they gather.
func (s *Service) Gathers(m *Member) bool { return s.gatherers()[m.DataCentre] == m.Address }

// tellSums does this node's part in passing counts on between the rounds of a large fleet: it tells the
// node that gathers them, or, if it is that node, its likes in other data centres the sum of its own
// and the nodes of its own the total.
//
// It guards against engines that many nodes fill together because they last heard of each other a
// second ago. In the model of package sagechain, when five of twelve engines come back empty, 0.4 % of
// requests reach an engine above the platform's cap with counts told each 0.3 s, and 2.8 % with counts
// told each 0.9 s.
func (s *Service) tellSums() {
	gatherers := s.gatherers()
	mine := gatherers[s.DataCentre]
	if mine != s.Address {
		s.tellOne(mine)
		return
	}
	s.tellThose(round{
		fill: func(h *Heartbeat) { s.FillSum(h, false) },
		want: func(t *target) bool { return t.dataCentre != s.DataCentre && gatherers[t.dataCentre] == t.address },
	})
	s.tellThose(round{
		fill: func(h *Heartbeat) { s.FillSum(h, true) },
		want: func(t *target) bool { return t.dataCentre == s.DataCentre },
	})
}
