package sagefair

import (
	"math"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// burstRequests and burstTime are the burst of accounts that ask for no more than their share, as a number of requests
	// and as a time at their rate; the larger one counts. Random arrivals below the rate rarely exceed it.
	burstRequests = 16
	burstTime     = 500 * time.Millisecond
	// idleBurstTime replaces burstTime while there is capacity for all.
	idleBurstTime = time.Second
	// heldExcess is the excess from which on an account's burst is limited. Counts of a second vary by about as much.
	heldExcess = 1.1
	// heldBurst, divided by the excess above the share, is the burst of an account that is held to its share: with random
	// arrivals the share stays in use. It is at least heldMinBurst requests and heldBurstTime at its rate.
	heldBurst     = 4
	heldMinBurst  = 4
	heldBurstTime = 100 * time.Millisecond
	// heldBurstOfAll and heldMinBurstOfAll are the same for all these accounts together.
	heldBurstOfAll    = 3
	heldMinBurstOfAll = 3
	// askedTime is the time constant of the measured rate of arrivals.
	askedTime = time.Second
)

// bucket is the state of an account at a gate: its tokens, its queue, and the places promised to callers that return.
type bucket struct {
	tokens
	account   string
	group     *group            // nil if there is none
	returns   float64           // starts that are left to returned callers, as of at
	asked     float64           // rate of arrivals, as of at
	promised  sageclock.Instant // the last promised place
	limitedAt sageclock.Instant // when its credit was limited last

	waiting  []*Entry          // in the order of arrival
	skipped  int               // starts since one that wasn't of the most urgent waiting ones
	reviewed bool              // entries that can't start in time at the current rate were refused
	oldest   sageclock.Instant // arrival of the first waiting entry
	next     sageclock.Instant // when a waiting entry can be decided on
	index    int               // in the heap of buckets with waiting entries
}

// depthOf returns the burst at a rate of accounts that ask for no more than their share.
func (s *Shares) depthOf(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	if !s.Short {
		return max(burstRequests, rate*idleBurstTime.Seconds())
	}
	return max(burstRequests, rate*burstTime.Seconds())
}

// depth returns the burst of an account.
func (g *Gate) depth(account string) float64 {
	rate := g.shares.rate(account)
	depth := g.shares.depthOf(rate)
	if g.isHeld(account) {
		burst := max(heldMinBurst, heldBurst/(g.excess[account].mean-1))
		depth = min(depth, max(burst, rate*heldBurstTime.Seconds()))
	}
	return depth
}

// settle adds the credit of the time that has passed.
func (b *bucket) settle(now sageclock.Instant) {
	if b.group != nil {
		b.group.settle(now)
	}
	if now <= b.at {
		return
	}
	seconds := now.Sub(b.at).Seconds()
	b.returns = min(returnBurst, b.returns+seconds*b.rate*returnPart)
	b.asked *= math.Exp(-seconds / askedTime.Seconds())
	b.tokens.settle(now)
}

// take takes the credit of one request, if there is any.
func (b *bucket) take() bool {
	if !b.ready() || b.group != nil && !b.group.ready() {
		return false
	}
	b.spend()
	return true
}

// othersWait reports whether requests wait that came before a new one and may need the same tokens.
func (b *bucket) othersWait() bool {
	if len(b.waiting) > 0 {
		return true
	}
	return b.group != nil && b.group.waiting > 0 && b.group.credit < float64(b.group.waiting+1)
}

func (b *bucket) spend() {
	b.credit--
	if b.group != nil {
		b.group.credit--
	}
}

// takeAt returns the instant at which there will be credit for a request.
func (b *bucket) takeAt() sageclock.Instant {
	if b.group == nil {
		return b.readyAt(1)
	}
	return max(b.readyAt(1), b.group.readyAt(1))
}

// idle reports whether the bucket holds no more than a new one.
func (b *bucket) idle(now sageclock.Instant) bool {
	return len(b.waiting) == 0 && b.credit >= b.depth && b.returns >= returnBurst && b.promised <= now
}
