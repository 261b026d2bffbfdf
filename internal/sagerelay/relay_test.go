package sagerelay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageroute"
)

func TestResponses(t *testing.T) {
	ok := respond(200, sealHeader, "fine")
	for _, tt := range []struct {
		name   string
		kind   sageroute.Kind
		ups    map[string]upstream
		status int
		body   string
		sends  int
	}{
		// The upstream crashed after it had read the booking. Sent to another upstream, the booking
		// would be made twice; the same happens if a refusal says that it was not executed and the caller
		// repeats it.
		{"a booking that may have been executed is not sent again", sageroute.Once, map[string]upstream{"a": crash, "b": ok}, 502, `{"reason":"answer_lost"}`, 1},
		{"a declined booking is sent to another upstream", sageroute.Once, map[string]upstream{"a": respond(503, testNotRun+": 1\r\n", ""), "b": ok}, 200, "fine", 2},
		{"a misdirected booking is sent to another upstream", sageroute.Once, map[string]upstream{"a": respond(421, "", ""), "b": ok}, 200, "fine", 2},
		{"a booking that all upstreams declined is refused", sageroute.Once, map[string]upstream{"a": respond(503, testNotRun+": 1\r\n", "")}, 503, `{"reason":"no_upstream"}`, 1},
		{"a booking that was declined and then lost may have been executed", sageroute.Once, map[string]upstream{"a": respond(503, testNotRun+": 1\r\n", ""), "b": crash}, 502, `{"reason":"answer_lost"}`, 2},
		{"the error response to a booking is forwarded", sageroute.Once, map[string]upstream{"a": respond(500, sealHeader, "no"), "b": ok}, 500, "no", 1},
		{"a read is sent to another upstream after a crash", sageroute.Idempotent, map[string]upstream{"a": crash, "b": ok}, 200, "fine", 2},
		{"a read is sent to another upstream after an error response", sageroute.Idempotent, map[string]upstream{"a": respond(500, sealHeader, "no"), "b": ok}, 200, "fine", 2},
		{"the last error response is forwarded when all attempts of a read fail", sageroute.Idempotent, map[string]upstream{"a": respond(500, sealHeader, "no"), "b": respond(500, sealHeader, "no2"), "c": ok}, 500, "no2", 2},
		{"a read is sent again when the response belongs to another request", sageroute.Idempotent, map[string]upstream{"a": respondWithOtherID, "b": ok}, 200, "fine", 2},
		{"a response without seal isn't forwarded", sageroute.Once, map[string]upstream{"a": respond(200, "", "who")}, 502, `{"reason":"answer_lost"}`, 1},
		{"no upstream", sageroute.Once, map[string]upstream{}, 503, `{"reason":"no_upstream"}`, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(tt.kind), tt.ups)
				out := fleet.call(t.Context(), nil, "body")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Len(t, fleet.sent, tt.sends)
				for _, r := range fleet.sent {
					require.Equal(t, "acc", r.Header.Get("Test-Account"))
					require.Empty(t, r.Header.Get(testKey), "the key must not be forwarded")
					require.Equal(t, "/x?y=1", r.URL.RequestURI())
				}
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name       string
		change     func(fleet *fakeFleet)
		header     map[string]string
		body       string
		status     int
		retryAfter string
	}{
		{"no configuration yet", func(fleet *fakeFleet) { fleet.table = nil }, nil, "", 503, "0.3"},
		// The key may have been revoked while this node can't reach the store.
		{"not fresh enough to trust a key", func(fleet *fakeFleet) { fleet.stale = true }, nil, "", 503, "0.3"},
		{"unknown key", func(*fakeFleet) {}, map[string]string{testKey: "bad"}, "", 401, ""},
		{"no key", func(*fakeFleet) {}, map[string]string{testKey: ""}, "", 401, ""},
		{"too large", func(*fakeFleet) {}, nil, strings.Repeat("x", 101), 413, ""},
		// The node is paused between its check of the key and the send.
		{"freshness lost before the send", func(fleet *fakeFleet) { fleet.beforePick = func() { fleet.stale = true } }, nil, "", 503, "0.3"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
				tt.change(fleet)
				out := fleet.call(t.Context(), tt.header, tt.body)
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.retryAfter, out.Header().Get("Retry-After"))
				require.Empty(t, fleet.sent)
			})
		})
	}
}

