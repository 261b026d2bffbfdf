package sageentry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeChat checks that any input is decoded to a request with a route and a chat ID, or to a
// valid refusal.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(chatBodyText))
	f.Add([]byte(`{"model":"m","messages":[null,{}],"stream":true}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		req := &Request{Body: b}
		if ref := decodeChat(req); ref != nil {
			require.NoError(t, ref.Check())
			return
		}
		require.NotEmpty(t, req.Route)
		require.NotEmpty(t, req.ChatID)
	})
}
