package sageconfig

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of this package; every returned error wraps one of them.
var (
	ErrInvalidEntryKey = errors.New("malformed thing")
	ErrInvalidTicket   = errors.New("malformed ticket")
	ErrInvalidState    = errors.New("malformed state of a thing")
)

// Kind is the kind of a thing that a ticket can touch.
type Kind string

// The kinds.
const (
	KindRoute         Kind = "route"
	KindDataCentre    Kind = "data_centre"
	KindUpstream      Kind = "upstream"
	KindUpstreamSet   Kind = "upstream_set"
	KindClientAccount Kind = "client_account"
	KindModelSet      Kind = "model_set"
	KindOrder         Kind = "order"
)

// MaxNameBytes is the greatest length of a thing's name in bytes.
const MaxNameBytes = 128

// EntryKey names one unit of configuration.
type EntryKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the thing as "kind/name".
func (t EntryKey) String() string { return string(t.Kind) + "/" + t.Name }

// Check reports an unknown kind or a name outside [A-Za-z0-9._-], wrapped around [ErrInvalidEntryKey].
func (t EntryKey) Check() error {
	switch t.Kind {
	case KindRoute, KindDataCentre, KindUpstream, KindUpstreamSet, KindClientAccount, KindModelSet, KindOrder:
	default:
		return fmt.Errorf("kind %q: %w", t.Kind, ErrInvalidEntryKey)
	}
	if err := checkName(t.Name); err != nil {
		return fmt.Errorf("%s: %w", t.Kind, err)
	}
	return nil
}

// ParseEntryKey reads "kind/name".
func ParseEntryKey(s string) (EntryKey, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok {
		return EntryKey{}, fmt.Errorf("%q (want kind/name): %w", s, ErrInvalidEntryKey)
	}
	t := EntryKey{Kind: Kind(kind), Name: name}
	if err := t.Check(); err != nil {
		return EntryKey{}, fmt.Errorf("parse thing: %w", err)
	}
	return t, nil
}

func checkName(s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return fmt.Errorf("name of %d bytes (want 1 to %d): %w", len(s), MaxNameBytes, ErrInvalidEntryKey)
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return fmt.Errorf("name %q holds %q (want letters, digits, '.', '_' or '-'): %w", s, c, ErrInvalidEntryKey)
		}
	}
	return nil
}