// An engine crashes in the middle of a chat. The rest of the stream must come from another engine,
// start after the last event that the caller has, and keep the headers of the first response.
func TestBrokenStreamIsResumedAtAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Stream), map[string]upstream{"a": events(1, 3, false), "b": events(3, 5, true)})
		out := fleet.call(t.Context(), nil, "")
		require.False(t, out.aborted)
		require.Equal(t, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\nid: 4\ndata: w4\n\nid: 5\ndata: w5\n\n", out.Body.String())
		require.Equal(t, "from-1", out.Header().Get(testSeal))
		require.Equal(t, "3", fleet.sent[1].Header.Get(testLast))
	})
}

func TestIncompleteStreamIsAborted(t *testing.T) {
	notResumable := testRoute(sageroute.Stream)
	notResumable.Resumable = false
	for _, tt := range []struct {
		name  string
		route sageroute.Route
		ups   map[string]upstream
		want  string
	}{
		{"truncated, not resumable", notResumable, map[string]upstream{"a": events(1, 2, false), "b": events(3, 4, true)}, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"},
		{"missing event", testRoute(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": events(3, 4, true)}, "id: 1\ndata: w1\n\n"},
		// The second engine answers the resumed request with a plain response.
		{"plain response to a resumed stream", testRoute(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": respond(200, sealHeader, "page")}, "id: 1\ndata: w1\n\n"},
		{"truncated twice", testRoute(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": events(2, 2, false), "c": events(3, 3, true)}, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := newFakeFleet(t, tt.route, tt.ups).call(t.Context(), nil, "")
				require.True(t, out.aborted)
				require.Equal(t, tt.want, out.Body.String())
			})
		})
	}
}

// Without a stall timeout, a read would wait until its deadline for an engine that accepted it and
// doesn't respond.
func TestStalledUpstreamIsReplacedAfterStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		out := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": stalled, "b": respond(200, sealHeader, "fine")}).call(t.Context(), nil, "")
		require.Equal(t, 200, out.Code)
		require.Equal(t, minStallTimeout, time.Since(start))
	})
}

// A prompt of 30,000 tokens takes longer to prefill than the first-byte objective. If each engine
// were cancelled during prefill, the prompt would never be cached.
func TestLongPromptIsPrefilledCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRoute(sageroute.Stream)
		r.Objective = time.Second
		fleet := newFakeFleet(t, r, map[string]upstream{"a": delayed(1500*time.Millisecond, events(1, 2, true)), "b": events(1, 2, true)})
		out := fleet.call(t.Context(), map[string]string{testTokens: "30000"}, "")
		require.Equal(t, 200, out.Code)
		require.Len(t, fleet.sent, 1)
	})
}

// All upstreams are slow and the fleet's retry budget is used up. A request that can't be sent again
// must not be cancelled, since a late response is still to come.
func TestLateResponseIsForwardedWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": delayed(time.Second, respond(200, sealHeader, "late")), "b": respond(200, sealHeader, "fine")})
		fleet.retryBudget = 0
		out := fleet.call(t.Context(), nil, "")
		require.Equal(t, "late", out.Body.String())
		require.Len(t, fleet.sent, 1)
	})
}

// A caller must not wait longer than its route allows, nor get a response after its deadline.
func TestFinalResponseAtDeadline(t *testing.T) {
	for _, tt := range []struct {
		name   string
		header map[string]string
		want   time.Duration
	}{
		{"the route's timeout", nil, 4 * time.Second},
		{"the caller's deadline", map[string]string{testDeadline: "1500"}, 1500 * time.Millisecond},
		{"a deadline beyond the timeout", map[string]string{testDeadline: "9000"}, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				out := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": stalled}).call(t.Context(), tt.header, "")
				require.Equal(t, http.StatusGatewayTimeout, out.Code)
				require.Equal(t, tt.want, time.Since(start))
			})
		})
	}
}

// An engine must not continue to work for a caller that has disconnected.
func TestDisconnectedCallerCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		up := func(c net.Conn, r *http.Request) { stalled(c, r); ended <- time.Now() }
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		start := time.Now()
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": up, "b": up})
		out := fleet.call(ctx, nil, "")
		require.True(t, out.aborted)
		require.Equal(t, 700*time.Millisecond, (<-ended).Sub(start))
		require.Len(t, fleet.sent, 1)
	})
}

// Many large bodies at the same time must not exhaust the node's memory.
func TestBufferedBodiesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(time.Second, respond(200, sealHeader, "fine"))})
		s := fleet.service()
		s.MaxBufferedBytes = 100
		first := make(chan callerResult)
		go func() { first <- fleet.callOn(t.Context(), s, nil, strings.Repeat("x", 60)) }()
		synctest.Wait()
		out := fleet.callOn(t.Context(), s, nil, strings.Repeat("x", 60))
		require.Equal(t, 503, out.Code)
		require.Equal(t, "0.3", out.Header().Get("Retry-After"))
		require.Equal(t, 200, (<-first).Code)
		require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, strings.Repeat("x", 60)).Code, "the buffer space is released")
	})
}

