package sagegossip

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Peer is a node that can be met.
type Peer struct {
	Address    string
	DataCentre string
}

// Gateways is how many nodes of a data centre keep up the exchange with each other data centre.
const Gateways = 2

// Chooser picks whom this node meets next. Its fields are set before first use; it is not safe for
// concurrent use.
type Chooser struct {
	Self Peer
	Rand *rand.Rand

	round int
	last  string
}

// urgentEvery keeps urgent addresses, most of which don't answer, from taking every round.
const urgentEvery = 3

// Next returns the peer to meet in this round, or false when there is none. The peers don't
// include this node. Addresses in first, which have to be reached for a reason such as the check of
// a suspected node, get every third round.
func (c *Chooser) Next(peers []Peer, first []string) (string, bool) {
	c.round++
	if len(first) > 0 && (c.round%urgentEvery == 0 || len(peers) == 0) {
		return first[c.Rand.IntN(len(first))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	near, far := split(peers, c.Self.DataCentre)
	duties := c.duties(near, far)
	if len(duties) > 0 && (c.round%2 == 0 || len(near) == 0) {
		dc := duties[(c.round/2)%len(duties)]
		return c.pick(far[dc]), true
	}
	if len(near) > 0 {
		return c.pick(near), true
	}
	return c.pick(peers), true
}

// pick avoids the last peer where it can, so that a small data centre is met in turn.
func (c *Chooser) pick(from []Peer) string {
	p := from[c.Rand.IntN(len(from))].Address
	if p == c.last {
		p = from[c.Rand.IntN(len(from))].Address
	}
	c.last = p
	return p
}

// duties returns the data centres, in order, to which this node is a gateway.
func (c *Chooser) duties(near []Peer, far map[string][]Peer) []string {
	var duties []string
	for dc := range far {
		if c.gateway(near, dc) {
			duties = append(duties, dc)
		}
	}
	sort.Strings(duties)
	return duties
}

// gateway says whether this node is among the [Gateways] highest of its data centre for dc. Nodes
// that disagree on who is near have too many or too few gateways for a while, never a wrong answer.
func (c *Chooser) gateway(near []Peer, dc string) bool {
	mine := weight(c.Self.Address, dc)
	above := 0
	for _, p := range near {
		if weight(p.Address, dc) > mine {
			above++
		}
	}
	return above < Gateways
}

func weight(addr, dc string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(addr)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(dc)
	return d.Sum64()
}

func split(peers []Peer, dc string) (near []Peer, far map[string][]Peer) {
	far = make(map[string][]Peer)
	for _, p := range peers {
		if p.DataCentre == dc {
			near = append(near, p)
			continue
		}
		far[p.DataCentre] = append(far[p.DataCentre], p)
	}
	return near, far
}
