package sagemesh

import "slices"

// Rank returns this node's position, from 0, in an order of the live nodes by the hash of their addresses. Leaving
// nodes are left out. Nodes that can't reach the store come last, and are ignored by those that can.
//
// The store may refuse some nodes and serve others. If a refused node, which is alive for its peers, kept its rank,
// no other node would replace it as the watcher. If the store refuses all nodes, the first two keep calling it.
func (s *Service) Rank(storeUnreachable bool) int {
	r := s.currentRoles()
	if storeUnreachable {
		return r.rankUnreachable
	}
	return r.rank
}

// RegionRank is like Rank among the nodes of this region.
func (s *Service) RegionRank(storeUnreachable bool) int {
	r := s.currentRoles()
	if storeUnreachable {
		return r.regionRankUnreachable
	}
	return r.regionRank
}

// NodeAddress is where a node is reached by others.
type NodeAddress struct {
	Address, DataCentre string
}

// Writers returns the live nodes that reach the store, in the order of [Service.Rank]. If no other node does, this one is the only one.
func (s *Service) Writers(storeUnreachable bool) []NodeAddress {
	all := s.currentRoles().writers
	if !storeUnreachable || len(all) == 1 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(n NodeAddress) bool { return n.Address == s.Address })
}

// FetchesForDataCentre reports whether this node fetches new content from other data centres for its own one.
func (s *Service) FetchesForDataCentre() bool {
	return s.currentRoles().aggregators[s.DataCentre].primary == s.Address
}

// IsStandby reports whether this node is one of the standby nodes, which exchange heartbeats at the shortest
// interval in a large fleet.
func (s *Service) IsStandby() bool { return s.isStandby.Load() }

// standbyNodes returns the addresses of the first nodes in the order of [Service.Rank].
func (s *Service) standbyNodes() []string { return s.currentRoles().standby }
