package sageretry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit breaker.
type State int

// The states. In the half-open state one trial request has been allowed and its result is awaited.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String returns the name of the state in metrics.
func (s State) String() string { return [...]string{"closed", "open", "half_open"}[s] }

// Circuit is a circuit breaker for one upstream. It opens when at least half of the recent requests
// failed, by exponentially decaying weight. Each failed trial doubles the time for which it stays
// open.
type Circuit struct {
	// MinResults is the minimum number of results before it may open; zero means 5.
	MinResults int
	// InitialOpen is the time for which it stays open at first, MaxOpen the limit of the doubled times.
	// Jitter may halve both. Zero means 500 ms and 15 s.
	InitialOpen, MaxOpen time.Duration

	state            State
	results          int
	failed           float64
	total            float64
	consecutiveOpens int
	openUntil        time.Time
	trialDeadline    time.Time // after it a trial without result counts as lost
}

// decay is the factor by which each result reduces the weight of the earlier ones. The total weight
// is at most 1/(1-decay) = 20 requests.
const decay = 0.95

// maxDoublings limits the doubling of the open time.
const maxDoublings = 16

// Allow reports whether a request may be sent now. An open circuit whose open time is over becomes
// half-open and allows exactly one trial request, until its result is recorded or trialDeadline
// passes.
func (c *Circuit) Allow(now, trialDeadline time.Time) bool {
	switch c.state {
	case Open:
		if now.Before(c.openUntil) {
			return false
		}
	case HalfOpen:
		if now.Before(c.trialDeadline) {
			return false
		}
	default:
		return true
	}
	c.state, c.trialDeadline = HalfOpen, trialDeadline
	return true
}

// RecordSuccess records a request that the upstream served or properly declined.
func (c *Circuit) RecordSuccess() {
	switch c.state {
	case Open:
		return // late result of a request sent before it opened
	case HalfOpen:
		c.state, c.consecutiveOpens, c.results, c.failed, c.total = Closed, 0, 0, 0, 0
	}
	c.count(0)
}

// RecordFailure records a failed request and opens the circuit if the failure rate requires it.
func (c *Circuit) RecordFailure(now time.Time, r *rand.Rand) {
	c.count(1)
	switch c.state {
	case Open:
		return
	case Closed:
		if c.results < c.minResults() || c.failed*2 < c.total {
			return
		}
	}
	c.open(now, r)
}

// State returns the current state.
func (c *Circuit) State() State { return c.state }

// OpenUntil returns the time of the next trial. It is in the past unless the state is Open.
func (c *Circuit) OpenUntil() time.Time { return c.openUntil }

func (c *Circuit) count(failed float64) {
	c.results++
	c.failed = c.failed*decay + failed
	c.total = c.total*decay + 1
}

// open opens the circuit for a time with jitter over the upper half, so that routers don't all send
// their trial to a recovering upstream at the same time.
func (c *Circuit) open(now time.Time, r *rand.Rand) {
	d := c.initialOpen() << min(c.consecutiveOpens, maxDoublings)
	d = min(d, c.maxOpen())
	d = d/2 + time.Duration(r.Int64N(int64(d/2)+1))
	c.consecutiveOpens++
	c.state, c.openUntil = Open, now.Add(d)
}

func (c *Circuit) minResults() int {
	if c.MinResults > 0 {
		return c.MinResults
	}
	return 5
}

func (c *Circuit) initialOpen() time.Duration {
	if c.InitialOpen > 0 {
		return c.InitialOpen
	}
	return 500 * time.Millisecond
}

func (c *Circuit) maxOpen() time.Duration {
	if c.MaxOpen > 0 {
		return c.MaxOpen
	}
	return 15 * time.Second
}
