package sagewire

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidOutcome reports a value that is not an outcome.
var ErrInvalidOutcome = errors.New("unknown outcome")

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes. Each request ends with exactly one of them.
const (
	// Complete: the complete response to this request was delivered.
	Complete Outcome = "complete"
	// NotRun: no upstream executed the request; it may be sent again.
	NotRun Outcome = "not_run"
	// Unknown: bytes reached an upstream, but no response arrived.
	Unknown Outcome = "unknown"
	// AlreadyRun: an earlier request with the same idempotency key ran or may have run.
	AlreadyRun Outcome = "already_run"
)

// ParseOutcome returns the outcome with the name s, or [ErrInvalidOutcome].
func ParseOutcome(s string) (Outcome, error) {
	switch o := Outcome(s); o {
	case Complete, NotRun, Unknown, AlreadyRun:
		return o, nil
	}
	return "", fmt.Errorf("outcome %q: %w", s, ErrInvalidOutcome)
}
