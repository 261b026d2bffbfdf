package sageplace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// TokenSigner makes and verifies placement tokens. The caller returns the token of a response with its
// next request. It names the upstream and the cache generation that served a chat, so any VM can send
// the chat there again without stored state, and a replaced VM accepts the tokens of its predecessor.
//
// A token is an authenticated hint, not a right: the request gets the upstream only if it is still a
// candidate and under the bound.
type TokenSigner struct {
	// Keys are shared by all VMs. The first one signs and all of them verify, so that a key can be
	// replaced without losing the tokens in use. Without a key no token is made or accepted.
	Keys [][]byte
}

const (
	tokenVersion    = 1
	tokenFieldBytes = 1 + 3*8
	tokenMACBytes   = 16
	tokenBytes      = tokenFieldBytes + tokenMACBytes
)

// Sign returns a token for the chat of an account that is valid until the deadline. It returns ""
// without a key, a chat or a location.
func (s *TokenSigner) Sign(account, chat string, loc Location, deadline time.Time) string {
	if len(s.Keys) == 0 || chat == "" || loc.Upstream == 0 {
		return ""
	}
	var b [tokenBytes]byte
	b[0] = tokenVersion
	binary.BigEndian.PutUint64(b[1:], loc.Upstream)
	binary.BigEndian.PutUint64(b[9:], loc.Generation)
	binary.BigEndian.PutUint64(b[17:], uint64(deadline.UnixMilli()))
	copy(b[tokenFieldBytes:], computeMAC(s.Keys[0], b[:tokenFieldBytes], account, chat))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Verify returns the location in a token. It rejects a token that is malformed, expired, altered, or
// made for another account or chat; the request is then placed as if it had none.
func (s *TokenSigner) Verify(token, account, chat string, now time.Time) (Location, bool) {
	if len(token) != base64.RawURLEncoding.EncodedLen(tokenBytes) {
		return Location{}, false
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || b[0] != tokenVersion || !s.isSigned(b, account, chat) {
		return Location{}, false
	}
	if now.UnixMilli() >= int64(binary.BigEndian.Uint64(b[17:])) {
		return Location{}, false
	}
	return Location{Upstream: binary.BigEndian.Uint64(b[1:]), Generation: binary.BigEndian.Uint64(b[9:])}, true
}

func (s *TokenSigner) isSigned(b []byte, account, chat string) bool {
	for _, k := range s.Keys {
		if hmac.Equal(b[tokenFieldBytes:], computeMAC(k, b[:tokenFieldBytes], account, chat)) {
			return true
		}
	}
	return false
}

// computeMAC returns a MAC of the fields, the account and the chat. The account's length is included:
// otherwise account "a" with chat "bc" would have the same MAC as account "ab" with chat "c".
func computeMAC(key, fields []byte, account, chat string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("sagestand placement token"))
	m.Write(fields)
	m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(account))))
	m.Write([]byte(account))
	m.Write([]byte(chat))
	return m.Sum(nil)[:tokenMACBytes]
}
