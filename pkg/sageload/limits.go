package sageload

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidLimits reports limits under which the bound would not hold.
var ErrInvalidLimits = errors.New("limits out of range")

// Limits are the periods of the allotment protocol. All nodes must use the same ones.
type Limits struct {
	// GrantDuration is how long a grant lasts: for the holder since it sent the request, for the
	// coordinator since it answered.
	GrantDuration time.Duration
	// PromiseDuration is how long a voter that voted for a coordinator votes for no other.
	PromiseDuration time.Duration
	// RequestLifetime is the longest time for which a request runs: after it the router ends the
	// request, and the upstream no longer works on it.
	RequestLifetime time.Duration
	// ReportLag is the greatest age of the figures in an answer to GET /v1/load.
	ReportLag time.Duration
	// MaxClockDrift is the greatest relative error of the rate of a node's clock.
	MaxClockDrift float64
}

// DefaultLimits suit nodes with quartz clocks, whose error is far below the assumed half percent.
var DefaultLimits = Limits{
	GrantDuration:   3 * time.Second,
	PromiseDuration: 3 * time.Second,
	RequestLifetime: 2 * time.Minute,
	ReportLag:       time.Second,
	MaxClockDrift:   0.005,
}

// Validate returns an error that wraps [ErrInvalidLimits] if a period isn't positive, the drift is outside
// [0, 0.1], or reports may be as old as a grant. A new coordinator must see at least as much completed
// work as the one before it; otherwise it would not set aside the floor that is already in use.
func (l Limits) Validate() error {
	if l.GrantDuration <= 0 || l.PromiseDuration <= 0 || l.RequestLifetime <= 0 || l.ReportLag < 0 {
		return fmt.Errorf("periods must be positive: %w", ErrInvalidLimits)
	}
	if l.ReportLag >= l.GrantDuration {
		return fmt.Errorf("report lag %v (want less than the grant's %v): %w", l.ReportLag, l.GrantDuration, ErrInvalidLimits)
	}
	if l.MaxClockDrift < 0 || l.MaxClockDrift > 0.1 {
		return fmt.Errorf("drift %v (want 0 to 0.1): %w", l.MaxClockDrift, ErrInvalidLimits)
	}
	return nil
}

// stretch returns a duration after which d has passed on every clock. Two clocks of rates
// 1-MaxClockDrift and 1+MaxClockDrift differ by the factor (1+MaxClockDrift)/(1-MaxClockDrift).
func (l Limits) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + l.MaxClockDrift) / (1 - l.MaxClockDrift))
}

// shrink returns a duration within which d has not passed on any clock.
func (l Limits) shrink(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - l.MaxClockDrift) / (1 + l.MaxClockDrift))
}
