package sageoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// Errors of the client.
var (
	// ErrRefused is returned if the node responded with an error.
	ErrRefused = errors.New("refused")
	// ErrUnknown is returned if the node doesn't know whether the ticket was accepted.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnreachable is returned if no complete response was received.
	ErrUnreachable = errors.New("node not reached")
)

// maxResponseBytes limits the size of a response that the client reads.
const maxResponseBytes = 64 << 20

// Client calls the operators' interface of one node.
type Client struct {
	// URL is the base URL, such as "http://127.0.0.1:7301".
	URL  string
	Key  string
	HTTP *http.Client
}

// Do sends a request with the body in, and decodes the JSON response into out unless out is nil.
func (c *Client) Do(ctx context.Context, method, path string, in []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %v: %w", path, err, ErrUnreachable)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("call %s: %v: %w", path, err, ErrUnreachable)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: %w", path, responseError(b, res.Status))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("call %s: decode response: %w", path, err)
	}
	return nil
}

// responseError returns the error for a response with a status other than 200.
func responseError(body []byte, status string) error {
	var p Problem
	if json.Unmarshal(body, &p) != nil || p.Problem == "" {
		return fmt.Errorf("%s: %w", status, ErrRefused)
	}
	if p.Outcome == OutcomeUnknown {
		return fmt.Errorf("%s: %w", p.Problem, ErrUnknown)
	}
	return fmt.Errorf("%s: %w", p.Problem, ErrRefused)
}

// Submit submits a ticket.
func (c *Client) Submit(ctx context.Context, t *sageconfig.Ticket) error {
	b, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("submit ticket: %w", err)
	}
	if err := c.Do(ctx, http.MethodPost, "/v1/tickets", b, nil); err != nil {
		return fmt.Errorf("submit ticket: %w", err)
	}
	return nil
}
