package sageplace

import (
	"slices"
	"time"
)

// DefaultLoadBound is the multiple of the mean load that no upstream should exceed. Bounds of 1.1 and
// 1.25 don't spread the load more evenly, because load reports lag, and 1.35 kept less of the cache;
// see docs/design/placement.md.
const DefaultLoadBound = 1.5

// LoadBounds returns the bounds of a [Placer] for a multiple of the mean that should seldom be
// exceeded. The first is for all requests, the second for chats without a cached prefix: these even out
// the load, since moving them loses no cache. A first bound below the multiple has no benefit, because
// load reports lag.
func LoadBounds(multiple float64) (bound, uncached float64) {
	return multiple, 1 + (multiple-1)/5
}

// DefaultHeadroom is the fraction of an upstream's cap that a request leaves free, from the most urgent
// priority class to the least urgent.
var DefaultHeadroom = [3]float64{0, 0.05, 0.2}

// Location identifies an upstream by the [Key] of its name, and the generation of its cache.
type Location struct {
	Upstream   uint64
	Generation uint64
}

// Query is what placement needs to know of a request. All keys are made by [Key]; 0 stands for none.
type Query struct {
	// Context is the key of the long prefix that the chat shares with others.
	Context uint64
	// Chat is the key of the returning chat.
	Chat uint64
	// Request is the key of a request that has neither context nor chat; it spreads such requests.
	Request uint64
	// Location is the likely location of the chat's cached prefix; the zero value means unknown.
	Location Location
	// Tried lists upstreams, by index in the table, that must not be chosen again.
	Tried []int
	// Headroom is the fraction of an upstream's cap that the request leaves to more urgent ones.
	Headroom float64
}

// Reason is the rule that determined a [Choice].
type Reason uint8

// The rules.
const (
	// ReasonNoCandidate means that the table has no candidate outside Tried.
	ReasonNoCandidate Reason = iota
	// ReasonAllAtBound means that every candidate is at its bound.
	ReasonAllAtBound
	// ReasonCachedPrefix means that the chosen upstream has the chat's prefix in its cache.
	ReasonCachedPrefix
	// ReasonHashOrder means the first upstream of the key's order, or one that the context is spread
	// over.
	ReasonHashOrder
	// ReasonSpilled means the first upstream of the order that is under the bound.
	ReasonSpilled
	// ReasonLoadUnknown means an upstream of unknown load, chosen because no upstream of known load
	// fits.
	ReasonLoadUnknown
)

// Choice is a decision. Index is -1 if no upstream may take the request.
type Choice struct {
	Index  int
	Reason Reason
}

// Policy decides which upstream of a table takes a request.
type Policy interface {
	Choose(now time.Time, t *Table, l *Loads, q *Query) Choice
}

// Placer is the policy of this package. W decides how widely contexts are spread. It is not safe for
// concurrent use.
type Placer[W WidthPolicy] struct {
	// LoadBound is the multiple of the mean load up to which an upstream takes requests; see
	// [LoadBounds].
	LoadBound float64
	// UncachedLoadBound is the multiple up to which an upstream takes chats without a cached prefix
	// there. Below LoadBound, it leaves capacity for the chats that do have one.
	UncachedLoadBound float64
	WidthPolicy       W
}

// Choose implements [Policy].
func (p *Placer[W]) Choose(now time.Time, t *Table, l *Loads, q *Query) Choice {
	if i := p.cachedUpstream(t, l, q); i >= 0 {
		return Choice{Index: i, Reason: ReasonCachedPrefix}
	}
	key := q.orderKey()
	if q.Context != 0 {
		if i := p.spreadUpstream(now, t, l, q); i >= 0 {
			return Choice{Index: i, Reason: ReasonHashOrder}
		}
	}
	c := firstInOrder(t, l, key, q.Tried, l.limitFor(p.UncachedLoadBound, q.Headroom))
	if c.Reason == ReasonLoadUnknown || c.Reason == ReasonAllAtBound && l.anyFits(l.limitFor(p.LoadBound, q.Headroom)) {
		// All are above UncachedLoadBound, so LoadBound applies.
		c = firstInOrder(t, l, key, q.Tried, l.limitFor(p.LoadBound, q.Headroom))
	}
	return c
}

