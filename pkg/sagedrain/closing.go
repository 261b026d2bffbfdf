package sagedrain

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidClosing reports times of a stop that aren't in order.
var ErrInvalidClosing = errors.New("malformed times of a stop")

// Closing decides which requests a process accepts that stops at a stated time. Its fields must not change.
type Closing struct {
	// CertainFrom is when the callers have been sent elsewhere. Requests that still come are accepted only if their deadline
	// passes before CutAt.
	CertainFrom time.Time
	// CloseAt is when no request is accepted any more.
	CloseAt time.Time
	// CutAt is when requests in progress are aborted.
	CutAt time.Time
	// UnknownFits has requests of classes of which too little is known count as short: the operator has set CutAt to the longest.
	UnknownFits bool
}

// Check reports times that aren't in order. Its error wraps [ErrInvalidClosing].
func (c *Closing) Check() error {
	if c.CertainFrom.After(c.CloseAt) || c.CloseAt.After(c.CutAt) {
		return fmt.Errorf("certain from %v, close at %v, cut at %v: %w", c.CertainFrom, c.CloseAt, c.CutAt, ErrInvalidClosing)
	}
	return nil
}

// Accepts reports whether a request with a deadline is accepted that is expected to take the estimate at most, if that is known.
func (c *Closing) Accepts(now, deadline time.Time, estimate time.Duration, known bool) bool {
	return now.Before(c.CloseAt) && c.Fits(now, deadline, estimate, known)
}

// Fits reports whether a request that starts now is expected to end before CutAt. A request always ends at its deadline.
func (c *Closing) Fits(now, deadline time.Time, estimate time.Duration, known bool) bool {
	switch {
	case !deadline.After(c.CutAt):
		return true
	case !now.Before(c.CertainFrom):
		return false
	case !known:
		return c.UnknownFits
	}
	return estimate <= c.CutAt.Sub(now)
}
