package sagerelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a request without a place from waiting for its deadline or reaching an upstream, and its caller from being
// given any other time than that of its place.
func TestRequestWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		fleet.admit = func(*AdmitQuery) Admission {
			return Admission{RetryAt: sageclock.Now().Add(700*time.Millisecond + time.Microsecond)}
		}
		start := time.Now()
		out := fleet.call(t.Context(), nil, "body")
		require.Equal(t, 503, out.Code)
		require.Equal(t, `{"reason":"no_capacity"}`, out.Body.String())
		require.Contains(t, []string{"0.7", "0.699"}, out.Header().Get("Retry-After"))
		require.Zero(t, time.Since(start))
		require.Empty(t, fleet.sent)
	})
}

func TestAdmitQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := testRoute(sageroute.Once)
		route.Objective, route.Timeout, route.Priority = 300*time.Millisecond, 2*time.Second, 3
		fleet := newFakeFleet(t, route, map[string]upstream{"a": respond(200, sealHeader, "fine")})
		fleet.waited = 200 * time.Millisecond
		now := sageclock.Now()
		require.Equal(t, 200, fleet.call(t.Context(), map[string]string{testDeadline: "1000"}, "body").Code)
		require.Len(t, fleet.admitQueries, 1)
		q := fleet.admitQueries[0]
		require.Equal(t, "acc", q.Account)
		require.Equal(t, 3, q.Urgency)
		require.Equal(t, 200*time.Millisecond, q.Waited)
		require.InDelta(t, 100*time.Millisecond, q.Objective.Sub(now), float64(50*time.Millisecond))
		require.InDelta(t, time.Second, q.Deadline.Sub(now), float64(100*time.Millisecond))
	})
}

// Prevents complete responses, also error responses, from being left out of what upstreams are known to run.
func TestCompleteResponsesAreRuns(t *testing.T) {
	for _, tt := range []struct {
		name string
		up   upstream
		want int
	}{
		{"success", respond(200, sealHeader, "fine"), 1},
		{"error", respond(500, sealHeader, "no"), 1},
		{"declined", respond(503, testNotRun+": 1\r\n", ""), 0},
		{"without seal", respond(200, "", "who"), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": tt.up})
				fleet.call(t.Context(), nil, "body")
				require.Len(t, fleet.runs, tt.want)
			})
		})
	}
}

// Prevents a request that waits in its upstream's queue from being taken for a lost one and executed twice.
func TestFirstByteTimeoutIncludesTheQueue(t *testing.T) {
	for _, tt := range []struct {
		name  string
		queue time.Duration
		sends int
	}{{"no queue", 0, 2}, {"queue", 500 * time.Millisecond, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := testRoute(sageroute.Idempotent)
				route.Objective, route.MaxAttempts = 300*time.Millisecond, 2
				slow := delayed(400*time.Millisecond, respond(200, sealHeader, "slow"))
				fleet := newFakeFleet(t, route, map[string]upstream{"a": slow, "b": slow})
				fleet.retryBudget, fleet.queueTime = 5, tt.queue
				fleet.call(t.Context(), nil, "")
				require.Len(t, fleet.sent, tt.sends)
			})
		})
	}
}
