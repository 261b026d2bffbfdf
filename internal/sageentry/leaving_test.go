package sageentry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Prevents a leaving node from sending a booking to its upstream that its stop would abort, so that nobody knows whether it ran, and
// from refusing requests that end long before its stop because few like them are known.
func TestLeavingNodeRefusesWhatItWouldCut(t *testing.T) {
	const (
		earlier = 20
		stopIn  = 10 * time.Second
	)
	complete := sagedispatch.Result{Outcome: sagewire.Complete}
	for _, tt := range []struct {
		name     string
		run      time.Duration
		earlier  int
		deadline time.Duration
		refused  bool
	}{
		{"usual requests are too long", 9 * time.Second, earlier, time.Minute, true},
		{"usual requests are short", 7 * time.Second, earlier, time.Minute, false},
		{"the deadline is before the stop", 6 * time.Second, earlier, 9 * time.Second, false},
		{"nothing is known", 0, 0, time.Minute, false},
		{"few usual requests are short", 4 * time.Second, 8, time.Minute, false},
		{"few usual requests are too long", 9 * time.Second, 8, time.Minute, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeSteps{results: []sagedispatch.Result{complete}}
				s := testService(f)
				for range tt.earlier {
					s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-tt.run)}, true)
				}
				s.setClosing(time.Now().Add(stopIn/2), time.Now().Add(stopIn))
				w := call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, time.Now().Add(tt.deadline).Format(time.RFC3339Nano))
				if !tt.refused {
					require.Equal(t, 200, w.Code)
					require.Len(t, f.attempts, 1)
					return
				}
				require.Equal(t, 503, w.Code)
				require.Equal(t, "close", w.Header().Get("Connection"))
				ref, err := sagewire.DecodeRefusal(w.Body.Bytes())
				require.NoError(t, err)
				require.Equal(t, sagewire.NotRun, ref.Outcome)
				require.Equal(t, sagewire.ReasonLeaving, ref.Reason)
				require.Empty(t, f.attempts)
			})
		})
	}
}

// honours is a [Leaver] of a node that is named for as long.
type honours time.Duration

func (h honours) Leave(now time.Time) time.Time { return now.Add(time.Duration(h)) }

// Prevents a VM that stood still when it got SIGTERM from accepting requests that end after it is killed.
func TestLateSignalMovesNoLimit(t *testing.T) {
	const (
		within = 8 * time.Second
		stall  = 1500 * time.Millisecond
		run    = 4 * time.Second
	)
	for _, tt := range []struct {
		name         string
		recordsFirst bool // the process records its progress before it handles the signal
		stall        time.Duration
		after        time.Duration // from the signal to a request
		status       int
	}{
		{"stood still, signal first", false, stall, 3 * time.Second, 200},
		{"stood still, record first", true, stall, 3 * time.Second, 200},
		{"stood still, signal first, late", false, stall, 3200 * time.Millisecond, 503},
		{"stood still, record first, late", true, stall, 3200 * time.Millisecond, 503},
		{"ran", false, 0, 3 * time.Second, 200},
		{"ran, late", false, 0, 3200 * time.Millisecond, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}}}
				s := testService(f)
				s.Leaver, s.Stop.WithinMillis = honours(within/2), int(within/time.Millisecond)
				for range 20 {
					s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-run * 97 / 100)}, true)
				}
				s.progress.Record(time.Now())
				signal := time.Now()
				time.Sleep(tt.stall)
				if tt.recordsFirst {
					s.progress.Record(time.Now())
				}
				ctx, cancel := context.WithCancel(t.Context())
				var stopping sync.WaitGroup
				stopping.Go(func() { s.stop(new(http.Server), cancel) })
				time.Sleep(time.Until(signal.Add(tt.after)))
				status := call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano)).Code
				stopping.Wait()
				require.Equal(t, tt.status, status)
				require.NoError(t, ctx.Err())
				cancel()
			})
		})
	}
}

// noRecorder drops observations. It is safe for concurrent use.
type noRecorder struct{}

func (noRecorder) Record(Observation) {}

// Prevents a leaving node from taking a route for short whose upstreams have become slow, so that all its requests are in progress.
func TestRequestsInProgressRaiseEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}, {Outcome: sagewire.Complete}}}
		s := testService(f)
		for range 20 {
			s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-time.Second)}, true)
		}
		s.Dispatch, s.Recorder = slowDispatch{f, 20 * time.Second}, noRecorder{}
		deadline := time.Now().Add(time.Minute).Format(time.RFC3339Nano)
		var slow sync.WaitGroup
		slow.Go(func() { call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, deadline) })
		time.Sleep(11 * time.Second)
		s.setClosing(time.Now().Add(5*time.Second), time.Now().Add(10*time.Second))
		require.Equal(t, 503, call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, deadline).Code)
		slow.Wait()
	})
}

// Prevents requests whose callers gave up, or whose upstreams failed, from counting as short ones.
func TestFailedRequestsOnlyRaiseEstimate(t *testing.T) {
	s := testService(new(fakeSteps))
	now := time.Now()
	for range 20 {
		s.recordDuration(&Request{Route: "orders", ReadAt: now.Add(-time.Second)}, false)
	}
	_, known := s.estimate(now, "orders")
	require.False(t, known)
}
