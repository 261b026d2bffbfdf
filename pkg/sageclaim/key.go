package sageclaim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Errors of keys. Every error about a key wraps one of these.
var (
	ErrInvalidKey  = errors.New("key is neither a UUID of version 7 nor <unix_millis>-<token>")
	ErrKeyExpired  = errors.New("key is older than claims are kept")
	ErrKeyInFuture = errors.New("key was created in the future")
)

// MaxKeyBytes is the greatest length of a key.
const MaxKeyBytes = 128

// Key is an idempotency key with its creation time.
type Key struct {
	Text      string
	CreatedAt time.Time
}

// ParseKey parses a key and the creation time in it.
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
		// Spellings of a UUID that differ in case are the same UUID, so they must give the same key.
		return Key{Text: strings.ToLower(s), CreatedAt: time.UnixMilli(millis)}, nil
	}
	prefix, token, ok := strings.Cut(s, "-")
	millis, err := strconv.ParseUint(prefix, 10, 48)
	// Only the shortest form of the number is valid, so that equal keys have equal texts.
	if !ok || token == "" || err != nil || strconv.FormatUint(millis, 10) != prefix {
		return Key{}, fmt.Errorf("key %q: %w", s, ErrInvalidKey)
	}
	return Key{Text: s, CreatedAt: time.UnixMilli(int64(millis))}, nil
}
