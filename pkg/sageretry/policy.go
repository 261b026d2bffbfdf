package sageretry

import (
	"math/rand/v2"
	"time"
)

// Attempt describes a request whose last attempt failed.
type Attempt struct {
	Idempotent bool
	// NotRun is set if the upstream stated that it did not execute the request.
	NotRun bool
	// Tried lists the upstreams of all attempts so far in their order. It has at least one element.
	Tried []string
	// Untried is the number of upstreams that could still take the request.
	Untried  int
	Deadline time.Time
}

// Reason is the reason why a retry is denied.
type Reason string

// The reasons.
const (
	ReasonNotIdempotent   Reason = "not_idempotent"
	ReasonNoOtherUpstream Reason = "no_other_upstream"
	ReasonMaxAttempts     Reason = "attempts"
	ReasonDeadline        Reason = "deadline"
	ReasonBudget          Reason = "budget"
)

// Decision is the result of [Policy.Retry].
type Decision struct {
	OK bool
	// At is the time of the retry.
	At time.Time
	// Reason is empty if OK is set.
	Reason Reason
}

// Policy holds the retry budgets and circuit breakers of one router.
type Policy struct {
	// Budget is the budget of the router. Each upstream has its own with the same Ratio and Burst.
	Budget Budget
	// MaxAttempts is the maximum number of attempts of one request; zero means 3.
	MaxAttempts int
	// Backoff is the mean delay of the first retry; it doubles with each further one. Zero means 10
	// ms.
	Backoff time.Duration
	// Rand is the source of jitter.
	Rand *rand.Rand

	upstreams map[string]*upstreamState
}

type upstreamState struct {
	budget  Budget
	circuit Circuit
}

// RecordFirstAttempt records the first attempt of a request.
func (p *Policy) RecordFirstAttempt() { p.Budget.Deposit() }

// RecordAttempt records an attempt at an upstream.
func (p *Policy) RecordAttempt(name string) { p.upstream(name).budget.Deposit() }

// RecordSuccess records a response of an upstream; a statement that the request was not executed
// counts as one.
func (p *Policy) RecordSuccess(name string) { p.upstream(name).circuit.RecordSuccess() }

// RecordFailure records a failure of an upstream.
func (p *Policy) RecordFailure(now time.Time, name string) {
	p.upstream(name).circuit.RecordFailure(now, p.Rand)
}

// Allow reports whether the circuit of an upstream allows a request with this deadline.
func (p *Policy) Allow(now time.Time, name string, deadline time.Time) bool {
	return p.upstream(name).circuit.Allow(now, deadline)
}

// Circuit returns the state of an upstream's circuit.
func (p *Policy) Circuit(name string) State { return p.upstream(name).circuit.State() }

// OpenCircuits returns the number of circuits that are open or half-open.
func (p *Policy) OpenCircuits() int {
	n := 0
	for _, u := range p.upstreams {
		if u.circuit.State() != Closed {
			n++
		}
	}
	return n
}

// Retry decides on a retry. If it is granted, a token is taken from the budget of the router and from
// that of the upstream that failed. The latter prevents one failing upstream from using up the
// retries of all others.
//
// A request that isn't idempotent may be retried only if the upstream stated that it did not execute
// it. After any other failure it may have been executed.
func (p *Policy) Retry(now time.Time, a Attempt) Decision {
	n := len(a.Tried)
	switch {
	case !a.Idempotent && !a.NotRun:
		return Decision{Reason: ReasonNotIdempotent}
	case n == 0, n >= p.maxAttempts():
		return Decision{Reason: ReasonMaxAttempts}
	case a.Untried < 1:
		return Decision{Reason: ReasonNoOtherUpstream}
	}
	at := now.Add(p.backoff(n))
	if !at.Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	u := &p.upstream(a.Tried[n-1]).budget
	if !p.Budget.CanWithdraw() || !u.CanWithdraw() {
		return Decision{Reason: ReasonBudget}
	}
	p.Budget.Withdraw()
	u.Withdraw()
	return Decision{OK: true, At: at}
}

// Retain drops the state of every upstream whose name isn't in names.
func (p *Policy) Retain(names map[string]bool) {
	for n := range p.upstreams {
		if !names[n] {
			delete(p.upstreams, n)
		}
	}
}

func (p *Policy) upstream(name string) *upstreamState {
	u := p.upstreams[name]
	if u == nil {
		if p.upstreams == nil {
			p.upstreams = make(map[string]*upstreamState)
		}
		u = &upstreamState{budget: Budget{Ratio: p.Budget.Ratio, Burst: p.Budget.Burst}}
		p.upstreams[name] = u
	}
	return u
}

// backoff returns the delay before attempt n+1, with full jitter.
func (p *Policy) backoff(n int) time.Duration {
	d := p.Backoff
	if d <= 0 {
		d = 10 * time.Millisecond
	}
	d = 2 * d << min(max(n-1, 0), maxDoublings)
	return time.Duration(p.Rand.Int64N(int64(d)))
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return 3
}
