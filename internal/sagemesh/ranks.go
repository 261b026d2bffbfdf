package sagemesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns this node's position, from 0, in an order of the live nodes by the hash of their addresses. Leaving
// nodes are left out. Nodes that can't reach the store come last, and are ignored by those that can.
//
// The store may refuse some nodes and serve others. If a refused node, which is alive for its peers, kept its rank,
// no other node would replace it as the watcher. If the store refuses all nodes, the first two keep calling it.
func (s *Service) Rank(storeUnreachable bool) int {
	ownHash, rank := xxhash.Sum64String(s.Address), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		m := &s.peers[a].member
		switch {
		case m.Leaving || m.StoreUnreachable && !storeUnreachable:
		case storeUnreachable && !m.StoreUnreachable, xxhash.Sum64String(a) > ownHash:
			rank++
		}
	}
	return rank
}

// IsFirstInDataCentre reports whether this node has the highest address hash among the nodes of its data centre.
func (s *Service) IsFirstInDataCentre() bool {
	ownHash := xxhash.Sum64String(s.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		if m := &s.peers[a].member; m.DataCentre == s.DataCentre && !m.Leaving && xxhash.Sum64String(a) > ownHash {
			return false
		}
	}
	return true
}

// IsStandby reports whether this node is one of the standby nodes, which exchange heartbeats at the shortest
// interval in a large fleet.
func (s *Service) IsStandby() bool { return s.isStandby.Load() }

// standbyNodes returns the addresses of the first nodes in the order of [Service.Rank].
func (s *Service) standbyNodes() []string {
	type ranked struct {
		address string
		hash    uint64
	}
	all := []ranked{{s.Address, xxhash.Sum64String(s.Address)}}
	s.mu.Lock()
	for a := range s.live {
		if m := &s.peers[a].member; !m.Leaving && !m.StoreUnreachable {
			all = append(all, ranked{a, xxhash.Sum64String(a)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]string, min(standbyCount, len(all)))
	for i := range out {
		out[i] = all[i].address
	}
	return out
}
