package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Request describes a request to the scheduler.
type Request struct {
	Account string
	// Weight is the relative share of the account; 0 or less counts as 1.
	Weight   float64
	Priority sagewire.Priority
	Deadline time.Time
}

// State is the state of an item.
type State int

// The states. The scheduler has decided on an item once it is Running or Refused.
const (
	Waiting State = iota
	Running
	Refused
	Ended
)

// Item is a request that was offered to the scheduler.
type Item struct {
	Request Request
	State   State
	// Reason and RetryAt are set if State is Refused.
	Reason  sagewire.Reason
	RetryAt time.Time

	account     *account
	started     time.Time
	chargedTime time.Duration
}

func refused(r Request, reason sagewire.Reason, at time.Time) *Item {
	return &Item{Request: r, State: Refused, Reason: reason, RetryAt: at}
}
