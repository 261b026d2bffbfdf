package sageticket

import "github.com/pkg/errors"

// Errors of [Acceptor.Submit]. All but [ErrOutcomeUnknown] guarantee that this submission has not
// changed the configuration and won't do so later.
var (
	// ErrContentMismatch reports a number that was accepted before with other content.
	ErrContentMismatch = errors.New("number already used with other content")
	// ErrSuperseded reports that an entry of the ticket already has the same or a higher ticket number.
	ErrSuperseded = errors.New("superseded by a higher number")
	// ErrTooOld reports a number at or below the floor of the head, whose content may have been
	// dropped.
	ErrTooOld = errors.New("number below the remembered history")
	// ErrNotAccepted reports that the store is unavailable, or that too many updates lost to other
	// writers.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown reports that the response of the store was lost and the read back failed too.
	// Submitting the same ticket again is safe and resolves the outcome.
	ErrOutcomeUnknown = errors.New("outcome of the submission unknown")
)

// ErrInvalidObject reports a malformed or inconsistent head or shard in the store.
var ErrInvalidObject = errors.New("malformed configuration object")

// ErrTicketNotFound reports a ticket number that is in neither the tail nor a shard.
var ErrTicketNotFound = errors.New("no such ticket")
