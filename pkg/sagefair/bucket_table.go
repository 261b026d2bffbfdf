package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// sweepInterval is the shortest time between two searches for idle buckets for want of places.
const sweepInterval = time.Second

// bucketOf returns the bucket of an account. A new one is full.
func (g *Gate) bucketOf(now sageclock.Instant, account string) *bucket {
	if b := g.buckets[account]; b != nil {
		return b
	}
	_, listed := g.shares.Rates[account]
	if !listed && len(g.buckets) >= maxBuckets+len(g.shares.Rates) {
		if now < g.sweepAt {
			return g.overflowBucket(now)
		}
		g.sweep(now)
		if len(g.buckets) >= maxBuckets+len(g.shares.Rates) {
			return g.overflowBucket(now)
		}
	}
	if g.buckets == nil {
		g.buckets = make(map[string]*bucket)
	}
	b := g.newBucket(now, account)
	g.buckets[account] = b
	return b
}

func (g *Gate) newBucket(now sageclock.Instant, account string) *bucket {
	b := &bucket{account: account, returns: returnBurst, reviewed: true, index: -1}
	b.at = now
	b.rate, b.depth = g.shares.rate(account), g.depth(account)
	b.credit = b.depth
	g.setGroup(b)
	g.limitCredit(now, b)
	return b
}

// overflowBucket returns the bucket that accounts without their own share.
func (g *Gate) overflowBucket(now sageclock.Instant) *bucket {
	if g.overflow == nil {
		g.overflow = g.newBucket(now, "")
	}
	return g.overflow
}

// sweep drops idle buckets.
func (g *Gate) sweep(now sageclock.Instant) {
	g.sweepAt = now.Add(sweepInterval)
	for account, b := range g.buckets {
		b.settle(now)
		if b.idle(now) {
			delete(g.buckets, account)
		}
	}
	if g.overflow != nil && g.overflow.idle(now) {
		g.overflow = nil
	}
}
