package sageload

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is a node on the roster.
type Member struct {
	Name       string
	DataCentre string
}

// Bounds of the number of voters. With fewer than MinVoters in its data centre, an upstream takes its
// voters from the whole roster, so that the loss of nodes leaves a majority; more than MaxVoters would
// make each coordinator receive votes from too many nodes.
const (
	MinVoters = 5
	MaxVoters = 9
)

// score is the rendezvous hashing weight of a node for an upstream.
func score(upstream, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// NodeHash returns a hash of the node's name, for choices that should differ between nodes.
func NodeHash(node string) uint64 { return score("", node) }

// Coordinator returns the node that should probe the upstream and grant its units: the first in
// rendezvous order among the live nodes of its data centre, or among all of them if none is there.
// Callers pass only voters of the upstream ([Voters]), because only these can win a majority.
func Coordinator(upstream, dataCentre string, live []Member) (string, bool) {
	best, found, bestIsLocal := "", false, false
	var topScore uint64
	for _, m := range live {
		isLocal := m.DataCentre == dataCentre
		if bestIsLocal && !isLocal {
			continue
		}
		s := score(upstream, m.Name)
		if !found || isLocal && !bestIsLocal || s > topScore || s == topScore && m.Name < best {
			best, topScore, found, bestIsLocal = m.Name, s, true, isLocal
		}
	}
	return best, found
}

// Voters returns the roster nodes whose majority elects the upstream's coordinator, which is one of
// them. They are taken from the upstream's data centre if it has at least [MinVoters] nodes, else from
// the whole roster. A larger roster is divided into cells of every k-th node, and the upstream belongs
// to one cell. So a node's cost of promises doesn't grow with the fleet, and neighbours on the roster,
// who may share a rack, are in different cells.
func Voters(upstream, dataCentre string, roster []Member) []Member {
	var candidates []Member
	for _, m := range roster {
		if m.DataCentre == dataCentre {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) < MinVoters {
		candidates = roster
	}
	cells := (len(candidates) + MaxVoters - 1) / MaxVoters
	if cells <= 1 {
		return candidates
	}
	var cell []Member
	for i := int(score(upstream, "") % uint64(cells)); i < len(candidates); i += cells {
		cell = append(cell, candidates[i])
	}
	return cell
}

// GuaranteedShare returns the node's share of the floor, the units of an upstream that are set aside
// for use without a grant. The shares of all roster nodes sum to floor exactly; the first nodes in
// rendezvous order get one more if it doesn't divide evenly.
func GuaranteedShare(upstream, node string, roster []Member, floor int) int {
	if len(roster) == 0 || floor <= 0 {
		return 0
	}
	names := make([]string, 0, len(roster))
	onRoster := false
	for _, m := range roster {
		names = append(names, m.Name)
		onRoster = onRoster || m.Name == node
	}
	if !onRoster {
		return 0
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := score(upstream, names[i]), score(upstream, names[j])
		return a > b || a == b && names[i] < names[j]
	})
	units := floor / len(names)
	for i, n := range names {
		if n == node && i < floor%len(names) {
			units++
		}
	}
	return units
}
