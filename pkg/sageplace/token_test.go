package sageplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTokenHonouredByAnyVM(t *testing.T) {
	p := Location{Upstream: Key("engine-4"), Generation: 9}
	old, now := []byte("old key"), []byte("new key")
	tok := (&TokenSigner{Keys: [][]byte{old}}).Sign("depot", "chat-1", p, start.Add(time.Hour))
	got, ok := (&TokenSigner{Keys: [][]byte{now, old}}).Verify(tok, "depot", "chat-1", start)
	require.True(t, ok, "a key under replacement still opens")
	require.Equal(t, p, got)
}

// Story: a caller copies another account's token, keeps one for a month or edits it. Believed, it
// would let callers pile chats on an engine of their choice.
func TestBadTokensSayNothing(t *testing.T) {
	s := &TokenSigner{Keys: [][]byte{[]byte("key")}}
	p := Location{Upstream: Key("engine-4"), Generation: 9}
	tok := s.Sign("ab", "c", p, start.Add(time.Hour))
	tests := []struct {
		name, token, account, chat string
		s                          *TokenSigner
		now                        time.Time
	}{
		{"expired", tok, "ab", "c", s, start.Add(time.Hour)},
		{"other chat", tok, "ab", "d", s, start},
		{"other account", tok, "xy", "c", s, start},
		{"shifted border", tok, "a", "bc", s, start},
		{"foreign key", tok, "ab", "c", &TokenSigner{Keys: [][]byte{[]byte("kez")}}, start},
		{"no key", tok, "ab", "c", &TokenSigner{}, start},
		{"empty", "", "ab", "c", s, start},
		{"cut", tok[1:], "ab", "c", s, start},
		{"longer", tok + "A", "ab", "c", s, start},
		{"not base64", "!" + tok[1:], "ab", "c", s, start},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, ok := tt.s.Verify(tt.token, tt.account, tt.chat, tt.now)
			require.False(t, ok)
		})
	}
	require.Empty(t, s.Sign("ab", "", p, start.Add(time.Hour)), "no chat, no token")
	require.Empty(t, (&TokenSigner{}).Sign("ab", "c", p, start.Add(time.Hour)), "no key, no token")
}

func TestAlteredTokenSaysNothing(t *testing.T) {
	s := &TokenSigner{Keys: [][]byte{[]byte("key")}}
	tok := s.Sign("ab", "c", Location{Upstream: 1, Generation: 2}, start.Add(time.Hour))
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(tok)
		i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		c := rapid.SampledFrom([]byte("ABCXYZabcxyz0189-_")).Draw(t, "letter")
		if b[i] == c {
			return
		}
		b[i] = c
		if _, ok := s.Verify(string(b), "ab", "c", start); ok {
			t.Fatalf("believed %s", b)
		}
	})
}
