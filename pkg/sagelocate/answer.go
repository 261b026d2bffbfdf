package sagelocate

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrBadAnswer is the error of an answer that can't be used.
var ErrBadAnswer = errors.New("malformed locate answer")

// Answer lists the addresses to try, in this order, until ValidUntil.
type Answer struct {
	Addresses  []string  `json:"addresses"`
	ValidUntil time.Time `json:"valid_until"`
	// Revision is the configuration revision of the node that answered.
	Revision uint64 `json:"revision"`
}

// Check returns an error that wraps [ErrBadAnswer] if the answer has no addresses or no deadline.
func (a *Answer) Check() error {
	if len(a.Addresses) == 0 {
		return fmt.Errorf("no addresses: %w", ErrBadAnswer)
	}
	if a.ValidUntil.IsZero() {
		return fmt.Errorf("no valid_until: %w", ErrBadAnswer)
	}
	return nil
}

// DecodeAnswer decodes and checks an answer.
func DecodeAnswer(b []byte) (*Answer, error) {
	a := new(Answer)
	if err := json.Unmarshal(b, a); err != nil {
		return nil, fmt.Errorf("decode locate answer: %v: %w", err, ErrBadAnswer)
	}
	if err := a.Check(); err != nil {
		return nil, fmt.Errorf("decode locate answer: %w", err)
	}
	return a, nil
}
