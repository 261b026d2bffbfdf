package sageload

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is a node as far as homes are concerned.
type Member struct {
	Name       string
	DataCentre string
}

// Sizes of an electorate. Fewer than the least of one data centre could not lose a node; more than
// the greatest would make every home hear from too many.
const (
	MinVoters = 5
	MaxVoters = 9
)

// score is the rendezvous weight of a node for an upstream.
func score(upstream, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// NodeHash returns a number that differs between nodes, for choices that they should make differently.
func NodeHash(node string) uint64 { return score("", node) }

// Coordinator returns the node that should probe the upstream and grant its shares: the first in
// rendezvous order among the live nodes of its data centre, or among all of them if none is there.
// Callers pass only nodes of the upstream's electorate, because only these can win a majority.
func Coordinator(upstream, dataCentre string, live []Member) (string, bool) {
	best, found, near := "", false, false
	var top uint64
	for _, m := range live {
		n := m.DataCentre == dataCentre
		if near && !n {
			continue
		}
		s := score(upstream, m.Name)
		if !found || n && !near || s > top || s == top && m.Name < best {
			best, top, found, near = m.Name, s, true, n
		}
	}
	return best, found
}

// Voters returns the roster nodes whose majority decides who is the upstream's home, and of
// which the home is one. It is drawn from the nodes of the upstream's data centre if they are at
// least [MinVoters], else from the whole roster. Of a larger roster every k-th node forms one
// cell, and the upstream belongs to one cell, so that what a node spends on promises doesn't grow
// with the fleet, and neighbours on the roster, who may share a rack, sit in different cells.
func Voters(upstream, dataCentre string, roster []Member) []Member {
	var near []Member
	for _, m := range roster {
		if m.DataCentre == dataCentre {
			near = append(near, m)
		}
	}
	if len(near) < MinVoters {
		near = roster
	}
	cells := (len(near) + MaxVoters - 1) / MaxVoters
	if cells <= 1 {
		return near
	}
	var cell []Member
	for i := int(score(upstream, "") % uint64(cells)); i < len(near); i += cells {
		cell = append(cell, near[i])
	}
	return cell
}

// GuaranteedShare returns the node's part of the floor units of an upstream that are set aside for use
// without a grant. The parts of all roster nodes sum to floor exactly; the first in rendezvous
// order get one more where it does not divide.
func GuaranteedShare(upstream, node string, roster []Member, floor int) int {
	if len(roster) == 0 || floor <= 0 {
		return 0
	}
	names := make([]string, 0, len(roster))
	in := false
	for _, m := range roster {
		names = append(names, m.Name)
		in = in || m.Name == node
	}
	if !in {
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
