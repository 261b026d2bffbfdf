package sageorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies a stream within its client account. A caller can't make the key of another account's stream.
type Key [16]byte

// KeyOf returns the key of the stream whose first event came in an attempt of an account.
func KeyOf(account, attemptID string) Key {
	b := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(account)))
	b = append(append(b, account...), attemptID...)
	sum := sha256.Sum256(b)
	return Key(sum[:])
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// hash returns the part of the key that ranks holders.
func (k Key) hash() uint64 { return binary.LittleEndian.Uint64(k[:8]) }
