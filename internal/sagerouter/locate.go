package sagerouter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sagereach"
)

// minLocalNodes is how many nodes a data centre needs for its callers to get only local addresses: with three, one
// is still left if two are lost before the callers query the directory again.
const minLocalNodes = 3

// EntryAddresses returns the entry addresses for callers in a data centre: those of the same data centre if at
// least three nodes serve there, otherwise all. Local addresses save each request and response a path between data
// centres. Nodes that lost their path to upstreams are left out while enough others have one.
//
// Nodes with faster links come first, the others in an order that is the same for all answers. A platform that limits the
// length of an answer thus leaves out the smallest nodes, and callers keep their connections from one answer to the next.
func (n *Node) EntryAddresses(dataCentre string) []string {
	var serving []sagemesh.Member
	if n.Ready() {
		cfg := &n.Settings
		serving = append(serving, sagemesh.Member{Unreachable: n.fleet.reach.Services(sagereach.Lost), Identity: sagemesh.Identity{Entry: cfg.Listen.Entry, DataCentre: cfg.DataCentre, LinkMbps: int(cfg.LinkMbps)}})
	}
	for _, m := range n.mesh.Live() {
		if m.Ready && !m.Leaving {
			serving = append(serving, m)
		}
	}
	return entryAddresses(preferPaths(serving), dataCentre)
}

// maxPathShare is how many nodes without a path to all services one node with a path can stand in for. If there are more,
// callers are directed to all nodes: those without a path then reject what can't be served, instead of overloading the
// others.
const maxPathShare = 8

// preferPaths returns the nodes that reach the upstreams of all services, or all nodes if these are too few.
func preferPaths(serving []sagemesh.Member) []sagemesh.Member {
	var out []sagemesh.Member
	for _, m := range serving {
		if len(m.Unreachable) == 0 {
			out = append(out, m)
		}
	}
	if len(out)*maxPathShare < len(serving) {
		return serving
	}
	return out
}

// entryAddresses returns the entry addresses of the given nodes for callers in a data centre, in their order.
func entryAddresses(serving []sagemesh.Member, dataCentre string) []string {
	slices.SortFunc(serving, func(a, b sagemesh.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Entry), xxhash.Sum64String(b.Entry)))
	})
	var all, local []string
	for i := range serving {
		all = append(all, serving[i].Entry)
		if serving[i].DataCentre == dataCentre {
			local = append(local, serving[i].Entry)
		}
	}
	if len(local) >= minLocalNodes {
		return local
	}
	return all
}
