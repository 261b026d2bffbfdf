package sageticket

import "github.com/pkg/errors"

// Errors of [Acceptor.Submit]. Each but [ErrOutcomeUnknown] says for certain that nothing of the
// ticket was applied and that nothing of this submission will be.
var (
	// ErrOtherContent: the number was accepted before with other content.
	ErrContentMismatch = errors.New("number already used with other content")
	// ErrSuperseded: a thing that the ticket touches holds a higher number.
	ErrSuperseded = errors.New("superseded by a higher number")
	// ErrTooOld: the number is below those whose content is still remembered.
	ErrTooOld = errors.New("number below the remembered history")
	// ErrNotAccepted: the store can't be reached, or other writers kept winning.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown: the answer of the store was lost and reading back failed too. Submitting
	// the same ticket again is safe and tells.
	ErrOutcomeUnknown = errors.New("outcome of the submission unknown")
)

// ErrInvalidObject reports a stored head or shard that contradicts itself.
var ErrInvalidObject = errors.New("malformed configuration object")

// ErrTicketNotFound reports that no ticket of that number is remembered.
var ErrTicketNotFound = errors.New("no such ticket")
