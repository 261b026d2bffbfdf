package sageplace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The policies below are baselines for tests and measurements. None of them is used by the daemon.

// Random takes any upstream that has room.
type Random struct{ Rand *rand.Rand }

// Choose implements [Policy].
func (p *Random) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	if len(t.Upstreams) == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	return next(l, q, p.Rand.IntN(len(t.Upstreams)))
}

// RoundRobin takes one upstream after the other.
type RoundRobin struct{ last int }

// Choose implements [Policy].
func (p *RoundRobin) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	if len(t.Upstreams) == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	p.last = (p.last + 1) % len(t.Upstreams)
	return next(l, q, p.last)
}

// LeastLoaded takes the upstream with the lowest load for its capacity as last reported.
type LeastLoaded struct{}

// Choose implements [Policy].
func (LeastLoaded) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	best := -1
	for i := range t.Upstreams {
		if open(l, q, i) && (best < 0 || l.relative(i) < l.relative(best)) {
			best = i
		}
	}
	return chosen(best)
}

// TwoChoices draws two upstreams and takes the less loaded one.
//
// Reference: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
// Transactions on Parallel and Distributed Systems 12 (10), 2001.
type TwoChoices struct{ Rand *rand.Rand }

// Choose implements [Policy].
func (p *TwoChoices) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	n := len(t.Upstreams)
	if n == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	a, b := p.Rand.IntN(n), p.Rand.IntN(n)
	if l.relative(b) < l.relative(a) {
		a, b = b, a
	}
	if open(l, q, a) {
		return chosen(a)
	}
	return next(l, q, b)
}

// PlainHash takes the first upstream of the key's rendezvous order, whatever its load.
//
// Reference: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6 (1), 1998, section 3.
type PlainHash struct{}

// Choose implements [Policy].
func (PlainHash) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	key := q.key()
	best, at := ^uint64(0), -1
	for i := range t.Upstreams {
		if c := t.cost(key, i); c < best && open(l, q, i) {
			best, at = c, i
		}
	}
	return chosen(at)
}

// open reports whether upstream i has room by its own capacity; baselines know no other bound.
func open(l *Loads, q *Query, i int) bool {
	v := &l.all[i]
	return v.Free > 0 && v.InFlight+1 <= float64(v.Cap) && !slices.Contains(q.Tried, i)
}

// next returns the first open upstream from i on, in the order of the table.
func next(l *Loads, q *Query, i int) Choice {
	for k := range l.all {
		if j := (i + k) % len(l.all); open(l, q, j) {
			return chosen(j)
		}
	}
	return chosen(-1)
}

func chosen(i int) Choice {
	if i < 0 {
		return Choice{Index: -1, Reason: ReasonAllAtBound}
	}
	return Choice{Index: i, Reason: ReasonHashOrder}
}