// cachedUpstream returns the upstream that has the chat's prefix in its cache if it may take the
// request, or -1. If the upstream's cache generation has changed, the prefix is lost.
func (p *Placer[W]) cachedUpstream(t *Table, l *Loads, q *Query) int {
	if q.Location.Upstream == 0 {
		return -1
	}
	i := t.Find(q.Location.Upstream)
	if i < 0 || l.loads[i].CacheGeneration != q.Location.Generation {
		return -1
	}
	if slices.Contains(q.Tried, i) || !l.fits(i, l.limitFor(p.LoadBound, q.Headroom)) {
		return -1
	}
	return i
}

// spreadUpstream returns the upstream for the chat among those that its context is spread over, or -1.
// It is the less loaded of the first two in the chat's own order: the chat has no cached prefix here
// and the context is cached on both, so evening out the load costs nothing.
func (p *Placer[W]) spreadUpstream(now time.Time, t *Table, l *Loads, q *Query) int {
	candidates := p.WidthPolicy.Upstreams(now, t, l, q.Context)
	if len(candidates) < 2 {
		return -1
	}
	key, limit := q.chatKey(), l.limitFor(p.UncachedLoadBound, q.Headroom)
	const maxCost = ^uint64(0)
	first, firstAt := maxCost, -1
	second, secondAt := maxCost, -1
	for _, i := range candidates {
		c := t.cost(key, int(i))
		if c >= second || !l.fits(int(i), limit) || slices.Contains(q.Tried, int(i)) {
			continue
		}
		second, secondAt = c, int(i)
		if c < first {
			first, second = second, first
			firstAt, secondAt = secondAt, firstAt
		}
	}
	if secondAt >= 0 && l.utilization(secondAt) < l.utilization(firstAt) {
		return secondAt
	}
	return firstAt
}

// orderKey returns the key of the rendezvous order: chats of one context go to the same upstreams.
func (q *Query) orderKey() uint64 {
	if q.Context != 0 {
		return q.Context
	}
	return q.chatKey()
}

func (q *Query) chatKey() uint64 {
	if q.Chat != 0 {
		return q.Chat
	}
	return q.Request
}

// firstInOrder returns the first upstream of key's order that fits. It doesn't sort: of the upstreams
// that fit, it needs only the one with the lowest cost.
//
// An upstream of unknown load is chosen if it is the first of the order, because its chats return to it
// anyway. It is not chosen as a spill while an upstream of known load fits: all routers would spill to
// it without knowing its load.
func firstInOrder(t *Table, l *Loads, key uint64, tried []int, limit loadLimit) Choice {
	const maxCost = ^uint64(0)
	first, firstAt := maxCost, -1
	known, knownAt := maxCost, -1
	unknown, unknownAt := maxCost, -1
	for i, h := range t.hashes {
		x := mix(key ^ h)
		minCost := t.minCostOf(x, i)
		if minCost >= known {
			continue
		}
		// An upstream that doesn't fit matters only if it precedes all others examined so far.
		fits := l.fits(i, limit)
		if !fits && minCost >= first {
			continue
		}
		c := t.costOf(x, i)
		if c >= known || slices.Contains(tried, i) {
			continue
		}
		if c < first {
			first, firstAt = c, i
		}
		switch {
		case !fits:
		case l.loads[i].Known:
			known, knownAt = c, i
		case c < unknown:
			unknown, unknownAt = c, i
		}
	}
	switch {
	case firstAt < 0:
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	case unknownAt == firstAt || knownAt == firstAt:
		return Choice{Index: firstAt, Reason: ReasonHashOrder}
	case knownAt >= 0:
		return Choice{Index: knownAt, Reason: ReasonSpilled}
	case unknownAt >= 0:
		return Choice{Index: unknownAt, Reason: ReasonLoadUnknown}
	}
	return Choice{Index: -1, Reason: ReasonAllAtBound}
}
