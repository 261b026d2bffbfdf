package sageplace

import (
	"slices"
	"time"
)

// DefaultLoadBound is the multiple of the mean load that no upstream is to exceed.
// docs/design/placement.md has the measurement that chose it.
const DefaultLoadBound = 1.5

// LoadBounds returns the bounds to place by so that a multiple of the mean is seldom exceeded. The bound is
// for all requests, fresh for chats of which an upstream holds nothing: these even out the load, since
// moving them costs no cache. A bound below the multiple gains nothing, as loads are known too late.
func LoadBounds(multiple float64) (bound, fresh float64) {
	return multiple, 1 + (multiple-1)/5
}

// DefaultHeadroom is the part of an upstream's capacity that a request leaves free, from the most urgent
// priority class to the least.
var DefaultHeadroom = [3]float64{0, 0.05, 0.2}

// Location names an upstream by the [Key] of its name, and the generation of its cache.
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
	// Request spreads requests that have neither context nor chat.
	Request uint64
	// Location is where the chat's cached prefix is thought to be; its zero value says nothing.
	Location Location
	// Tried lists upstreams, by place in the table, that must not be chosen again.
	Tried []int
	// Yield is the part of an upstream's capacity that the request leaves to more urgent ones.
	Headroom float64
}

// Reason tells which rule chose.
type Reason uint8

// The rules.
const (
	// Empty: the table has no candidate outside Tried.
	ReasonNoCandidate Reason = iota
	// Over: every candidate is at its bound.
	ReasonAllAtBound
	// Kept: the chat stays where its prefix is.
	ReasonCachedPrefix
	// First: the first upstream of the key's order, or one that the context is spread over.
	ReasonHashOrder
	// Spilled: the first upstream of the order that is under the bound.
	ReasonSpilled
	// Silent: nothing known fits; this upstream's load is unknown.
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

// Placer is the policy of this package, with a rule for the width of hot contexts. It is not safe for
// concurrent use.
type Placer[W WidthPolicy] struct {
	// Bound is the multiple of the mean load up to which a request may be placed at all; see [LoadBounds].
	LoadBound float64
	// Fresh is the multiple up to which an upstream takes chats that it holds nothing of. Below
	// Bound, it keeps room for the chats that it does hold.
	UncachedLoadBound float64
	WidthPolicy       W
}

// Choose implements [Policy].
func (p *Placer[W]) Choose(now time.Time, t *Table, l *Loads, q *Query) Choice {
	if i := p.kept(t, l, q); i >= 0 {
		return Choice{Index: i, Reason: ReasonCachedPrefix}
	}
	key := q.key()
	if q.Context != 0 {
		if i := p.wide(now, t, l, q); i >= 0 {
			return Choice{Index: i, Reason: ReasonHashOrder}
		}
	}
	c := inOrder(t, l, key, q.Tried, l.limit(p.UncachedLoadBound, q.Headroom))
	if c.Reason == ReasonLoadUnknown || c.Reason == ReasonAllAtBound && l.anyFits(l.limit(p.LoadBound, q.Headroom)) {
		// Above Fresh everywhere: the bound itself decides.
		c = inOrder(t, l, key, q.Tried, l.limit(p.LoadBound, q.Headroom))
	}
	return c
}

// kept returns the upstream that holds the chat's prefix if it may take the request, or -1. A place
// that names an older generation holds nothing any more.
func (p *Placer[W]) kept(t *Table, l *Loads, q *Query) int {
	if q.Location.Upstream == 0 {
		return -1
	}
	i := t.Find(q.Location.Upstream)
	if i < 0 || l.all[i].CacheGeneration != q.Location.Generation {
		return -1
	}
	if slices.Contains(q.Tried, i) || !l.fits(i, l.limit(p.LoadBound, q.Headroom)) {
		return -1
	}
	return i
}

// wide returns the upstream for the chat among those that its context is spread over, or -1. It is
// the less loaded of the first two of the chat's own order: the chat has no cached prefix here, the
// context is cached on both, so evening out the load costs nothing.
func (p *Placer[W]) wide(now time.Time, t *Table, l *Loads, q *Query) int {
	among := p.WidthPolicy.Upstreams(now, t, l, q.Context)
	if len(among) < 2 {
		return -1
	}
	key, m := q.chatKey(), l.limit(p.UncachedLoadBound, q.Headroom)
	const none = ^uint64(0)
	first, firstAt := none, -1
	second, secondAt := none, -1
	for _, i := range among {
		c := t.cost(key, int(i))
		if c >= second || !l.fits(int(i), m) || slices.Contains(q.Tried, int(i)) {
			continue
		}
		second, secondAt = c, int(i)
		if c < first {
			first, second = second, first
			firstAt, secondAt = secondAt, firstAt
		}
	}
	if secondAt >= 0 && l.relative(secondAt) < l.relative(firstAt) {
		return secondAt
	}
	return firstAt
}

// key is what the order is made from: chats of one context meet on the same upstreams.
func (q *Query) key() uint64 {
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

// inOrder returns the first upstream of key's order that fits. It needs no sorting: of those that
// fit, the one with the lowest cost is the first, and only an upstream that would become the lowest
// has to be looked at.
//
// An upstream of unknown load is taken as first of the order, where chats return to it anyway, but
// not as a spill while a known one fits: all routers would spill on it blindly.
func inOrder(t *Table, l *Loads, key uint64, tried []int, m limit) Choice {
	const none = ^uint64(0)
	front, frontAt := none, -1
	known, knownAt := none, -1
	silent, silentAt := none, -1
	for i, h := range t.hashes {
		x := mix(key ^ h)
		least := t.floorOf(x, i)
		if least >= known {
			continue
		}
		// One that doesn't fit only matters if it comes before all that were looked at.
		fits := l.fits(i, m)
		if !fits && least >= front {
			continue
		}
		c := t.costOf(x, i)
		if c >= known || slices.Contains(tried, i) {
			continue
		}
		if c < front {
			front, frontAt = c, i
		}
		switch {
		case !fits:
		case l.all[i].Known:
			known, knownAt = c, i
		case c < silent:
			silent, silentAt = c, i
		}
	}
	switch {
	case frontAt < 0:
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	case silentAt == frontAt || knownAt == frontAt:
		return Choice{Index: frontAt, Reason: ReasonHashOrder}
	case knownAt >= 0:
		return Choice{Index: knownAt, Reason: ReasonSpilled}
	case silentAt >= 0:
		return Choice{Index: silentAt, Reason: ReasonLoadUnknown}
	}
	return Choice{Index: -1, Reason: ReasonAllAtBound}
}
