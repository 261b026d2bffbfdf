package sageoperator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageconfigd"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageticket"
)

// fakeTickets returns err from every call.
type fakeTickets struct{ err error }

func (s *fakeTickets) Submit(_ context.Context, t *sageconfig.Ticket) (sageticket.Accepted, error) {
	return sageticket.Accepted{Number: t.Number, Revision: 3}, s.err
}

func (s *fakeTickets) History(context.Context, int) ([]sageticket.Summary, error) { return nil, s.err }

func (s *fakeTickets) Status(context.Context, uint64) (sageconfigd.TicketStatus, error) {
	return sageconfigd.TicketStatus{}, s.err
}

// serveTickets runs a server on loopback and returns a client for it.
func serveTickets(t *testing.T, tickets Tickets) *Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Listener: l, Key: "key", Tickets: tickets}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return &Client{URL: "http://" + l.Addr().String(), Key: "key", HTTP: http.DefaultClient}
}

// Prevents reporting a ticket as refused that may be in force: an operator would submit the number again with other
// content. Only errors that rule out acceptance may count as refused.
func TestClassifySubmitError(t *testing.T) {
	for _, c := range []struct {
		err     error
		code    int
		outcome Outcome
		client  error
	}{
		{sageconfig.ErrInvalidTicket, http.StatusBadRequest, OutcomeRefused, ErrRefused},
		{sageticket.ErrContentMismatch, http.StatusConflict, OutcomeRefused, ErrRefused},
		{sageticket.ErrSuperseded, http.StatusConflict, OutcomeRefused, ErrRefused},
		{sageticket.ErrTooOld, http.StatusConflict, OutcomeRefused, ErrRefused},
		{sageconfig.ErrUnknownReference, http.StatusConflict, OutcomeRefused, ErrRefused},
		{sageconfig.ErrNoUpstream, http.StatusConflict, OutcomeRefused, ErrRefused},
		{sageticket.ErrNotAccepted, http.StatusServiceUnavailable, OutcomeNotAccepted, ErrRefused},
		{sageticket.ErrOutcomeUnknown, http.StatusBadGateway, OutcomeUnknown, ErrUnknown},
		{errors.New("something else"), http.StatusBadGateway, OutcomeUnknown, ErrUnknown},
	} {
		err := fmt.Errorf("submit: %w", c.err)
		code, outcome := classifySubmitError(err)
		assert.Equal(t, c.code, code, c.err)
		assert.Equal(t, c.outcome, outcome, c.err)
		client := serveTickets(t, &fakeTickets{err: err})
		tk := &sageconfig.Ticket{Number: 1, Changes: []sageconfig.Change{{Key: sageconfig.EntryKey{Kind: sageconfig.KindOrder, Name: "a"}, Deleted: true}}}
		assert.ErrorIs(t, client.Submit(t.Context(), tk), c.client, c.err)
	}
}

func TestTicketCalls(t *testing.T) {
	client := serveTickets(t, new(fakeTickets))
	var acc sageticket.Accepted
	tk := `{"number":7,"changes":[{"thing":{"kind":"order","name":"a"},"deleted":true}]}`
	require.NoError(t, client.Do(t.Context(), http.MethodPost, "/v1/tickets", []byte(tk), &acc))
	assert.Equal(t, uint64(3), acc.Revision)
	assert.ErrorIs(t, client.Do(t.Context(), http.MethodPost, "/v1/tickets", []byte(`{}`), nil), ErrRefused)
	for path, ok := range map[string]bool{
		"/v1/tickets": true, "/v1/tickets?n=5": true, "/v1/tickets?n=0": false, "/v1/tickets?n=x": false, "/v1/tickets/7": true, "/v1/tickets/x": false,
	} {
		err := client.Do(t.Context(), http.MethodGet, path, nil, nil)
		assert.Equal(t, ok, err == nil, "%s: %v", path, err)
	}
	missing := serveTickets(t, &fakeTickets{err: sageticket.ErrTicketNotFound})
	assert.ErrorIs(t, missing.Do(t.Context(), http.MethodGet, "/v1/tickets/7", nil, nil), ErrRefused)
}
