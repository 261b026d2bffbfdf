package sageplace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// TokenSigner makes and opens placement tokens. A token rides with the caller: it names the upstream and
// the cache generation that served a chat, so any VM can send the chat there again without any VM
// remembering it. Opening needs no state, so a replaced VM opens the tokens of the one before.
//
// A token is a hint under authentication, not a right: whoever holds one gets the upstream only if
// it is still a candidate and under the bound.
type TokenSigner struct {
	// Keys are shared by all VMs. The first one seals, all of them open, so that a key can be
	// replaced without losing the tokens under way. Without a key no token is made or believed.
	Keys [][]byte
}

const (
	tokenVersion = 1
	tokenFields  = 1 + 3*8
	tokenMAC     = 16
	tokenBytes   = tokenFields + tokenMAC
)

// Seal returns a token for the chat of an account that holds until the deadline, or "".
func (s *TokenSigner) Sign(account, chat string, p Location, deadline time.Time) string {
	if len(s.Keys) == 0 || chat == "" || p.Upstream == 0 {
		return ""
	}
	var b [tokenBytes]byte
	b[0] = tokenVersion
	binary.BigEndian.PutUint64(b[1:], p.Upstream)
	binary.BigEndian.PutUint64(b[9:], p.Generation)
	binary.BigEndian.PutUint64(b[17:], uint64(deadline.UnixMilli()))
	copy(b[tokenFields:], seal(s.Keys[0], b[:tokenFields], account, chat))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Open returns the place that a token names. A token that is malformed, expired, altered, or made for
// another account or chat says nothing: the request is placed as if it had none.
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
		if hmac.Equal(b[tokenFields:], seal(k, b[:tokenFields], account, chat)) {
			return true
		}
	}
	return false
}

// seal binds the fields to account and chat. The account's length goes in before it: otherwise
// account "a" with chat "bc" would pass for account "ab" with chat "c".
func seal(key, fields []byte, account, chat string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("sagestand placement token"))
	m.Write(fields)
	m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(account))))
	m.Write([]byte(account))
	m.Write([]byte(chat))
	return m.Sum(nil)[:tokenMAC]
}
