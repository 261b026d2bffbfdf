package sageplace

import (
	"slices"
	"time"
)

// DefaultMultiple is the multiple of the mean load that no upstream is to exceed.
// docs/design/placement.md has the measurement that chose it.
const DefaultMultiple = 1.5

// Aims returns the bounds to place by so that a multiple of the mean is seldom exceeded. The bound is
// for all requests, fresh for chats of which an upstream holds nothing: these even out the load, since
// moving them costs no cache. A bound below the multiple gains nothing, as loads are known too late.
func Aims(multiple float64) (bound, fresh float64) {
	return multiple, 1 + (multiple-1)/5
}

// DefaultYield is the part of an upstream's capacity that a request leaves free, from the most urgent
// priority class to the least.
var DefaultYield = [3]float64{0, 0.05, 0.2}

// Place names an upstream by the [Key] of its name, and the generation of its cache.
type Place struct {
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
	// Place is where the chat's cached prefix is thought to be; its zero value says nothing.
	Place Place
	// Tried lists upstreams, by place in the table, that must not be chosen again.
	Tried []int
	// Yield is the part of an upstream's capacity that the request leaves to more urgent ones.
	Yield float64
}

// Why tells which rule chose.
type Why uint8

// The rules.
const (
	// Empty: the table has no candidate outside Tried.
	Empty Why = iota
	// Over: every candidate is at its bound.
	Over
	// Kept: the chat stays where its prefix is.
	Kept
	// First: the first upstream of the key's order, or one that the context is spread over.
	First
	// Spilled: the first upstream of the order that is under the bound.
	Spilled
	// Silent: nothing known fits; this upstream's load is unknown.
	Silent
)

// Choice is a decision. Index is -1 if no upstream may take the request.
type Choice struct {
	Index int
	Why   Why
}

// Policy decides which upstream of a table takes a request.
type Policy interface {
	Choose(now time.Time, t *Table, l *Loads, q *Query) Choice
}

// Placer is the policy of this package, with a rule for the width of hot contexts. It is not safe for
// concurrent use.
type Placer[W Widener] struct {
	// Bound is the multiple of the mean load up to which a request may be placed at all; see [Aims].
	Bound float64
	// Fresh is the multiple up to which an upstream takes chats that it holds nothing of. Below
	// Bound, it keeps room for the chats that it does hold.
	Fresh float64
	Width W
}

// Choose implements [Policy].
func (p *Placer[W]) Choose(now time.Time, t *Table, l *Loads, q *Query) Choice {
	if i := p.kept(t, l, q); i >= 0 {
		return Choice{Index: i, Why: Kept}
	}
	key := q.key()
	if q.Context != 0 {
		if i := p.wide(now, t, l, q); i >= 0 {
			return Choice{Index: i, Why: First}
		}
	}
	c := inOrder(t, l, key, q.Tried, l.limit(p.Fresh, q.Yield))
	if c.Why == Silent || c.Why == Over && l.anyFits(l.limit(p.Bound, q.Yield)) {
		// Above Fresh everywhere: the bound itself decides.
		c = inOrder(t, l, key, q.Tried, l.limit(p.Bound, q.Yield))
	}
	return c
}

// kept returns the upstream that holds the chat's prefix if it may take the request, or -1. A place
// that names an older generation holds nothing any more.
func (p *Placer[W]) kept(t *Table, l *Loads, q *Query) int {
	if q.Place.Upstream == 0 {
		return -1
	}
	i := t.Find(q.Place.Upstream)
	if i < 0 || l.all[i].CacheGeneration != q.Place.Generation {
		return -1
	}
	if slices.Contains(q.Tried, i) || !l.fits(i, l.limit(p.Bound, q.Yield)) {
		return -1
	}
	return i
}

// wide returns the upstream for the chat among those that its context is spread over, or -1. It is
// the less loaded of the first two of the chat's own order: the chat has no cached prefix here, the
// context is cached on both, so evening out the load costs nothing.
func (p *Placer[W]) wide(now time.Time, t *Table, l *Loads, q *Query) int {
	among := p.Width.Width(now, t, l, q.Context)
	if len(among) < 2 {
		return -1
	}
	key, m := q.chatKey(), l.limit(p.Fresh, q.Yield)
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
		return Choice{Index: -1, Why: Empty}
	case silentAt == frontAt || knownAt == frontAt:
		return Choice{Index: frontAt, Why: First}
	case knownAt >= 0:
		return Choice{Index: knownAt, Why: Spilled}
	case silentAt >= 0:
		return Choice{Index: silentAt, Why: Silent}
	}
	return Choice{Index: -1, Why: Over}
}