// Rollouts judge versions by these reports: a bad version passes if its responses or crashes are not
// reported correctly.
func TestResponsesAreRecorded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		kind   sageroute.Kind
		up     upstream
		failed []bool
	}{
		{"plain response", sageroute.Idempotent, respond(200, sealHeader, "ok"), []bool{false}},
		{"error response", sageroute.Once, respond(500, sealHeader, "no"), []bool{true}},
		{"stream", sageroute.Stream, events(1, 3, true), []bool{false}},
		{"stalled upstream, then another one", sageroute.Idempotent, stalled, []bool{true, false}},
		{"crash", sageroute.Once, crash, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fleet := newFakeFleet(t, testRoute(tt.kind), map[string]upstream{"a": tt.up, "b": respond(200, sealHeader, "ok")})
			fleet.call(t.Context(), nil, "")
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			var failed []bool
			for _, a := range fleet.responses {
				require.Equal(t, "r", a.route)
				failed = append(failed, a.Failed)
			}
			require.Equal(t, tt.failed, failed)
		})
	}
}

// An upstream announces that it leaves in whatever it answers, also if the response is dropped. Only a response of
// another upstream, which has taken over the address, says nothing about it.
func TestLeaveIsReadFromAnyResponse(t *testing.T) {
	const leaving = testLeaving + ": 1\r\n"
	for _, tt := range []struct {
		name string
		up   upstream
		want []string
	}{
		{"success", respond(200, sealHeader+leaving, "fine"), []string{"a"}},
		{"not announced", respond(200, sealHeader, "fine"), nil},
		{"error", respond(500, sealHeader+leaving, "no"), []string{"a"}},
		{"declined", respond(503, testNotRun+": 1\r\n"+leaving, ""), []string{"a"}},
		{"without seal", respond(200, leaving, "who"), []string{"a"}},
		{"misdirected", respond(421, leaving, ""), nil},
		{"cut off", func(c net.Conn, _ *http.Request) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + sealHeader + leaving + "Content-Length: 9\r\n\r\nhalf"))
		}, []string{"a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": tt.up})
				fleet.call(t.Context(), nil, "body")
				require.Equal(t, tt.want, fleet.left)
			})
		})
	}
}

// A pause must be known before the request is sent to another upstream, and a response of another upstream says
// nothing about the one that was asked.
func TestPauseIsReadFromAnyResponse(t *testing.T) {
	const pause = testPause + ": 1m\r\n"
	for _, tt := range []struct {
		name     string
		up       upstream
		paused   bool
		declined []string
	}{
		{"declined", respond(503, testNotRun+": 1\r\n"+pause, ""), true, nil},
		{"declined without a pause", respond(503, testNotRun+": 1\r\n", ""), false, []string{"a"}},
		{"declined because of a rate limit", respond(429, testNotRun+": 1\r\n", ""), false, []string{"a"}},
		{"declined because of the request", respond(400, testNotRun+": 1\r\n", ""), false, nil},
		{"error", respond(503, sealHeader+pause, "no"), true, nil},
		{"without seal", respond(503, pause, "who"), true, nil},
		{"misdirected", respond(421, pause, ""), false, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": tt.up, "b": respond(200, sealHeader, "fine")})
				require.Equal(t, 200, fleet.call(t.Context(), nil, "body").Code)
				require.Equal(t, tt.declined, fleet.declined)
				require.Equal(t, tt.paused, fleet.pauses.PausedUntil(sageclock.Now(), "a") != 0)
			})
		})
	}
}

// All upstreams are paused. The caller must be refused at once, and not be asked to return before the first pause ends
// or together with all others.
func TestRefusalNamesEndOfFirstPause(t *testing.T) {
	fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{})
	fleet.allPausedUntil = sageclock.Now().Add(time.Minute)
	out := fleet.call(t.Context(), nil, "body")
	require.Equal(t, 503, out.Code)
	require.Equal(t, `{"reason":"upstreams_paused"}`, out.Body.String())
	seconds, err := strconv.ParseFloat(out.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, sageclock.Now().Add(time.Duration(seconds*float64(time.Second))), fleet.allPausedUntil)
	require.LessOrEqual(t, seconds, 60.001+maxReturnSpread.Seconds())
	require.Empty(t, fleet.sent)
	returns := make(map[string]bool)
	for range 20 {
		returns[fleet.call(t.Context(), nil, "body").Header().Get("Retry-After")] = true
	}
	require.Greater(t, len(returns), 5)
}
