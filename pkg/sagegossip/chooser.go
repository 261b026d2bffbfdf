package sagegossip

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Peer is a node with which state can be exchanged.
type Peer struct {
	Address    string
	DataCentre string
}

// Gateways is how many nodes of a data centre exchange state with each other data centre.
const Gateways = 2

// Chooser selects the peer for the next exchange. Its exported fields are set before first use. It is not safe for
// concurrent use.
type Chooser struct {
	Self Peer
	Rand *rand.Rand

	round      int
	lastPicked string
}

// urgentInterval is the number of rounds of which one contacts an urgent address. Most urgent addresses don't
// answer, so they must not take every round.
const urgentInterval = 3

// Next returns the address for this round's exchange, or false if there is none. The peers don't include this
// node. Urgent addresses, for example of suspected nodes that have to be checked, get every third round.
func (c *Chooser) Next(peers []Peer, urgent []string) (string, bool) {
	c.round++
	if len(urgent) > 0 && (c.round%urgentInterval == 0 || len(peers) == 0) {
		return urgent[c.Rand.IntN(len(urgent))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	local, remote := splitByDataCentre(peers, c.Self.DataCentre)
	targets := c.gatewayTargets(local, remote)
	if len(targets) > 0 && (c.round%2 == 0 || len(local) == 0) {
		dc := targets[(c.round/2)%len(targets)]
		return c.pick(remote[dc]), true
	}
	if len(local) > 0 {
		return c.pick(local), true
	}
	return c.pick(peers), true
}

// pick selects a random peer. It draws once more if the result is the last one, so that contacts in a small data
// centre are spread evenly.
func (c *Chooser) pick(from []Peer) string {
	p := from[c.Rand.IntN(len(from))].Address
	if p == c.lastPicked {
		p = from[c.Rand.IntN(len(from))].Address
	}
	c.lastPicked = p
	return p
}

// gatewayTargets returns the data centres for which this node is a gateway, in alphabetical order.
func (c *Chooser) gatewayTargets(local []Peer, remote map[string][]Peer) []string {
	var targets []string
	for dc := range remote {
		if c.isGateway(local, dc) {
			targets = append(targets, dc)
		}
	}
	sort.Strings(targets)
	return targets
}

// isGateway reports whether this node is a gateway for dc, by rendezvous hashing among the nodes of its data
// centre. Nodes that disagree on the members of the data centre cause too many or too few gateways for a while,
// which affects the speed of the exchange but not its result.
func (c *Chooser) isGateway(local []Peer, dc string) bool {
	own := gatewayWeight(c.Self.Address, dc)
	higher := 0
	for _, p := range local {
		if gatewayWeight(p.Address, dc) > own {
			higher++
		}
	}
	return higher < Gateways
}

func gatewayWeight(addr, dc string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(addr)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(dc)
	return d.Sum64()
}

func splitByDataCentre(peers []Peer, dc string) (local []Peer, remote map[string][]Peer) {
	remote = make(map[string][]Peer)
	for _, p := range peers {
		if p.DataCentre == dc {
			local = append(local, p)
			continue
		}
		remote[p.DataCentre] = append(remote[p.DataCentre], p)
	}
	return local, remote
}
