package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Request is what the scheduler has to know of a request.
type Request struct {
	Account string
	// Weight is the account's part relative to others; at most 0 counts as 1.
	Weight   float64
	Priority sagewire.Priority
	Deadline time.Time
}

// State is where an item stands.
type State int

// The states. Running and Refused are final as far as the scheduler's answer goes.
const (
	Waiting State = iota
	Running
	Refused
	Ended
)

// Item is an offered request.
type Item struct {
	Request Request
	State   State
	// Reason and RetryAt are set if Refused.
	Reason  sagewire.Reason
	RetryAt time.Time

	account *account
	started time.Time
	charged time.Duration
}

func refused(r Request, reason sagewire.Reason, at time.Time) *Item {
	return &Item{Request: r, State: Refused, Reason: reason, RetryAt: at}
}
