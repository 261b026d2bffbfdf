package sagewire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidRefusal reports a refusal body that contradicts itself or lacks a field.
var ErrInvalidRefusal = errors.New("malformed refusal")

// Reason says in one word why a request did not end with [Complete].
type Reason string

// The reasons.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonTooLarge         Reason = "too_large"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNoRoute          Reason = "no_route"
	ReasonNoConfig         Reason = "no_configuration"
	ReasonStale            Reason = "stale_configuration"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonOverloaded       Reason = "overloaded"
	ReasonAccountLimit     Reason = "account_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonLeaving          Reason = "leaving"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonKeyInUse         Reason = "key_in_use"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonUpstreamRefused  Reason = "upstream_refused"
	ReasonAnswerLost       Reason = "answer_lost"
	ReasonSlowCaller       Reason = "slow_caller"
	ReasonInternal         Reason = "internal"
)

// Refusal is the body of every response whose outcome is not [Complete].
// RetryAt is the instant at which asking again can help; zero means never with this request.
type Refusal struct {
	Outcome   Outcome   `json:"outcome"`
	Reason    Reason    `json:"reason"`
	Detail    string    `json:"detail,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Status    string    `json:"status,omitempty"`
	RetryAt   time.Time `json:"retry_at,omitzero"`
}

// Error makes a refusal usable as an error value inside the system.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Outcome) + ": " + string(r.Reason)
	}
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}

// Check reports why r can't be sent, wrapped around [ErrInvalidRefusal].
func (r *Refusal) Check() error {
	if _, err := ParseOutcome(string(r.Outcome)); err != nil {
		return fmt.Errorf("refusal: %w", err)
	}
	if r.Outcome == Complete {
		return fmt.Errorf("a complete answer is no refusal: %w", ErrInvalidRefusal)
	}
	if r.Reason == "" {
		return fmt.Errorf("refusal without a reason: %w", ErrInvalidRefusal)
	}
	return nil
}

// HTTPStatus returns the status code that carries r.
func (r *Refusal) HTTPStatus() int {
	switch r.Outcome {
	case Unknown:
		return http.StatusBadGateway
	case AlreadyRun:
		return http.StatusConflict
	}
	switch r.Reason {
	case ReasonBadRequest, ReasonKeyExpired:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonAccountLimit:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonSlowCaller:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// DecodeRefusal decodes and checks a refusal body.
func DecodeRefusal(b []byte) (*Refusal, error) {
	r := new(Refusal)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("decode refusal: %w", err)
	}
	if err := r.Check(); err != nil {
		return nil, fmt.Errorf("decode refusal: %w", err)
	}
	return r, nil
}

// Refuse returns a refusal that is true to say while nothing has left this system.
func Refuse(reason Reason, detail string, retryAt time.Time) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail, RetryAt: retryAt}
}
