package sagefair

import (
	"math"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// tokens is a token bucket.
type tokens struct {
	rate, depth float64
	credit      float64 // requests that may start, as of at; negative after starts of returned callers
	at          sageclock.Instant
}

// setRate changes the rate and the depth. Credit above the depth is lost.
func (t *tokens) setRate(rate, depth float64) {
	t.rate, t.depth = rate, depth
	t.credit = min(t.credit, depth)
}

// settle adds the credit of the time that has passed.
func (t *tokens) settle(now sageclock.Instant) {
	if now <= t.at {
		return
	}
	t.credit = min(t.depth, t.credit+now.Sub(t.at).Seconds()*t.rate)
	t.at = now
}

// roundingError is the error of a sum of credits that is tolerated.
const roundingError = 1e-6

// ready reports whether there is credit for a request.
func (t *tokens) ready() bool { return t.credit >= 1-roundingError }

// readyAt returns the instant at which there will be credit for n requests.
func (t *tokens) readyAt(n float64) sageclock.Instant {
	return after(t.at, (n-t.credit)/t.rate)
}

// never is later than any instant that is computed with.
const never = sageclock.Instant(math.MaxInt64 / 2)

// after returns the instant a number of seconds after i, rounded up. Seconds that aren't a number are taken for infinite.
func after(i sageclock.Instant, seconds float64) sageclock.Instant {
	if seconds <= 0 {
		return i
	}
	ns := math.Ceil(seconds * float64(time.Second))
	if !(ns < float64(never-i)) {
		return never
	}
	return i + sageclock.Instant(ns)
}
