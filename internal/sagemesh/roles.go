package sagemesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// rankHash orders nodes for [Service.Rank].
func rankHash(address string) uint64 { return xxhash.Sum64String(address) }

// discoveryTime is how long an address that was added counts as a live node for the ranks although nothing has been received
// from it. After a start of all nodes, the first ones to query the store would otherwise be all that have not discovered the
// others yet.
const discoveryTime = 3 * time.Second

// roles are what the live nodes and their states imply for this node. They are computed once after each change and
// not modified afterwards.
type roles struct {
	// validUntil is when the time to discover a node ends; 0 if there is none to be discovered.
	validUntil sageclock.Instant
	// rank is this node's rank among the nodes that reach the store, rankUnreachable its rank if it doesn't.
	rank, rankUnreachable int
	// regionRank and regionRankUnreachable are the same among the nodes of this region and those whose region isn't known yet.
	regionRank, regionRankUnreachable int
	// standby are the addresses of the standby nodes.
	standby []string
	// writers are the live nodes that reach the store, by rank; this one is among them.
	writers []NodeAddress
	// aggregators are the aggregators by data centre.
	aggregators map[string]aggregatorPair
}

// currentRoles returns the present roles. In a fleet at rest nothing changes them, and a pass over all nodes for each
// use would cost more than the heartbeats.
func (s *Service) currentRoles() *roles {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roles == nil || s.roles.validUntil != 0 && s.now() >= s.roles.validUntil {
		s.roles = s.computeRoles()
	}
	return s.roles
}

// candidate is a node in the orders that decide the roles.
type candidate struct {
	address                  string
	linkMbps                 int
	rankHash, aggregatorHash uint64
}

// computeRoles computes the roles. mu is held.
func (s *Service) computeRoles() *roles {
	self := candidate{s.Address, s.LinkMbps, rankHash(s.Address), aggregatorHash(s.Address)}
	r := &roles{aggregators: make(map[string]aggregatorPair)}
	standby := []candidate{self}
	first := map[string][2]candidate{s.DataCentre: {self}}
	now := s.now()
	for a, p := range s.peers {
		m := &p.member
		c := candidate{a, m.LinkMbps, p.rankHash, p.aggregatorHash}
		discoverUntil := p.addedAt.Add(discoveryTime)
		switch {
		case s.live[a] && !m.Leaving:
			first[m.DataCentre] = insert(first[m.DataCentre], c)
		case p.lastContact == 0 && now < discoverUntil:
			if r.validUntil == 0 || discoverUntil < r.validUntil {
				r.validUntil = discoverUntil
			}
		default:
			continue
		}
		before, inRegion := c.rankHash > self.rankHash, !s.live[a] || m.Region == s.Region
		switch {
		case m.StoreUnreachable && before:
			r.rankUnreachable++
			r.regionRankUnreachable += count(inRegion)
		case m.StoreUnreachable:
		default:
			r.rankUnreachable++
			r.regionRankUnreachable += count(inRegion)
			standby = append(standby, c)
			if before {
				r.rank++
				r.regionRank += count(inRegion)
			}
		}
	}
	for dc, pair := range first {
		r.aggregators[dc] = aggregatorPair{primary: pair[0].address, backup: pair[1].address}
	}
	slices.SortFunc(standby, func(a, b candidate) int { return cmp.Compare(b.rankHash, a.rankHash) })
	for _, c := range standby[:min(standbyCount, len(standby))] {
		r.standby = append(r.standby, c.address)
	}
	for _, c := range standby {
		switch {
		case c.address == s.Address:
			r.writers = append(r.writers, NodeAddress{Address: s.Address, DataCentre: s.DataCentre})
		case s.live[c.address]:
			r.writers = append(r.writers, NodeAddress{Address: c.address, DataCentre: s.peers[c.address].member.DataCentre})
		}
	}
	return r
}

// count returns 1 if a condition holds.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// insert adds a candidate to the first two in the order of aggregators.
func insert(pair [2]candidate, c candidate) [2]candidate {
	switch {
	case pair[0].address == "" || c.precedes(pair[0]):
		return [2]candidate{c, pair[0]}
	case pair[1].address == "" || c.precedes(pair[1]):
		return [2]candidate{pair[0], c}
	}
	return pair
}

// precedes reports whether a candidate precedes another one in the order of aggregators.
func (c candidate) precedes(o candidate) bool {
	return cmp.Or(cmp.Compare(c.linkMbps, o.linkMbps), cmp.Compare(c.aggregatorHash, o.aggregatorHash)) > 0
}

// updateMember stores a node's state and discards the roles if they depend on what changed. mu is held.
func (s *Service) updateMember(p *peer, m Member) {
	old := &p.member
	if !s.live[m.Address] || old.Leaving != m.Leaving || old.StoreUnreachable != m.StoreUnreachable || old.DataCentre != m.DataCentre || old.LinkMbps != m.LinkMbps {
		s.roles = nil
	}
	p.member = m
	s.live[m.Address] = true
}
