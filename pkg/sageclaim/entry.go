package sageclaim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagewire"
)

// ErrInvalidEntry reports a malformed line of a claim object.
var ErrInvalidEntry = errors.New("malformed entry")

// Op is what an entry says about a key.
type Op string

// The operations.
const (
	// OpClaim claims the key for one request.
	OpClaim Op = "claim"
	// OpFinish records the outcome of the claimed request.
	OpFinish Op = "finish"
	// OpRelease frees the key: the claimed request is known not to have run.
	OpRelease Op = "release"
	// OpResolve is a person's word on a request whose outcome was unknown: complete or not_run.
	OpResolve Op = "settle"
)

// Entry is one line of a claim object.
type Entry struct {
	Op      Op     `json:"op"`
	Account string `json:"account"`
	Key     string `json:"key"`
	// ClaimID names the claim; it is fresh for each arrival of a request.
	ClaimID string `json:"claim_id"`
	// Fingerprint and Deadline stand in claims: nothing is sent for the claim after Deadline.
	Fingerprint string    `json:"fingerprint,omitempty"`
	Deadline    time.Time `json:"deadline,omitzero"`
	// Outcome and Status stand in finishes and settlements.
	Outcome sagewire.Outcome `json:"outcome,omitempty"`
	Status  int              `json:"status,omitempty"`
}

// Check reports a missing or misplaced field, wrapped around [ErrInvalidEntry].
func (e *Entry) Check() error {
	if e.Account == "" || e.Key == "" || e.ClaimID == "" {
		return fmt.Errorf("%s without account, key or claim_id: %w", e.Op, ErrInvalidEntry)
	}
	switch e.Op {
	case OpClaim:
		if e.Fingerprint == "" || e.Deadline.IsZero() {
			return fmt.Errorf("claim without fingerprint or deadline: %w", ErrInvalidEntry)
		}
	case OpFinish:
		if e.Outcome != sagewire.Complete && e.Outcome != sagewire.Unknown {
			return fmt.Errorf("finish with outcome %q: %w", e.Outcome, ErrInvalidEntry)
		}
	case OpResolve:
		if e.Outcome != sagewire.Complete && e.Outcome != sagewire.NotRun {
			return fmt.Errorf("settle with outcome %q: %w", e.Outcome, ErrInvalidEntry)
		}
	case OpRelease:
	default:
		return fmt.Errorf("op %q: %w", e.Op, ErrInvalidEntry)
	}
	return nil
}

// encode returns the entry as a line.
func (e *Entry) encode() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		panic("sageclaim: an entry always encodes: " + err.Error())
	}
	return append(b, '\n')
}

// decodeEntries reads the lines of an object.
func decodeEntries(b []byte) ([]Entry, error) {
	var entries []Entry
	for n := 1; len(b) > 0; n++ {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		if !ok {
			return nil, fmt.Errorf("line %d is cut: %w", n, ErrInvalidEntry)
		}
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("line %d: %v: %w", n, err, ErrInvalidEntry)
		}
		if err := e.Check(); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		entries = append(entries, e)
		b = rest
	}
	return entries, nil
}

// DecodeEntry decodes and checks one entry.
func DecodeEntry(b []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(b, &e); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %v: %w", err, ErrInvalidEntry)
	}
	if err := e.Check(); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", err)
	}
	return e, nil
}
