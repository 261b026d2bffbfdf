package sagequarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// ErrFingerprint is returned for text that is not a fingerprint.
var ErrFingerprint = errors.New("fingerprint is not 16 hexadecimal digits")

// Fingerprint identifies a suspect. It is a cryptographic hash, since a client that finds a collision could have requests
// of another one refused.
type Fingerprint uint64

// digits is the length of a fingerprint's text.
const digits = 16

// partMarker separates the hashes of parts from those of requests, which begin with the length of an account's name.
const partMarker = ^uint64(0)

// FingerprintOf returns the fingerprint of a request: a hash of the client account, the method, the host with path
// and query, and the body. All attempts of a request have the same fingerprint.
func FingerprintOf(account, method, target string, body []byte) Fingerprint {
	return hashOf(nil, body, account, method, target)
}

// hashOf hashes a prefix, the strings with their lengths, and a tail.
func hashOf(prefix, tail []byte, fields ...string) Fingerprint {
	h := sha256.New()
	_, _ = h.Write(prefix) // a hash never fails
	var length [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(f))
	}
	_, _ = h.Write(tail)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// ParseFingerprint reads the text of a fingerprint.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != digits {
		return 0, fmt.Errorf("%q: %w", s, ErrFingerprint)
	}
	return Fingerprint(n), nil
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
