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

// Outcome says what became of a submitted ticket.
type Outcome string

// The outcomes other than acceptance.
const (
	// OutcomeRefused: the ticket itself can't be accepted; nothing of it was applied.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotAccepted: the store can't be reached now; nothing of it was applied.
	OutcomeNotAccepted Outcome = "not_accepted"
	// OutcomeUnknown: it may be in force. Submitting the same ticket again is safe and tells.
	OutcomeUnknown Outcome = "unknown"
)

// defaultHistory and maxHistory bound the tickets of one answer.
const (
	defaultHistory = 20
	maxHistory     = 1000
)

// Tickets accepts change tickets and tells where they are in force.
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
	acc, err := s.Tickets.Submit(r.Context(), t)
	if err != nil {
		code, outcome := submitFailure(err)
		WriteJSON(w, code, Problem{Problem: err.Error(), Outcome: outcome})
		return
	}
	s.Log.Info("Ticket accepted.", "number", t.Number, "author", t.Author, "changes", len(t.Changes))
	WriteJSON(w, http.StatusOK, acc)
}

// submitFailure tells apart what an operator must know: whether the ticket may be in force. An error
// that is not known to say otherwise counts as unknown.
func submitFailure(err error) (int, Outcome) {
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
	ps, err := s.Tickets.History(r.Context(), n)
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, Problem{Problem: err.Error()})
		return
	}
	WriteJSON(w, http.StatusOK, ps)
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
