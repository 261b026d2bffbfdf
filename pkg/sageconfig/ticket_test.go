package sageconfig

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const goodTicket = `{"number":7,"author":"kim","changes":[
	{"thing":{"kind":"data_centre","name":"derby"},"data_centre":{"in_service":false}},
	{"thing":{"kind":"upstream","name":"e1"},"deleted":true}]}`

func TestDecodeTicket(t *testing.T) {
	tk, err := DecodeTicket([]byte(goodTicket))
	require.NoError(t, err)
	assert.Equal(t, uint64(7), tk.Number)
	assert.Len(t, tk.Changes, 2)
	for name, bad := range map[string]string{
		"empty":         ``,
		"no number":     `{"changes":[{"thing":{"kind":"upstream","name":"e1"},"deleted":true}]}`,
		"no changes":    `{"number":1}`,
		"unknown field": `{"number":1,"colour":1,"changes":[{"thing":{"kind":"upstream","name":"e1"},"deleted":true}]}`,
		"trailing":      goodTicket + goodTicket,
		"twice":         `{"number":1,"changes":[{"thing":{"kind":"upstream","name":"a"},"deleted":true},{"thing":{"kind":"upstream","name":"a"},"deleted":true}]}`,
		"wrong field":   `{"number":1,"changes":[{"thing":{"kind":"upstream","name":"a"},"data_centre":{}}]}`,
		"two fields":    `{"number":1,"changes":[{"thing":{"kind":"data_centre","name":"a"},"data_centre":{},"order":{}}]}`,
		"no state":      `{"number":1,"changes":[{"thing":{"kind":"upstream","name":"a"}}]}`,
		"both":          `{"number":1,"changes":[{"thing":{"kind":"data_centre","name":"a"},"deleted":true,"data_centre":{}}]}`,
		"negative":      `{"number":-1,"changes":[]}`,
		"huge":          `{"number":1,"reason":"` + strings.Repeat("x", MaxTicketBytes) + `"}`,
	} {
		_, err := DecodeTicket([]byte(bad))
		assert.ErrorIs(t, err, ErrInvalidTicket, name)
	}
	for name, bad := range map[string]string{
		"upstream":       `"kind":"upstream","name":"a"},"upstream":{"kind":"engine","address":"here","data_centre":"d","max_in_flight":1}`,
		"upstream set":   `"kind":"upstream_set","name":"a"},"upstream_set":{"upstreams":["x","x"]}`,
		"client account": `"kind":"client_account","name":"a"},"client_account":{"key_sha256":"ab","weight":1}`,
		"model set":      `"kind":"model_set","name":"a"},"model_set":{"versions":[]}`,
		"order":          `"kind":"order","name":"a"},"order":{}`,
		"route":          `"kind":"route","name":"a"},"route":{"kind":"chat"}`,
	} {
		_, err := DecodeTicket([]byte(`{"number":1,"changes":[{"thing":{` + bad + `}]}`))
		assert.ErrorIs(t, err, ErrInvalidState, name)
	}
}

// The digest tells whether two submissions of a number are the same ticket, so it must survive the
// way over the wire, and differ with the content.
func TestDigest(t *testing.T) {
	a, err := DecodeTicket([]byte(goodTicket))
	require.NoError(t, err)
	b, err := json.Marshal(a)
	require.NoError(t, err)
	again, err := DecodeTicket(b)
	require.NoError(t, err)
	assert.Equal(t, a.Digest(), again.Digest())
	again.Changes[0].DataCentre.InService = true
	assert.NotEqual(t, a.Digest(), again.Digest())
}

// FuzzDecodeTicket: whatever is sent, decoding never panics, and what it accepts survives encoding
// with the same digest.
func FuzzDecodeTicket(f *testing.F) {
	f.Add([]byte(goodTicket))
	f.Add([]byte(`{"number":1,"changes":[{"thing":{"kind":"client_account","name":"a"},"client_account":{"weight":1e308}}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tk, err := DecodeTicket(b)
		if err != nil {
			return
		}
		enc, err := json.Marshal(tk)
		require.NoError(t, err)
		again, err := DecodeTicket(enc)
		if len(enc) > MaxTicketBytes {
			return // escapes may lengthen a ticket beyond the bound; the acceptor refuses it
		}
		require.NoError(t, err)
		require.Equal(t, tk.Digest(), again.Digest())
	})
}
