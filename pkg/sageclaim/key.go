package sageclaim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Errors of keys; every error about a key wraps one of them.
var (
	ErrInvalidKey  = errors.New("key is neither a UUID of version 7 nor <unix_millis>-<token>")
	ErrKeyExpired  = errors.New("key is older than claims are kept")
	ErrKeyInFuture = errors.New("key was created in the future")
)

// MaxKeyBytes is the greatest length of a key in bytes.
const MaxKeyBytes = 128

// Key is an idempotency key with the instant of its creation.
type Key struct {
	Text      string
	CreatedAt time.Time
}

// ParseKey reads a key and the instant that it carries.
func ParseKey(s string) (Key, error) {
	if s == "" || len(s) > MaxKeyBytes {
		return Key{}, fmt.Errorf("key of %d bytes: %w", len(s), ErrInvalidKey)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return Key{}, fmt.Errorf("key %q: %w", s, ErrInvalidKey)
		}
	}
	if u, err := uuid.Parse(s); err == nil {
		if u.Version() != 7 || len(s) != 36 {
			return Key{}, fmt.Errorf("key %q is a UUID of version %d: %w", s, u.Version(), ErrInvalidKey)
		}
		millis := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
		// Upper and lower case name the same UUID, so they must name the same claim.
		return Key{Text: strings.ToLower(s), CreatedAt: time.UnixMilli(millis)}, nil
	}
	head, token, ok := strings.Cut(s, "-")
	millis, err := strconv.ParseUint(head, 10, 48)
	// The number is taken in its shortest form only, so that equal keys are equal texts.
	if !ok || token == "" || err != nil || strconv.FormatUint(millis, 10) != head {
		return Key{}, fmt.Errorf("key %q: %w", s, ErrInvalidKey)
	}
	return Key{Text: s, CreatedAt: time.UnixMilli(int64(millis))}, nil
}
