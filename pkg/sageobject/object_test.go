package sageobject

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var ctx = context.Background()

func TestMemoryChecksVersions(t *testing.T) {
	m := new(Memory)
	v, err := m.Put(ctx, "k", []byte("a"), NoVersion)
	require.NoError(t, err)
	_, err = m.Put(ctx, "k", []byte("b"), NoVersion)
	require.ErrorIs(t, err, ErrConflict)
	updated, err := m.Put(ctx, "k", []byte("b"), v)
	require.NoError(t, err)
	assert.Greater(t, updated, v)
	_, err = m.Put(ctx, "k", []byte("c"), v)
	require.ErrorIs(t, err, ErrConflict)
	require.ErrorIs(t, m.Delete(ctx, "k", v), ErrConflict)
	require.NoError(t, m.Delete(ctx, "k", updated))
	_, err = m.Get(ctx, "k")
	require.ErrorIs(t, err, ErrNotFound)
	_, err = m.Put(ctx, "k", make([]byte, MaxValueBytes+1), AnyVersion)
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a wrong result for a write that took effect but whose response was lost. "Not written"
// would let the caller repeat the write, and "conflict" would hide that the write succeeded.
func TestClientReportsUnknownOutcome(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, ErrUnknown},
		{"no version", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, ErrUnknown},
		{"outage", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, ErrUnavailable},
		{"rate limit", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, ErrUnavailable},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(412) }, ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tt.handler(w, r)
			}))
			defer srv.Close()
			c := &Client{URL: srv.URL, HTTP: srv.Client()}
			_, err := c.Put(ctx, "k", []byte("v"), 3)
			require.ErrorIs(t, err, tt.want)
			assert.EqualValues(t, 1, calls.Load(), "net/http must not repeat the request")
			_, err = c.Get(ctx, "k")
			require.Error(t, err)
			assert.NotErrorIs(t, err, ErrUnknown, "the outcome of a read is never unknown")
		})
	}
}

func ExampleMemory() {
	m := new(Memory)
	v, _ := m.Put(context.Background(), "config/head", []byte("1"), NoVersion)
	_, err := m.Put(context.Background(), "config/head", []byte("2"), v+1)
	fmt.Println(errors.Is(err, ErrConflict))
	// Output: true
}
