package sageentry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sagewire"
)

// slowAdmission admits requests after a time.
type slowAdmission time.Duration

func (d slowAdmission) Admit(context.Context, *Request) (func(), *sagewire.Refusal) {
	time.Sleep(time.Duration(d))
	return func() {}, nil
}

// Prevents a leaving node from sending a booking that waited for admission when the stop began, and that it would abort.
func TestLeavingNodeRefusesQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}}}
		s := testService(f)
		for range 20 {
			s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-8 * time.Second)}, true)
		}
		s.Admission = slowAdmission(2 * time.Second)
		time.AfterFunc(time.Second, func() { s.setClosing(time.Now().Add(5*time.Second), time.Now().Add(10*time.Second)) })
		w := call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
		require.Empty(t, f.attempts, "sent 9 s before the stop; requests of the route take 8 s")
		require.Equal(t, 503, w.Code)
	})
}

// slowBody is a body that arrives a byte a second.
type slowBody int

func (b *slowBody) Read(p []byte) (int, error) {
	if *b == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	*b--
	return copy(p, "x"), nil
}

// Prevents a leaving node from sending a booking whose body has arrived so late that it would abort it.
func TestLeavingNodeRefusesLateBody(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bytes  slowBody
		status int
	}{{"in time", 2, 200}, {"too late to end", 4, 503}, {"after the listener closes", 7, 503}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}}}
				s := testService(f)
				for range 20 {
					s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-4 * time.Second)}, true)
				}
				time.AfterFunc(time.Second, func() { s.setClosing(time.Now().Add(5*time.Second), time.Now().Add(7500*time.Millisecond)) })
				r := httptest.NewRequest(http.MethodPost, "/v1/services/orders/x", &tt.bytes)
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set(sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, r)
				require.Equal(t, tt.status, w.Code)
				if tt.status == 503 {
					require.Empty(t, f.attempts)
					require.Equal(t, "close", w.Header().Get("Connection"))
				}
			})
		})
	}
}

// Prevents a leaving node from refusing the short requests of a route, of which one had a body that arrived slowly.
func TestSlowBodyRaisesNoEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSteps{results: []sagedispatch.Result{{Outcome: sagewire.Complete}, {Outcome: sagewire.Complete}}}
		s := testService(f)
		for range 20 {
			s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-time.Second)}, true)
		}
		send := func(bytes int) int {
			body := slowBody(bytes)
			r := httptest.NewRequest(http.MethodPost, "/v1/services/orders/x", &body)
			r.Header.Set("Authorization", "Bearer "+testKey)
			r.Header.Set(sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			return w.Code
		}
		require.Equal(t, 200, send(8))
		s.setClosing(time.Now().Add(2*time.Second), time.Now().Add(4*time.Second))
		require.Equal(t, 200, send(0))
	})
}

// slowDispatch answers attempts after a time.
type slowDispatch struct {
	*fakeSteps
	takes time.Duration
}

func (d slowDispatch) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	time.Sleep(d.takes)
	return d.fakeSteps.Do(ctx, w, a)
}

// Prevents a leaving node from sending a booking that an upstream has declined to a second one, and aborting it there.
func TestLeavingNodeRefusesDeclinedRequest(t *testing.T) {
	for _, tt := range []struct {
		name     string
		stopIn   time.Duration
		attempts int
	}{{"doesn't fit", 10 * time.Second, 1}, {"fits", 20 * time.Second, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				declined := sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonOverloaded}
				f := &fakeSteps{results: []sagedispatch.Result{declined, {Outcome: sagewire.Complete}}}
				s := testService(f)
				for range 20 {
					s.recordDuration(&Request{Route: "orders", ReadAt: time.Now().Add(-7 * time.Second)}, true)
				}
				s.Dispatch = slowDispatch{f, 5 * time.Second}
				s.setClosing(time.Now().Add(time.Second), time.Now().Add(tt.stopIn))
				w := call(s, "POST", "/v1/services/orders/x", "", sagewire.HeaderDeadline, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
				require.Len(t, f.attempts, tt.attempts)
				if tt.attempts > 1 {
					require.Equal(t, 200, w.Code)
					return
				}
				ref, err := sagewire.DecodeRefusal(w.Body.Bytes())
				require.NoError(t, err)
				require.Equal(t, sagewire.NotRun, ref.Outcome)
			})
		})
	}
}
