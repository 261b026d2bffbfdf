package sagechain

import (
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// listedTTL is how long a listing by an upstream is valid.
	listedTTL = holderTTL
	// maxListedParts bounds the index to 256 KB at four bytes a part, enough for two hundred engines that list
	// three hundred parts each. Parts beyond it are dropped.
	maxListedParts = 64 << 10
)

// PartHash identifies a part in listings. At some hundred parts of an engine, one lookup in ten million collides,
// which costs one more read of a prompt.
type PartHash uint32

// partHash returns a part's hash. It halves the size of the listings that a large fleet sends after a restart,
// which occupy the slowest links for some ten milliseconds.
func partHash(part uint64) PartHash { return PartHash(part ^ part>>32) }

// listing contains the parts that one upstream listed.
type listing struct {
	receivedAt sageclock.Instant
	parts      []PartHash // ascending
}

// listedIndex records the parts that upstreams listed themselves.
//
// It is separate from the holderIndex because most listed parts are unique to one request and never requested
// again. In the holderIndex they would exceed its limit, and it would be cleared with all shared parts.
type listedIndex struct {
	upstreams map[string]*listing
	parts     int
	updates   []listedHolding
}

// listedHolding states that an upstream listed a part.
type listedHolding struct {
	part     PartHash
	upstream string
}

// add merges parts into an upstream's listing.
func (l *listedIndex) add(now sageclock.Instant, upstream string, parts []PartHash) {
	if l.upstreams == nil {
		l.upstreams = make(map[string]*listing)
	}
	x := l.upstreams[upstream]
	if x == nil {
		x = new(listing)
		l.upstreams[upstream] = x
	}
	l.parts -= len(x.parts)
	x.receivedAt = now
	x.parts = append(x.parts, parts...)
	slices.Sort(x.parts)
	x.parts = slices.Compact(x.parts)
	x.parts = x.parts[:min(len(x.parts), maxListedParts-l.parts)]
	l.parts += len(x.parts)
}

// holds reports whether an upstream listed a part.
func (l *listedIndex) holds(now sageclock.Instant, upstream string, part uint64) bool {
	x := l.upstreams[upstream]
	if x == nil || now.Sub(x.receivedAt) >= listedTTL {
		return false
	}
	_, found := slices.BinarySearch(x.parts, partHash(part))
	return found
}

// forget drops an upstream's listing and all expired ones.
func (l *listedIndex) forget(now sageclock.Instant, upstream string) {
	for u, x := range l.upstreams {
		if u == upstream || now.Sub(x.receivedAt) >= listedTTL {
			l.parts -= len(x.parts)
			delete(l.upstreams, u)
		}
	}
}

// queueUpdates queues an upstream's listed parts for sending to the peers.
func (l *listedIndex) queueUpdates(upstream string, parts []PartHash) {
	for _, p := range parts {
		l.updates = append(l.updates, listedHolding{part: p, upstream: upstream})
	}
}
