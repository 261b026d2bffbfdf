package sageshare

import (
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// ratioFraction and slackFraction are the fractions of the fleet's limit that nodes use. The rest covers the time between
	// a node's decision and the arrival at the upstream, and nodes that don't know of each other yet.
	ratioFraction = 0.8
	slackFraction = 0.9
	// burstFraction is the fraction of a node's part of the slack that it may save up; it earns the rest in each window.
	burstFraction = 2. / 3
	// unknownCapacity is the capacity of a bucket while the size of the fleet isn't known.
	unknownCapacity = 1
	// tolerance is the rounding error of a level that counts as a whole token.
	tolerance = 1e-9
)

// RetryLimiter limits, for each service, the sends beyond the first one of each request. It is not
// safe for concurrent use.
//
// In any window all nodes together send to a service at most Ratio times its requests plus Slack retries. Each node has a
// token bucket for each service, filled by its own requests and over time. It is empty when its node starts, so that neither
// restarts nor the replacement of nodes gains anything.
type RetryLimiter struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Start is the time at which the node started.
	Start sageclock.Instant
	// Rand returns a number in [0,1); nil means [rand.Float64].
	Rand func() float64

	buckets map[string]*bucket
	filled  bool
}

// bucket holds the tokens for the retries of one service.
type bucket struct {
	level   float64
	updated sageclock.Instant
}

// RetryUsage is the state of a node's bucket for a service, for logs and metrics.
type RetryUsage struct {
	// Tokens is the number of retries that the node may send, Capacity its limit.
	Tokens, Capacity float64
	// SlackPerSecond is the number of tokens that it gets each second without any request.
	SlackPerSecond float64
}

// Fill fills the buckets of all services, present and future. It may be called once, at the first start of the whole fleet: a
// node that is added later may replace one that has spent its share in the last window.
func (r *RetryLimiter) Fill() {
	r.filled = true
	for _, b := range r.buckets {
		b.level = r.Slack // limited to the capacity by the next refill
	}
}

// RecordFirstSend records the first send of a request to a service. nodes is as for [RetryLimiter.Allow].
func (r *RetryLimiter) RecordFirstSend(now sageclock.Instant, service string, nodes int) {
	b, capacity := r.refill(now, service, nodes)
	b.level = min(capacity, b.level+ratioFraction*r.Ratio)
}

// Allow reports whether a retry may be sent to a service, and counts it. nodes is the number of all
// nodes of the fleet that may run, including this one; 0 if that isn't known.
//
// If the slack is less than a token a node, no bucket ever holds a whole one. Then part of a token allows a retry
// with that probability.
func (r *RetryLimiter) Allow(now sageclock.Instant, service string, nodes int) bool {
	b, capacity := r.refill(now, service, nodes)
	if capacity < 1 {
		level := b.level
		b.level = 0
		return r.random() < level
	}
	if b.level < 1-tolerance {
		return false
	}
	b.level = max(0, b.level-1)
	return true
}

// AllowTrial reports whether a request may be sent to an upstream that will probably decline it, which
// takes a retry. Half of the capacity is left for other failures, except if it is small and the bucket full.
func (r *RetryLimiter) AllowTrial(now sageclock.Instant, service string, nodes int) bool {
	b, capacity := r.refill(now, service, nodes)
	return b.level >= min(capacity, capacity/2+1)-tolerance
}

// Usage returns the state of the bucket of a service.
func (r *RetryLimiter) Usage(now sageclock.Instant, service string, nodes int) RetryUsage {
	b, capacity := r.refill(now, service, nodes)
	_, perSecond := r.share(nodes)
	return RetryUsage{Tokens: b.level, Capacity: capacity, SlackPerSecond: perSecond}
}

// share divides the slack: it returns the capacity of a node's bucket and the tokens that it gets each second.
func (r *RetryLimiter) share(nodes int) (capacity, perSecond float64) {
	if nodes <= 0 {
		return unknownCapacity, 0
	}
	part := slackFraction * r.Slack / float64(nodes)
	capacity = max(min(1, part), burstFraction*part)
	if r.Window <= 0 {
		return capacity, 0
	}
	return capacity, (part - capacity) / r.Window.Seconds()
}

// refill adds the tokens that a service's bucket has got by time, and returns it with its capacity.
func (r *RetryLimiter) refill(now sageclock.Instant, service string, nodes int) (*bucket, float64) {
	if r.buckets == nil {
		r.buckets = make(map[string]*bucket)
	}
	b := r.buckets[service]
	if b == nil {
		b = &bucket{updated: r.Start}
		if r.filled {
			b.level = r.Slack
		}
		r.buckets[service] = b
	}
	capacity, perSecond := r.share(nodes)
	b.level = min(capacity, b.level+perSecond*max(0, now.Sub(b.updated)).Seconds())
	b.updated = max(b.updated, now)
	return b, capacity
}

func (r *RetryLimiter) random() float64 {
	if r.Rand != nil {
		return r.Rand()
	}
	return rand.Float64()
}
