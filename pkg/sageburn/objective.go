package sageburn

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrInvalidObjective reports an objective that can't be measured.
var ErrInvalidObjective = errors.New("malformed objective")

// AnyAccount as the account of an objective stands for each account without one of its own.
const AnyAccount = "*"

// Objective is a service level of an account and priority.
type Objective struct {
	Account  string            `json:"account"`
	Priority sagewire.Priority `json:"priority"`
	// LatencyMillis is the latest first byte of a good answer, counted from the request's arrival.
	LatencyMillis int `json:"latency_millis"`
	// Target is the part of requests that must be good, above 0 and below 1.
	Target float64 `json:"target"`
}

// Check reports a missing account or a value out of range, wrapped around [ErrInvalidObjective].
func (o *Objective) Check() error {
	if o.Account == "" {
		return fmt.Errorf("objective without account: %w", ErrInvalidObjective)
	}
	if o.LatencyMillis < 1 || !(o.Target > 0 && o.Target < 1) {
		return fmt.Errorf("objective of %s: latency_millis %d, target %v: %w", o.Account, o.LatencyMillis, o.Target, ErrInvalidObjective)
	}
	return nil
}

// find returns the objective of an account and priority.
func find(objectives []Objective, account string, p sagewire.Priority) (Objective, bool) {
	var any Objective
	ok := false
	for _, o := range objectives {
		if o.Priority != p {
			continue
		}
		if o.Account == account {
			return o, true
		}
		if o.Account == AnyAccount {
			any, ok = o, true
		}
	}
	return any, ok
}

// Request is the end of one request as far as service levels look at it.
type Request struct {
	Account     string
	Priority    sagewire.Priority
	Outcome     sagewire.Outcome
	Reason      sagewire.Reason
	ArrivedAt   time.Time
	FirstByteAt time.Time
	EndedAt     time.Time
}

// Fault says who caused an end that is not a whole answer.
type Fault int

// The faults.
const (
	// FaultNone: the request ended with its whole answer.
	FaultNone Fault = iota
	// FaultCaller: the request couldn't be served as it was; it counts neither as good nor as bad.
	FaultCaller
	// FaultService: it counts as bad.
	FaultService
)

// FaultOf returns who caused the end of a request.
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

// good reports whether a request without fault met the objective's latency.
func (o *Objective) good(r *Request) bool {
	at := r.FirstByteAt
	if at.IsZero() {
		at = r.EndedAt
	}
	return !at.After(r.ArrivedAt.Add(time.Duration(o.LatencyMillis) * time.Millisecond))
}
