package sageplace

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzVerify checks that no forged token is accepted.
func FuzzVerify(f *testing.F) {
	s := &TokenSigner{Keys: [][]byte{[]byte("key")}}
	f.Add("", "depot", "chat-1")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "depot", "chat-1")
	f.Fuzz(func(t *testing.T, token, account, chat string) {
		_, ok := s.Verify(token, account, chat, start)
		require.False(t, ok)
	})
}
