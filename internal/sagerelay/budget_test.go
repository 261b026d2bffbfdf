package sagerelay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
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

// Prevents responses that wait for space of large ones from taking what other responses need.
func TestTooManyWaitingResponsesAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, usual, waiting = 1000, 10, 30
		var b byteBudget
		first := &reservation{budget: &b, upstream: "faulty", usual: usual, most: limit / largeDivisor}
		first.recordOversized()
		first.recordOversized()
		require.NoError(t, first.grow(t.Context(), usual+1, limit))
		ended := make(chan error, 2*waiting)
		for range waiting {
			go func() {
				r := &reservation{budget: &b, upstream: "faulty", usual: usual, most: limit / largeDivisor}
				defer r.release()
				ended <- r.grow(t.Context(), usual, limit)
				ended <- r.grow(t.Context(), 1, limit)
			}()
		}
		synctest.Wait()
		require.Equal(t, int64(limit/largeDivisor+limit/waitingDivisor/usual*usual), b.inUse())
		require.Len(t, ended, 2*waiting-limit/waitingDivisor/usual)
		refused := 0
		for range len(ended) {
			if errors.Is(<-ended, errNoBuffer) {
				refused++
			}
		}
		require.Equal(t, waiting-limit/waitingDivisor/usual, refused)
		sound := &reservation{budget: &b, upstream: "sound", usual: usual, most: limit / largeDivisor}
		sound.recordOversized()
		require.NoError(t, sound.grow(t.Context(), usual, limit))
		time.AfterFunc(time.Second, first.release)
		require.NoError(t, sound.grow(t.Context(), 1, limit), "before those of the upstream that sent more oversized ones")
		require.Equal(t, int64(limit/largeDivisor), sound.reserved)
		sound.complete()
		require.Equal(t, int64(usual+1), sound.reserved, "it keeps what it fills")
		sound.release()
		synctest.Wait()
		require.Zero(t, b.inUse())
	})
}

// Prevents responses of usual size from taking the space that the bodies of requests need.
func TestResponsesLeaveSpaceForRequests(t *testing.T) {
	const limit = 1000
	var b byteBudget
	for range limit {
		freed, err := (&reservation{budget: &b}).tryGrow(10, limit)
		require.NoError(t, err)
		if freed != nil {
			break
		}
	}
	require.True(t, b.tryReserve(limit/responseDivisor-10, limit), "%d bytes in use", b.inUse())
}

// Prevents what a route's responses usually take from being counted as large.
func TestUsualSizeOfResponses(t *testing.T) {
	var s responseSizes
	require.EqualValues(t, minUsualBytes, s.usual("r"))
	for range 100 {
		s.record("r", 100_000)
	}
	require.Greater(t, s.usual("r"), int64(400_000))
	require.EqualValues(t, minUsualBytes, s.usual("other"))
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

// Prevents a large response that a peer's request waits for from holding up one of an own request that fits.
func TestRelayedResponsesDoNotHoldUpOwn(t *testing.T) {
	const limit, mb = 34 << 20, 1 << 20
	var b byteBudget
	b.oversized = map[string]int{"u": 1}
	newReservation := func() *reservation { return &reservation{budget: &b, upstream: "u", usual: 16 << 10, most: 4*mb + 1} }
	first, relayed, own := newReservation(), newReservation(), newReservation()
	grow := func(r *reservation, limit int64) bool {
		freed, err := r.tryGrow(32<<10, limit)
		require.NoError(t, err)
		return freed == nil
	}
	require.True(t, grow(first, limit))
	require.False(t, grow(relayed, limit/2))
	require.True(t, grow(own, limit), "fits: %d MiB of %d", b.used/mb, limit/mb)
}
