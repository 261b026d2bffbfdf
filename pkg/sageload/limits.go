package sageload

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrBadLimits reports limits under which the bound would not hold.
var ErrBadLimits = errors.New("limits out of range")

// Limits are the periods of the allotment protocol; all nodes use the same ones.
type Limits struct {
	// Grant is how long a grant lasts: at the holder since it asked, at the home since it answered.
	GrantDuration time.Duration
	// Promise is how long a voter that recognised a home recognises no other.
	PromiseDuration time.Duration
	// Lifetime bounds a request: the router ends it, and the upstream no longer works on it, after
	// this long.
	RequestLifetime time.Duration
	// ReportLag bounds the age of the figures in an answer of GET /v1/load.
	ReportLag time.Duration
	// Drift bounds how far the rate of a node's clock is from true, as a fraction.
	MaxClockDrift float64
}

// DefaultLimits suit nodes whose quartz clocks are far better than the assumed half percent.
var DefaultLimits = Limits{
	GrantDuration:   3 * time.Second,
	PromiseDuration: 3 * time.Second,
	RequestLifetime: 2 * time.Minute,
	ReportLag:       time.Second,
	MaxClockDrift:   0.005,
}

// Check reports a period that isn't positive, a drift outside [0, 0.1] or reports that may be older
// than a grant, wrapped around [ErrBadLimits]. A new home must see at least as much completed work
// as the one before it, or it would not set aside the floor that is already in use.
func (l Limits) Validate() error {
	if l.GrantDuration <= 0 || l.PromiseDuration <= 0 || l.RequestLifetime <= 0 || l.ReportLag < 0 {
		return fmt.Errorf("periods must be positive: %w", ErrBadLimits)
	}
	if l.ReportLag >= l.GrantDuration {
		return fmt.Errorf("report lag %v (want less than the grant's %v): %w", l.ReportLag, l.GrantDuration, ErrBadLimits)
	}
	if l.MaxClockDrift < 0 || l.MaxClockDrift > 0.1 {
		return fmt.Errorf("drift %v (want 0 to 0.1): %w", l.MaxClockDrift, ErrBadLimits)
	}
	return nil
}

// long stretches d so that d has passed on every clock once long(d) has passed on this one.
// Two clocks of rates 1-Drift and 1+Drift differ by the factor (1+Drift)/(1-Drift).
func (l Limits) long(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + l.MaxClockDrift) / (1 - l.MaxClockDrift))
}

// short shrinks d so that d has not passed on any clock while short(d) has not on this one.
func (l Limits) short(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - l.MaxClockDrift) / (1 + l.MaxClockDrift))
}
