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
	// ErrRefused: the node answered, and not with a success.
	ErrRefused = errors.New("refused")
	// ErrUnknown: the node can't tell whether the ticket was accepted.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnreachable: no answer came.
	ErrUnreachable = errors.New("node not reached")
)

// maxAnswer bounds what the client reads of an answer.
const maxAnswer = 64 << 20

// Client calls the operators' interface of one node.
type Client struct {
	// URL is the base, such as "http://127.0.0.1:7301".
	URL  string
	Key  string
	HTTP *http.Client
}

// Do sends one call and decodes its answer into out, unless out is nil.
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
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("call %s: %v: %w", path, err, ErrUnreachable)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: %w", path, problem(b, res.Status))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("call %s: decode answer: %w", path, err)
	}
	return nil
}

// problem returns what a refusal says.
func problem(body []byte, status string) error {
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
