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

func TestMemoryComparesVersions(t *testing.T) {
	m := new(Memory)
	v, err := m.Put(ctx, "k", []byte("a"), NoVersion)
	require.NoError(t, err)
	_, err = m.Put(ctx, "k", []byte("b"), NoVersion)
	require.ErrorIs(t, err, ErrConflict)
	w, err := m.Put(ctx, "k", []byte("b"), v)
	require.NoError(t, err)
	assert.Greater(t, w, v)
	_, err = m.Put(ctx, "k", []byte("c"), v)
	require.ErrorIs(t, err, ErrConflict)
	require.ErrorIs(t, m.Delete(ctx, "k", v), ErrConflict)
	require.NoError(t, m.Delete(ctx, "k", w))
	_, err = m.Get(ctx, "k")
	require.ErrorIs(t, err, ErrNotFound)
	_, err = m.Put(ctx, "k", make([]byte, MaxValueBytes+1), AnyVersion)
	require.ErrorIs(t, err, ErrTooLarge)
}

// A write takes effect and its answer is lost. The client must say that it doesn't know: "not
// written" would let its user write the same thing again, and "conflict" would hide its own success.
func TestClientTellsLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   error
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
				tt.answer(w, r)
			}))
			defer srv.Close()
			c := &Client{URL: srv.URL, HTTP: srv.Client()}
			_, err := c.Put(ctx, "k", []byte("v"), 3)
			require.ErrorIs(t, err, tt.want)
			assert.EqualValues(t, 1, calls.Load(), "net/http sends it once")
			_, err = c.Get(ctx, "k")
			require.Error(t, err)
			assert.NotErrorIs(t, err, ErrUnknown, "a read is never unknown")
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
