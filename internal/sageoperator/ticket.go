package sageoperator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"sagestand.example/sagestand/internal/sageconfigd"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sageticket"
)

// Outcome is the outcome of a submitted ticket that wasn't accepted, or may not have been.
type Outcome string

// The outcomes other than acceptance.
const (
	// OutcomeRefused means that the ticket is invalid or conflicts with the configuration. Nothing was applied.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotAccepted means that the store is currently unreachable. Nothing was applied.
	OutcomeNotAccepted Outcome = "not_accepted"
	// OutcomeUnknown means that the ticket may be in force. Submitting the same ticket again is safe and shows
	// whether it is.
	OutcomeUnknown Outcome = "unknown"
)

// Default and maximum number of tickets in a response to GET /v1/tickets.
const (
	defaultHistory = 20
	maxHistory     = 1000
)

// Tickets accepts change tickets and reports their history and status.
type Tickets interface {
	Submit(ctx context.Context, t *sageconfig.Ticket) (sageticket.Accepted, error)
	History(ctx context.Context, n int) ([]sageticket.Summary, error)
	Status(ctx context.Context, number uint64) (sageconfigd.TicketStatus, error)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		WriteJSON(w, http.StatusRequestEntityTooLarge, Problem{Problem: "read ticket: " + err.Error(), Outcome: OutcomeRefused})
		return
	}
	t, err := sageconfig.DecodeTicket(b)
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Problem: err.Error(), Outcome: OutcomeRefused})
		return
	}
	accepted, err := s.Tickets.Submit(r.Context(), t)
	if err != nil {
		code, outcome := classifySubmitError(err)
		WriteJSON(w, code, Problem{Problem: err.Error(), Outcome: outcome})
		return
	}
	s.Log.Info("Ticket accepted.", "number", t.Number, "author", t.Author, "changes", len(t.Changes))
	WriteJSON(w, http.StatusOK, accepted)
}

// classifySubmitError returns the status code and the outcome for an error of Submit. An error counts as unknown
// unless it shows that the ticket isn't in force.
func classifySubmitError(err error) (int, Outcome) {
	switch {
	case errors.Is(err, sageticket.ErrNotAccepted):
		return http.StatusServiceUnavailable, OutcomeNotAccepted
	case errors.Is(err, sageconfig.ErrInvalidTicket), errors.Is(err, sageconfig.ErrInvalidEntryKey), errors.Is(err, sageconfig.ErrInvalidState):
		return http.StatusBadRequest, OutcomeRefused
	}
	for _, refused := range []error{
		sageticket.ErrContentMismatch, sageticket.ErrSuperseded, sageticket.ErrTooOld, sageconfig.ErrUnknownReference, sageconfig.ErrNoUpstream,
	} {
		if errors.Is(err, refused) {
			return http.StatusConflict, OutcomeRefused
		}
	}
	return http.StatusBadGateway, OutcomeUnknown
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	n := defaultHistory
	if q := r.URL.Query().Get("n"); q != "" {
		var err error
		if n, err = strconv.Atoi(q); err != nil || n < 1 || n > maxHistory {
			WriteJSON(w, http.StatusBadRequest, Problem{Problem: "n: want 1 to " + strconv.Itoa(maxHistory)})
			return
		}
	}
	summaries, err := s.Tickets.History(r.Context(), n)
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, Problem{Problem: err.Error()})
		return
	}
	WriteJSON(w, http.StatusOK, summaries)
}

func (s *Server) ticketStatus(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Problem: "want the number of a ticket"})
		return
	}
	st, err := s.Tickets.Status(r.Context(), number)
	switch {
	case errors.Is(err, sageticket.ErrTicketNotFound):
		WriteJSON(w, http.StatusNotFound, Problem{Problem: err.Error()})
	case errors.Is(err, sageobject.ErrUnavailable):
		WriteJSON(w, http.StatusServiceUnavailable, Problem{Problem: err.Error()})
	case err != nil:
		WriteJSON(w, http.StatusInternalServerError, Problem{Problem: err.Error()})
	default:
		WriteJSON(w, http.StatusOK, st)
	}
}
