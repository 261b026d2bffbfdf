package sageplace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The policies below are baselines for tests and measurements. None of them is used by the daemon.

// Random chooses a random upstream that has capacity.
type Random struct{ Rand *rand.Rand }

// Choose implements [Policy].
func (p *Random) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	if len(t.Upstreams) == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	return firstWithCapacity(l, q, p.Rand.IntN(len(t.Upstreams)))
}

// RoundRobin chooses one upstream after the other.
type RoundRobin struct{ last int }

// Choose implements [Policy].
func (p *RoundRobin) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	if len(t.Upstreams) == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	p.last = (p.last + 1) % len(t.Upstreams)
	return firstWithCapacity(l, q, p.last)
}

// LeastLoaded chooses the upstream with the lowest load relative to its capacity.
type LeastLoaded struct{}

// Choose implements [Policy].
func (LeastLoaded) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	best := -1
	for i := range t.Upstreams {
		if hasCapacity(l, q, i) && (best < 0 || l.utilization(i) < l.utilization(best)) {
			best = i
		}
	}
	return choiceOf(best)
}

// TwoChoices draws two upstreams at random and chooses the less loaded one.
//
// Reference: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE Transactions
// on Parallel and Distributed Systems 12 (10), 2001.
type TwoChoices struct{ Rand *rand.Rand }

// Choose implements [Policy].
func (p *TwoChoices) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	n := len(t.Upstreams)
	if n == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	a, b := p.Rand.IntN(n), p.Rand.IntN(n)
	if l.utilization(b) < l.utilization(a) {
		a, b = b, a
	}
	if hasCapacity(l, q, a) {
		return choiceOf(a)
	}
	return firstWithCapacity(l, q, b)
}

// PlainHash chooses the first upstream of the key's rendezvous order that has capacity, without a load
// bound.
//
// Reference: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6 (1), 1998, section 3.
type PlainHash struct{}

// Choose implements [Policy].
func (PlainHash) Choose(_ time.Time, t *Table, l *Loads, q *Query) Choice {
	key := q.orderKey()
	lowest, index := ^uint64(0), -1
	for i := range t.Upstreams {
		if c := t.cost(key, i); c < lowest && hasCapacity(l, q, i) {
			lowest, index = c, i
		}
	}
	return choiceOf(index)
}

// hasCapacity reports whether upstream i has capacity by its own cap; the baselines know no other bound.
func hasCapacity(l *Loads, q *Query, i int) bool {
	v := &l.loads[i]
	return v.Free > 0 && v.InFlight+1 <= float64(v.Cap) && !slices.Contains(q.Tried, i)
}

// firstWithCapacity returns the first upstream with capacity from i on, in the order of the table.
func firstWithCapacity(l *Loads, q *Query, i int) Choice {
	for k := range l.loads {
		if j := (i + k) % len(l.loads); hasCapacity(l, q, j) {
			return choiceOf(j)
		}
	}
	return choiceOf(-1)
}

func choiceOf(i int) Choice {
	if i < 0 {
		return Choice{Index: -1, Reason: ReasonAllAtBound}
	}
	return Choice{Index: i, Reason: ReasonHashOrder}
}
