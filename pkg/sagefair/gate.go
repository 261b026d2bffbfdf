package sagefair

import (
	"container/heap"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Arrival describes a request that arrives at a [Gate].
type Arrival struct {
	Account string
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// Objective is the instant by which the response should begin, Deadline the instant by which it has to be complete.
	Objective, Deadline sageclock.Instant
	// Returned says that the caller was refused before and has come back.
	Returned bool
}

// Entry is an arrival and what the gate decided.
type Entry struct {
	Arrival Arrival
	State   State
	// Reason and RetryAt are set if State is Refused. RetryAt is the instant at which there is capacity for the caller if the
	// load stays as it is.
	Reason  sagewire.Reason
	RetryAt sageclock.Instant
	// Arrived is the time of the offer.
	Arrived sageclock.Instant
	// Rate is the account's rate at this node that decided, Queued the number of its requests that were waiting.
	Rate   float64
	Queued int

	bucket *bucket // while waiting
	late   bool    // it was found that its objective is missed
}

// Limits of a [Gate].
const (
	// maxWaiting and maxWaitingOfAccount are the largest numbers of waiting requests.
	maxWaiting          = 4096
	maxWaitingOfAccount = 256
	// maxBuckets is the number of unlisted accounts for which state is kept. Any others share one bucket.
	maxBuckets = 4096
)

// Gate admits requests to one service at one node by the [Shares] of their accounts. The zero value admits everything until
// SetShares is called. It is not safe for concurrent use.
type Gate struct {
	// ReturnWithin is the part of the time to its deadline that a refused caller waits at most as asked; 0 means all of it.
	ReturnWithin float64
	// Phase, from 0 to 1, should differ among nodes, or else they all start requests of the accounts that are held to their
	// shares at the same moments.
	Phase float64

	shares    Shares
	buckets   map[string]*bucket
	overflow  *bucket // of accounts beyond maxBuckets
	held      group   // accounts that are held to their shares
	others    group   // accounts that aren't listed
	excess    map[string]excess
	heldNames []string // of the accounts that are held to their shares
	excessAt  sageclock.Instant
	due       dueHeap // buckets with waiting requests
	waiting   int
	triedAt   sageclock.Instant // when a request was last let pass although it seemed too late
	sweepAt   sageclock.Instant // when idle buckets may be searched for again
}

// SetShares replaces the shares. It withdraws no decision; call [Gate.Advance] after it.
func (g *Gate) SetShares(now sageclock.Instant, s Shares) {
	g.shares = s
	g.setExcess(now, s.Excess)
	g.holdTogether(now)
	g.setOthers(now)
	for _, b := range g.buckets {
		g.refit(now, b)
	}
	if g.overflow != nil {
		g.refit(now, g.overflow)
	}
	g.sweep(now)
}

// refit gives a bucket its rate and depth by the current shares.
func (g *Gate) refit(now sageclock.Instant, b *bucket) {
	b.settle(now)
	b.setRate(g.shares.rate(b.account), g.depth(b.account))
	g.setGroup(b)
	g.limitCredit(now, b)
	if len(b.waiting) > 0 {
		b.reviewed = false
		b.next = now
		heap.Fix(&g.due, b.index)
	}
}

// Offer submits a request. The returned entry is running, waiting or refused.
func (g *Gate) Offer(now sageclock.Instant, a Arrival) *Entry {
	if g.shares.unset() {
		return &Entry{Arrival: a, Arrived: now, State: Running}
	}
	b := g.bucketOf(now, a.Account)
	b.settle(now)
	e := &Entry{Arrival: a, Arrived: now, Rate: b.rate, Queued: len(b.waiting)}
	switch {
	case !g.canFinish(now, a) && !g.tryAnyway(now, a):
		g.refuse(now, b, e, sagewire.ReasonDeadline)
	case a.Returned && b.takeReturn():
		e.State = Running
		g.schedule(b)
	case !b.othersWait() && b.take():
		e.State = Running
	case g.canWait(now, b, a):
		g.enqueue(b, e)
	default:
		g.refuse(now, b, e, sagewire.ReasonAccountLimit)
	}
	if !a.Returned {
		b.asked += 1 / askedTime.Seconds()
	}
	return e
}

// Advance decides on waiting entries. It returns those that were started or refused, and the instant at which it has to be
// called again; 0 if none waits.
func (g *Gate) Advance(now sageclock.Instant) (decided []*Entry, next sageclock.Instant) {
	for len(g.due) > 0 && g.due[0].next <= now {
		decided = g.advanceBucket(now, g.due[0], decided)
	}
	return decided, g.Next()
}

// Next returns the instant at which [Gate.Advance] has to be called; 0 if no entry waits.
func (g *Gate) Next() sageclock.Instant {
	if len(g.due) == 0 {
		return 0
	}
	return g.due[0].next
}

// Waiting returns the number of waiting entries.
func (g *Gate) Waiting() int { return g.waiting }

// Cancel withdraws a waiting entry.
func (g *Gate) Cancel(now sageclock.Instant, e *Entry) {
	if e.State != Waiting || e.bucket == nil {
		return
	}
	b := e.bucket
	b.settle(now)
	g.remove(b, e, Ended)
	g.schedule(b)
}

// refuse refuses an entry and promises its caller a place.
func (g *Gate) refuse(now sageclock.Instant, b *bucket, e *Entry, r sagewire.Reason) {
	e.State, e.Reason, e.Rate = Refused, r, b.rate
	e.RetryAt = g.promise(now, b, e.Arrival)
}
