package sageorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of nodes that hold records and that are asked for them.
const (
	// NumHolders is the number of other nodes that hold the record of a stream.
	NumHolders = 3
	// numAsked is the number of nodes that are asked for a record. It exceeds NumHolders, since the asking node may
	// know of nodes that have joined since.
	numAsked = NumHolders + 2
	// numWriters is the number of nodes that write the record of a stream to the store. One may be lost or cut off unnoticed.
	numWriters = 2
)

// Holder is a node that may hold records.
type Holder struct {
	Address    string
	DataCentre string
}

// Ring ranks the nodes of a fleet for each key, by rendezvous hashing. It is immutable.
type Ring struct {
	centres [][]rankedHolder
	nodes   int
}

type rankedHolder struct {
	address string
	hash    uint64
}

// NewRing returns a ring of the given nodes.
func NewRing(nodes []Holder) *Ring {
	byCentre := make(map[string][]rankedHolder)
	for _, n := range nodes {
		byCentre[n.DataCentre] = append(byCentre[n.DataCentre], rankedHolder{n.Address, xxhash.Sum64String(n.Address)})
	}
	r := &Ring{nodes: len(nodes)}
	for _, hs := range byCentre {
		r.centres = append(r.centres, hs)
	}
	return r
}

// Len returns the number of nodes.
func (r *Ring) Len() int { return r.nodes }

// Holders returns the addresses of the nodes that hold the record of a key, except for self, which may be one of the
// ring's nodes.
func (r *Ring) Holders(k Key, self string) []string { return r.first(k, NumHolders, self) }

// Asked returns the addresses of the nodes that are asked for the record of a key: its holders, and those that may have
// been its holders before nodes joined or left.
func (r *Ring) Asked(k Key, self string) []string { return r.first(k, numAsked, self) }

// Writers returns the addresses of the nodes that write the record of a key to the store, in a ring of those that write. A node that
// writes does so for its own streams.
func (r *Ring) Writers(k Key, self string) []string {
	if r.contains(self) {
		return []string{self}
	}
	return r.first(k, numWriters, self)
}

// contains reports whether a node is in the ring.
func (r *Ring) contains(address string) bool {
	for _, hs := range r.centres {
		if slices.ContainsFunc(hs, func(h rankedHolder) bool { return h.address == address }) {
			return true
		}
	}
	return false
}

// first returns the first n nodes for a key except self. The best node of each data centre comes first, then the second
// best of each, so that the loss of a data centre leaves other holders.
//
// A node that leaves moves others forward only, so that the holders that remain are still among the first.
func (r *Ring) first(k Key, n int, self string) []string {
	type candidate struct {
		address string
		round   int
		score   uint64
	}
	var cands []candidate
	for _, hs := range r.centres {
		var best []candidate // the n+1 best of the data centre, by score
		for i := range hs {
			c := candidate{address: hs[i].address, score: mix(hs[i].hash ^ k.hash())}
			if len(best) > n && c.score <= best[len(best)-1].score {
				continue
			}
			at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
			if best = slices.Insert(best, at, c); len(best) > n+1 {
				best = best[:n+1]
			}
		}
		for round := range best {
			best[round].round = round
		}
		cands = append(cands, best...)
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	var out []string
	for _, c := range cands {
		if c.address != self && len(out) < n {
			out = append(out, c.address)
		}
	}
	return out
}

// mix is the finalizer of splitmix64, which spreads each bit of x over the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
