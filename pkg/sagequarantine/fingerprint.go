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

// Fingerprint identifies a request by its content and its client account. All attempts of a request have the same
// fingerprint, and requests with equal fingerprints are the same to an upstream.
type Fingerprint uint64

// digits is the length of a fingerprint's text.
const digits = 16

// FingerprintOf returns the fingerprint of a request: a hash of the client account, the method, the host with path
// and query, and the body.
//
// The hash is cryptographic, since a client that finds a collision could have another client's request refused.
func FingerprintOf(account, method, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{account, method, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a hash never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
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
