package sageburn

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrInvalidObjective reports an objective that can't be measured.
var ErrInvalidObjective = errors.New("malformed objective")

// AnyAccount is the account of an objective for all accounts that have none of their own.
const AnyAccount = "*"

// Objective is the service level of an account and priority.
type Objective struct {
	Account  string            `json:"account"`
	Priority sagewire.Priority `json:"priority"`
	// LatencyMillis is the maximum time from the arrival of a request to the first byte of a good
	// response.
	LatencyMillis int `json:"latency_millis"`
	// Target is the fraction of requests that must be good, above 0 and below 1.
	Target float64 `json:"target"`
}

// Check reports a missing account or a value out of range. Its error wraps [ErrInvalidObjective].
func (o *Objective) Check() error {
	if o.Account == "" {
		return fmt.Errorf("objective without account: %w", ErrInvalidObjective)
	}
	if o.LatencyMillis < 1 || !(o.Target > 0 && o.Target < 1) {
		return fmt.Errorf("objective of %s: latency_millis %d, target %v: %w", o.Account, o.LatencyMillis, o.Target, ErrInvalidObjective)
	}
	return nil
}

// findObjective returns the objective of an account and priority, or that of [AnyAccount] if it has
// none of its own.
func findObjective(objectives []Objective, account string, p sagewire.Priority) (Objective, bool) {
	var fallback Objective
	ok := false
	for _, o := range objectives {
		if o.Priority != p {
			continue
		}
		if o.Account == account {
			return o, true
		}
		if o.Account == AnyAccount {
			fallback, ok = o, true
		}
	}
	return fallback, ok
}

// Request describes a finished request.
type Request struct {
	Account     string
	Priority    sagewire.Priority
	Outcome     sagewire.Outcome
	Reason      sagewire.Reason
	ArrivedAt   time.Time
	FirstByteAt time.Time
	EndedAt     time.Time
}

// Fault identifies who caused a request to end without a complete response.
type Fault int

// The faults.
const (
	// FaultNone: the outcome is complete or already run.
	FaultNone Fault = iota
	// FaultCaller: the request as sent could not be served; it counts neither as good nor as bad.
	FaultCaller
	// FaultService: the system failed to serve the request; it counts as bad.
	FaultService
)

// FaultOf returns who caused a request to end with the given outcome and reason.
func FaultOf(o sagewire.Outcome, r sagewire.Reason) Fault {
	switch o {
	case sagewire.Complete, sagewire.AlreadyRun:
		return FaultNone
	case sagewire.Unknown:
		return FaultService
	}
	switch r {
	case sagewire.ReasonBadRequest, sagewire.ReasonTooLarge, sagewire.ReasonSlowCaller, sagewire.ReasonUnauthorized,
		sagewire.ReasonNoRoute, sagewire.ReasonKeyExpired:
		return FaultCaller
	}
	return FaultService
}

// meetsLatency reports whether a request with a complete response met the latency of the objective.
func (o *Objective) meetsLatency(r *Request) bool {
	at := r.FirstByteAt
	if at.IsZero() {
		at = r.EndedAt
	}
	return !at.After(r.ArrivedAt.Add(time.Duration(o.LatencyMillis) * time.Millisecond))
}
