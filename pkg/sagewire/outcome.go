package sagewire

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidOutcome reports an outcome word outside the defined set.
var ErrInvalidOutcome = errors.New("unknown outcome")

// Outcome is the end of a request as told to its caller.
type Outcome string

// The outcomes. Each request ends with exactly one of them.
const (
	// Complete: the whole answer of this request was delivered.
	Complete Outcome = "complete"
	// NotRun: no upstream executed the request; it may be sent again.
	NotRun Outcome = "not_run"
	// Unknown: bytes reached an upstream and no answer came back.
	Unknown Outcome = "unknown"
	// AlreadyRun: an earlier request with the same idempotency key ran or may have run.
	AlreadyRun Outcome = "already_run"
)

// ParseOutcome returns the outcome named by s, or [ErrInvalidOutcome].
func ParseOutcome(s string) (Outcome, error) {
	switch o := Outcome(s); o {
	case Complete, NotRun, Unknown, AlreadyRun:
		return o, nil
	}
	return "", fmt.Errorf("outcome %q: %w", s, ErrInvalidOutcome)
}
