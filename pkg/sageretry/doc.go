// Package sageretry decides whether a failed request is sent again, where to, and when.
//
// A [Budget] lets retries be only a set fraction of first attempts, for the whole router and for
// each upstream, so that a failing third of the upstreams can't multiply the traffic. A [Circuit]
// keeps requests from an upstream that fails most of them, and lets single ones through after a
// stored deadline. A [Policy] joins the two: only idempotent requests, only to another upstream,
// only within the request's deadline.
//
// References: Beyer et al., "Site Reliability Engineering", 2016, chapter 21 (retry budgets per
// client); gRFC A6, "gRPC Retry Design" (token bucket by ratio); Nygard, "Release It!", 2007,
// section 5.2 (circuit breaker); Brooker, "Exponential Backoff And Jitter", 2015 (full jitter).
//
// # Usage
//
//	p := &sageretry.Policy{Source: rand.New(rand.NewPCG(seed, 0))}
//	p.First()
//	p.Sent(upstream)
//	p.Failed(now, upstream)
//	if d := p.Retry(now, sageretry.Attempt{Idempotent: true, Tried: tried, Deadline: deadline}); d.OK {
//		... // wait until d.At, then pick an upstream outside tried for which p.Allow says yes
//	}
//
// A Policy is not safe for concurrent use.
package sageretry
