package sageretry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit.
type State int

// The states. A half-open circuit has let one request through and waits for its end.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String returns the name of s as it stands in metrics.
func (s State) String() string { return [...]string{"closed", "open", "half_open"}[s] }

// Circuit keeps requests from an upstream that fails. It opens when, of the last requests that
// count, at least half failed; each time that the trial request fails it stays open for longer.
type Circuit struct {
	// Min is the least number of results before it may open; zero means 5.
	MinResults int
	// First and Longest bound the time it stays open; zero means 500 ms and 15 s.
	MinOpen, MaxOpen time.Duration

	state    State
	results  int
	failed   float64
	total    float64
	openings int
	openTill time.Time
	trialEnd time.Time // a trial not ended by then counts as lost
}

// memory is the factor by which each new result lowers the weight of the earlier ones; the results
// that count then weigh at most 1/(1-memory) = 20 requests.
const memory = 0.95

// maxOpenings bounds the doubling of the open time.
const maxOpenings = 16

// Allow reports whether a request may go now. If it moves the circuit to half-open, that request
// is the trial; exactly one is let through until its end is reported or the deadline trial passes.
func (c *Circuit) Allow(now, trial time.Time) bool {
	switch c.state {
	case Open:
		if now.Before(c.openTill) {
			return false
		}
	case HalfOpen:
		if now.Before(c.trialEnd) {
			return false
		}
	default:
		return true
	}
	c.state, c.trialEnd = HalfOpen, trial
	return true
}

// Succeeded counts a request that the upstream served, or refused in order.
func (c *Circuit) RecordSuccess() {
	switch c.state {
	case Open:
		return // sent before it opened
	case HalfOpen:
		c.state, c.openings, c.results, c.failed, c.total = Closed, 0, 0, 0, 0
	}
	c.count(0)
}

// Failed counts a request that failed and opens the circuit where that is due.
func (c *Circuit) RecordFailure(now time.Time, r *rand.Rand) {
	c.count(1)
	switch c.state {
	case Open:
		return
	case Closed:
		if c.results < c.min() || c.failed*2 < c.total {
			return
		}
	}
	c.open(now, r)
}

// State returns the present state.
func (c *Circuit) State() State { return c.state }

// OpenUntil returns when the next trial may go; it is in the past unless the state is Open.
func (c *Circuit) OpenUntil() time.Time { return c.openTill }

func (c *Circuit) count(failed float64) {
	c.results++
	c.failed = c.failed*memory + failed
	c.total = c.total*memory + 1
}

// open stores the end of the open time, jittered over its upper half, so that routers don't all
// try a recovering upstream at once.
func (c *Circuit) open(now time.Time, r *rand.Rand) {
	d := c.first() << min(c.openings, maxOpenings)
	d = min(d, c.longest())
	d = d/2 + time.Duration(r.Int64N(int64(d/2)+1))
	c.openings++
	c.state, c.openTill = Open, now.Add(d)
}

func (c *Circuit) min() int {
	if c.MinResults > 0 {
		return c.MinResults
	}
	return 5
}

func (c *Circuit) first() time.Duration {
	if c.MinOpen > 0 {
		return c.MinOpen
	}
	return 500 * time.Millisecond
}

func (c *Circuit) longest() time.Duration {
	if c.MaxOpen > 0 {
		return c.MaxOpen
	}
	return 15 * time.Second
}
