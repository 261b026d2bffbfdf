package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// promisedPart is the part of an account's rate at which places are promised to refused callers.
	promisedPart = 0.05
	// returnPart is the part of the rate that returned callers may use before new ones. It is larger than promisedPart
	// because callers return to any node, at random.
	returnPart = 1.5 * promisedPart
	// returnBurst is the number of returned callers that may start at once, returnAhead that of their starts ahead of the
	// account's credit.
	returnBurst = 8
	returnAhead = 4
	// minRetry and maxRetry are the shortest and the longest time that a refused caller is asked to wait.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Minute
)

// PromisedWithin is the part of the longest time for which refused callers wait in which places are promised, so that those
// who return at its end are distinguished from those who return as asked.
const PromisedWithin = 0.9

// beyondReturn times the longest time is a time that refused callers don't wait for.
const beyondReturn = 1.1

// takeReturn takes a promised place. The place may be that of a caller that returns to another node, so that there needn't be
// credit for it yet.
func (b *bucket) takeReturn() bool {
	if b.rate <= 0 || !mayReturn(b.returns, b.credit) {
		return false
	}
	if b.group != nil && !mayReturn(b.group.returns, b.group.credit) {
		return false
	}
	b.returns--
	if b.group != nil {
		b.group.returns--
	}
	b.spend()
	return true
}

// mayReturn reports whether a place is left to a returned caller.
func mayReturn(returns, credit float64) bool {
	return returns >= 1-roundingError && credit >= 1-returnAhead
}

// promise returns the instant of the next place for a caller that returns. Places are promised in the order of refusals. A
// place that the caller wouldn't return for, or at which it is too late for it, is not taken.
func (g *Gate) promise(now sageclock.Instant, b *bucket, a Arrival) sageclock.Instant {
	at := now.Add(minRetry)
	if interval := 1 / (promisedPart * b.rate); b.promised > 0 || b.rate == 0 {
		at = max(at, after(b.promised, interval))
	}
	if b.group != nil && b.group.promised > 0 {
		at = max(at, after(b.group.promised, 1/(promisedPart*b.group.rate)))
	}
	at = min(at, now.Add(maxRetry))
	if b.rate == 0 || at > g.returnsBy(now, a) {
		return max(at, g.afterReturn(now, a))
	}
	b.promised = at
	if b.group != nil {
		b.group.promised = at
	}
	return at
}

// longestReturn returns the longest time that a refused caller waits; 0 if it waits as long as it is asked to.
func (g *Gate) longestReturn(now sageclock.Instant, a Arrival) sageclock.Instant {
	return sageclock.Instant(g.ReturnWithin * float64(max(0, a.Deadline-now)))
}

// afterReturn returns an instant at which a refused caller can't return any more. There is no place for it before.
func (g *Gate) afterReturn(now sageclock.Instant, a Arrival) sageclock.Instant {
	return now + sageclock.Instant(beyondReturn*float64(g.longestReturn(now, a)))
}

// returnsBy returns the last instant at which a refused caller returns as asked and can still be served.
func (g *Gate) returnsBy(now sageclock.Instant, a Arrival) sageclock.Instant {
	by := g.latestStart(a.Deadline)
	if g.ReturnWithin > 0 {
		by = min(by, now+sageclock.Instant(PromisedWithin*float64(g.longestReturn(now, a))))
	}
	return by
}
