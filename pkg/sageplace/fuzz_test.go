package sageplace

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzOpen: no token that a caller makes up opens.
func FuzzOpen(f *testing.F) {
	s := &TokenSigner{Keys: [][]byte{[]byte("key")}}
	f.Add("", "depot", "chat-1")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "depot", "chat-1")
	f.Fuzz(func(t *testing.T, token, account, chat string) {
		_, ok := s.Verify(token, account, chat, start)
		require.False(t, ok)
	})
}
