package sageconfig

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of this package. Every returned error wraps one of these, [ErrUnknownReference] or
// [ErrNoUpstream].
var (
	ErrInvalidEntryKey = errors.New("malformed configuration entry key")
	ErrInvalidTicket   = errors.New("malformed ticket")
	ErrInvalidState    = errors.New("malformed value of a configuration entry")
)

// Kind is the kind of a configuration entry.
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

// MaxNameBytes is the greatest length of an entry's name.
const MaxNameBytes = 128

// EntryKey identifies a configuration entry.
type EntryKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "kind/name".
func (k EntryKey) String() string { return string(k.Kind) + "/" + k.Name }

// Check reports an unknown kind, or a name that is empty, too long or has characters outside
// [A-Za-z0-9._-], wrapped around [ErrInvalidEntryKey].
func (k EntryKey) Check() error {
	switch k.Kind {
	case KindRoute, KindDataCentre, KindUpstream, KindUpstreamSet, KindClientAccount, KindModelSet, KindOrder:
	default:
		return fmt.Errorf("kind %q: %w", k.Kind, ErrInvalidEntryKey)
	}
	if err := checkName(k.Name); err != nil {
		return fmt.Errorf("%s: %w", k.Kind, err)
	}
	return nil
}

// ParseEntryKey parses and checks a key of the form "kind/name".
func ParseEntryKey(s string) (EntryKey, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok {
		return EntryKey{}, fmt.Errorf("%q (want kind/name): %w", s, ErrInvalidEntryKey)
	}
	k := EntryKey{Kind: Kind(kind), Name: name}
	if err := k.Check(); err != nil {
		return EntryKey{}, fmt.Errorf("parse entry key: %w", err)
	}
	return k, nil
}

func checkName(s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return fmt.Errorf("name of %d bytes (want 1 to %d): %w", len(s), MaxNameBytes, ErrInvalidEntryKey)
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return fmt.Errorf("name %q contains %q (want letters, digits, '.', '_' or '-'): %w", s, c, ErrInvalidEntryKey)
		}
	}
	return nil
}
