package sagerelay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

func TestByteBudget(t *testing.T) {
	var b byteBudget
	require.True(t, b.tryReserve(500, 100), "nothing else is reserved")
	require.False(t, b.tryReserve(1, 100))
	require.True(t, b.tryReserve(1, 0), "no limit")
	b.release(501)
	require.Zero(t, b.inUse())
}

// Prevents responses that each hold a part of their space from waiting for one another until their deadlines.
func TestReservationsDontDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b byteBudget
		done := make(chan error, 3)
		for range 3 {
			go func() {
				r := &reservation{budget: &b}
				defer r.release()
				for range 10 {
					if err := r.grow(t.Context(), 10, 100); err != nil {
						done <- err
						return
					}
					time.Sleep(time.Millisecond)
				}
				done <- nil
			}()
		}
		for range 3 {
			require.NoError(t, <-done)
		}
		require.Zero(t, b.inUse())
	})
}

// Prevents more than one response from exceeding the limit.
func TestOneReservationBeyondLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b byteBudget
		require.True(t, b.tryReserve(100, 100))
		first, second := &reservation{budget: &b}, &reservation{budget: &b}
		require.NoError(t, first.grow(t.Context(), 50, 100))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, second.grow(ctx, 50, 100), errNoBuffer)
		require.Equal(t, int64(150), b.inUse())
		time.AfterFunc(time.Second, first.release)
		require.NoError(t, second.grow(t.Context(), 50, 100))
	})
}

// Prevents the responses to relayed requests, and their bodies, from taking the buffer that a node's own callers need.
func TestRelayedRequestsTakeHalfOfTheBuffer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		relayed  bool
		buffered int64
		status   int
	}{
		{"own, within the limit", false, 150, 200},
		{"own, beyond the limit", false, 151, 503},
		{"relayed, within half of it", true, 50, 200},
		{"relayed, beyond half of it", true, 51, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "")})
				s := f.service()
				s.MaxBufferedBytes = 200
				require.True(t, s.buffers.tryReserve(tt.buffered, 0))
				req, rec := testRequest(t.Context(), nil, strings.Repeat("x", 50)), httptest.NewRecorder()
				if tt.relayed {
					req.Header.Set(headerRelayFrom, "vm2")
					req.Header.Set(headerRelayService, "s")
					s.ServeRelayed(rec, req)
				} else {
					s.ServeHTTP(rec, req)
				}
				require.Equal(t, tt.status, rec.Code)
			})
		})
	}
}
