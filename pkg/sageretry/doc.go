// Package sageretry decides whether and when a failed request is retried.
//
// A [Budget] limits retries to a fraction of first attempts, for the router as a whole and for each
// upstream, so that the failure of a third of the upstreams can't multiply the traffic. A [Circuit]
// stops requests to an upstream that fails most of them, and allows a single trial request when its
// open time is over. A [Policy] combines the two: it allows a retry only if the request is idempotent
// or was not executed, another upstream is left, and the deadline permits it.
//
// References: Beyer et al., "Site Reliability Engineering", 2016, chapter 21 (retry budgets per
// client); gRFC A6, "gRPC Retry Design" (token bucket by ratio); Nygard, "Release It!", 2007,
// section 5.2 (circuit breaker); Brooker, "Exponential Backoff And Jitter", 2015 (full jitter).
//
// # Usage
//
//	p := &sageretry.Policy{Rand: rand.New(rand.NewPCG(seed, 0))}
//	p.RecordFirstAttempt()
//	p.RecordAttempt(upstream)
//	p.RecordFailure(now, upstream)
//	if d := p.Retry(now, sageretry.Attempt{Idempotent: true, Tried: tried, Untried: 2, Deadline: deadline}); d.OK {
//		... // wait until d.At, then choose an upstream outside tried for which p.Allow returns true
//	}
//
// A Policy is not safe for concurrent use.
package sageretry
