package sagemesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns this node's place in an order of the live nodes that stay, by the hash of their
// addresses. Nodes that the store refuses count only for each other.
//
// It guards against watchers that nobody replaces: the store may refuse some nodes and serve others,
// and a node that it refuses is alive for its peers. When it refuses all, two of them go on asking.
func (s *Service) Rank(blind bool) int {
	mine, rank := xxhash.Sum64String(s.Address), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		m := &s.peers[a].member
		switch {
		case m.Leaving || m.StoreUnreachable && !blind:
		case blind && !m.StoreUnreachable, xxhash.Sum64String(a) > mine:
			rank++
		}
	}
	return rank
}

// First reports whether this node comes first, in the order of [Service.Rank], in its data centre.
func (s *Service) IsFirstInDataCentre() bool {
	mine := xxhash.Sum64String(s.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.live {
		if m := &s.peers[a].member; m.DataCentre == s.DataCentre && !m.Leaving && xxhash.Sum64String(a) > mine {
			return false
		}
	}
	return true
}

// Quick reports whether this node is one of those that tell each other at the shortest interval of a
// large fleet.
func (s *Service) IsStandby() bool { return s.isQuick.Load() }

// standby returns the addresses of the first nodes in the order of [Service.Rank].
func (s *Service) standby() []string {
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
	out := make([]string, min(quick, len(all)))
	for i := range out {
		out[i] = all[i].address
	}
	return out
}
