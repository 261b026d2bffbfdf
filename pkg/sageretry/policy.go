package sageretry

import (
	"math/rand/v2"
	"time"
)

// Attempt describes a request whose last attempt failed.
type Attempt struct {
	Idempotent bool
	// NotRun says that the upstream's own word is that it did not execute the request.
	NotRun bool
	// Tried lists the upstreams that had it, at least one, the last one last.
	Tried []string
	// Others is the number of upstreams that could still take it.
	Untried  int
	Deadline time.Time
}

// Reason says why a request is not sent again.
type Reason string

// The reasons.
const (
	ReasonNotIdempotent   Reason = "not_idempotent"
	ReasonNoOtherUpstream Reason = "no_other_upstream"
	ReasonMaxAttempts     Reason = "attempts"
	ReasonDeadline        Reason = "deadline"
	ReasonBudget          Reason = "budget"
)

// Decision is the answer of [Policy.Retry].
type Decision struct {
	OK bool
	// At is when to send again.
	At time.Time
	// Reason is set unless OK.
	Reason Reason
}

// Policy holds the budgets and circuits of one router.
type Policy struct {
	// Budget is the router's own; each upstream has another with the same Ratio and Burst.
	Budget Budget
	// Attempts is the greatest number of attempts of one request; zero means 3.
	MaxAttempts int
	// Backoff is the mean wait before the first retry; it doubles. Zero means 10 ms.
	Backoff time.Duration
	// Source gives the jitter.
	Rand *rand.Rand

	upstreams map[string]*upstream
}

type upstream struct {
	budget  Budget
	circuit Circuit
}

// First counts the first attempt of a request.
func (p *Policy) RecordFirstAttempt() { p.Budget.Deposit() }

// Sent counts an attempt at an upstream.
func (p *Policy) RecordAttempt(name string) { p.at(name).budget.Deposit() }

// Succeeded counts an answer of an upstream, also a refusal that says that it did not execute.
func (p *Policy) RecordSuccess(name string) { p.at(name).circuit.RecordSuccess() }

// Failed counts a failure of an upstream.
func (p *Policy) RecordFailure(now time.Time, name string) {
	p.at(name).circuit.RecordFailure(now, p.Rand)
}

// Allow reports whether the circuit of an upstream lets a request with that deadline through.
func (p *Policy) Allow(now time.Time, name string, deadline time.Time) bool {
	return p.at(name).circuit.Allow(now, deadline)
}

// Circuit returns the state of an upstream's circuit.
func (p *Policy) Circuit(name string) State { return p.at(name).circuit.State() }

// Open returns the number of circuits that are not closed.
func (p *Policy) OpenCircuits() int {
	n := 0
	for _, u := range p.upstreams {
		if u.circuit.State() != Closed {
			n++
		}
	}
	return n
}

// Retry decides on another attempt and charges the router's budget and that of the upstream that
// failed. The latter keeps one failing upstream from using up the retries of all others.
//
// A request that is not idempotent may be sent again only if the upstream said that it did not
// execute the earlier attempt: any other failure leaves open whether it ran.
func (p *Policy) Retry(now time.Time, a Attempt) Decision {
	n := len(a.Tried)
	switch {
	case !a.Idempotent && !a.NotRun:
		return Decision{Reason: ReasonNotIdempotent}
	case n == 0, n >= p.attempts():
		return Decision{Reason: ReasonMaxAttempts}
	case a.Untried < 1:
		return Decision{Reason: ReasonNoOtherUpstream}
	}
	at := now.Add(p.wait(n))
	if !at.Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	u := &p.at(a.Tried[n-1]).budget
	if !p.Budget.CanWithdraw() || !u.CanWithdraw() {
		return Decision{Reason: ReasonBudget}
	}
	p.Budget.Withdraw()
	u.Withdraw()
	return Decision{OK: true, At: at}
}

// Keep drops the state of every upstream that is not among names.
func (p *Policy) Retain(names map[string]bool) {
	for n := range p.upstreams {
		if !names[n] {
			delete(p.upstreams, n)
		}
	}
}

func (p *Policy) at(name string) *upstream {
	u := p.upstreams[name]
	if u == nil {
		if p.upstreams == nil {
			p.upstreams = make(map[string]*upstream)
		}
		u = &upstream{budget: Budget{Ratio: p.Budget.Ratio, Burst: p.Budget.Burst}}
		p.upstreams[name] = u
	}
	return u
}

// wait returns the backoff before attempt n+1 with full jitter.
func (p *Policy) wait(n int) time.Duration {
	d := p.Backoff
	if d <= 0 {
		d = 10 * time.Millisecond
	}
	d = 2 * d << min(max(n-1, 0), maxOpenings)
	return time.Duration(p.Rand.Int64N(int64(d)))
}

func (p *Policy) attempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return 3
}
