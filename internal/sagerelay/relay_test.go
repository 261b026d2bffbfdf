package sagerelay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

func TestAnswers(t *testing.T) {
	ok := reply(200, seal, "fine")
	for _, tt := range []struct {
		name   string
		kind   sageroute.Kind
		ups    map[string]upstream
		status int
		body   string
		sends  int
	}{
		// A booking is made twice: its upstream crashed after it had read the request, and the
		// request went to another one. Or its caller is told that it did not run, and repeats it.
		{"a booking that may have run is never sent again", sageroute.Once, map[string]upstream{"a": crash, "b": ok}, 502, `{"reason":"answer_lost"}`, 1},
		{"a booking that was declined goes elsewhere", sageroute.Once, map[string]upstream{"a": reply(503, testNotRun+": 1\r\n", ""), "b": ok}, 200, "fine", 2},
		{"a booking whose address is another's goes elsewhere", sageroute.Once, map[string]upstream{"a": reply(421, "", ""), "b": ok}, 200, "fine", 2},
		{"a booking declined by all is truthfully refused", sageroute.Once, map[string]upstream{"a": reply(503, testNotRun+": 1\r\n", "")}, 503, `{"reason":"no_upstream"}`, 1},
		{"declined once, then lost, may have run", sageroute.Once, map[string]upstream{"a": reply(503, testNotRun+": 1\r\n", ""), "b": crash}, 502, `{"reason":"answer_lost"}`, 2},
		{"a booking's own failure is passed on", sageroute.Once, map[string]upstream{"a": reply(500, seal, "no"), "b": ok}, 500, "no", 1},
		{"a read goes elsewhere after a crash", sageroute.Idempotent, map[string]upstream{"a": crash, "b": ok}, 200, "fine", 2},
		{"a read goes elsewhere after a failure", sageroute.Idempotent, map[string]upstream{"a": reply(500, seal, "no"), "b": ok}, 200, "fine", 2},
		{"a read that all fail gets the upstream's failure", sageroute.Idempotent, map[string]upstream{"a": reply(500, seal, "no"), "b": reply(500, seal, "no2"), "c": ok}, 500, "no2", 2},
		{"a read is sent again when its answer is another's", sageroute.Idempotent, map[string]upstream{"a": foreign, "b": ok}, 200, "fine", 2},
		{"an answer without seal isn't passed on", sageroute.Once, map[string]upstream{"a": reply(200, "", "who")}, 502, `{"reason":"answer_lost"}`, 1},
		{"nobody there", sageroute.Once, map[string]upstream{}, 503, `{"reason":"no_upstream"}`, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, route(tt.kind), tt.ups)
				out := w.call(t.Context(), nil, "body")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Len(t, w.sent, tt.sends)
				for _, r := range w.sent {
					require.Equal(t, "acc", r.Header.Get("Test-Account"))
					require.Empty(t, r.Header.Get(testKey), "the key stays here")
					require.Equal(t, "/x?y=1", r.URL.RequestURI())
				}
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(w *world)
		header map[string]string
		body   string
		status int
		back   string
	}{
		{"no configuration yet", func(w *world) { w.table = nil }, nil, "", 503, "0.3"},
		// A key was taken away and goes on working: this node is cut off from the store.
		{"not fresh enough to trust a key", func(w *world) { w.unfresh = true }, nil, "", 503, "0.3"},
		{"unknown key", func(*world) {}, map[string]string{testKey: "bad"}, "", 401, ""},
		{"no key", func(*world) {}, map[string]string{testKey: ""}, "", 401, ""},
		{"too large", func(*world) {}, nil, strings.Repeat("x", 101), 413, ""},
		// The node is frozen between its check of the key and the send.
		{"freshness lost before the send", func(w *world) { w.picks = func() { w.unfresh = true } }, nil, "", 503, "0.3"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": reply(200, seal, "fine")})
				tt.change(w)
				out := w.call(t.Context(), tt.header, tt.body)
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.back, out.Header().Get("Retry-After"))
				require.Empty(t, w.sent)
			})
		})
	}
}

// A chat's words are missing or come twice after its engine crashed: the rest has to come from
// another engine, behind the last event that the caller has, under the headers of the first.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Stream), map[string]upstream{"a": events(1, 3, false), "b": events(3, 5, true)})
		out := w.call(t.Context(), nil, "")
		require.False(t, out.broken)
		require.Equal(t, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\nid: 4\ndata: w4\n\nid: 5\ndata: w5\n\n", out.Body.String())
		require.Equal(t, "from-1", out.Header().Get(testSeal))
		require.Equal(t, "3", w.sent[1].Header.Get(testLast))
	})
}

func TestStreamsThatCannotBeCompletedDoNotLookFinished(t *testing.T) {
	once := route(sageroute.Stream)
	once.Resumable = false
	for _, tt := range []struct {
		name  string
		route sageroute.Route
		ups   map[string]upstream
		want  string
	}{
		{"cut, not resumable", once, map[string]upstream{"a": events(1, 2, false), "b": events(3, 4, true)}, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"},
		{"a gap", route(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": events(3, 4, true)}, "id: 1\ndata: w1\n\n"},
		// The second engine answers the request to go on with a page, which lands in the caller's stream.
		{"a plain answer in the middle", route(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": reply(200, seal, "page")}, "id: 1\ndata: w1\n\n"},
		{"cut twice", route(sageroute.Stream), map[string]upstream{"a": events(1, 1, false), "b": events(2, 2, false), "c": events(3, 3, true)}, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := newWorld(t, tt.route, tt.ups).call(t.Context(), nil, "")
				require.True(t, out.broken)
				require.Equal(t, tt.want, out.Body.String())
			})
		})
	}
}

// A read waits for its whole deadline at an engine that took it and says nothing.
func TestSilentUpstreamIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		out := newWorld(t, route(sageroute.Idempotent), map[string]upstream{"a": silent, "b": reply(200, seal, "fine")}).call(t.Context(), nil, "")
		require.Equal(t, 200, out.Code)
		require.Equal(t, silentLeast, time.Since(began))
	})
}

// A prompt of 30,000 tokens is given up by engine after engine while they read it, and never cached.
func TestLongPromptIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := route(sageroute.Stream)
		r.Objective = time.Second
		w := newWorld(t, r, map[string]upstream{"a": after(1500*time.Millisecond, events(1, 2, true)), "b": events(1, 2, true)})
		out := w.call(t.Context(), map[string]string{testTokens: "30000"}, "")
		require.Equal(t, 200, out.Code)
		require.Len(t, w.sent, 1)
	})
}

// All upstreams are slow, the fleet's retries are used up, and a node gives requests up that it may
// not send again: a late answer would have come.
func TestWithoutRetryALateAnswerIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Idempotent), map[string]upstream{"a": after(time.Second, reply(200, seal, "late")), "b": reply(200, seal, "fine")})
		w.budget = 0
		out := w.call(t.Context(), nil, "")
		require.Equal(t, "late", out.Body.String())
		require.Len(t, w.sent, 1)
	})
}

// A caller waits longer than its route allows, or is answered after it has gone.
func TestFinalAnswerComesAtTheDeadline(t *testing.T) {
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
				began := time.Now()
				out := newWorld(t, route(sageroute.Once), map[string]upstream{"a": silent}).call(t.Context(), tt.header, "")
				require.Equal(t, http.StatusGatewayTimeout, out.Code)
				require.Equal(t, tt.want, time.Since(began))
			})
		})
	}
}

// An engine works on for a caller that has left.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		up := func(c net.Conn, r *http.Request) { silent(c, r); ended <- time.Now() }
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		began := time.Now()
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": up, "b": up})
		out := w.call(ctx, nil, "")
		require.True(t, out.broken)
		require.Equal(t, 700*time.Millisecond, (<-ended).Sub(began))
		require.Len(t, w.sent, 1)
	})
}

// Callers send many large bodies at once, and the node ends for lack of memory.
func TestBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": after(time.Second, reply(200, seal, "fine"))})
		s := w.service()
		s.MaxBufferedBytes = 100
		first := make(chan outcome)
		go func() { first <- w.callOn(t.Context(), s, nil, strings.Repeat("x", 60)) }()
		synctest.Wait()
		out := w.callOn(t.Context(), s, nil, strings.Repeat("x", 60))
		require.Equal(t, 503, out.Code)
		require.Equal(t, "0.3", out.Header().Get("Retry-After"))
		require.Equal(t, 200, (<-first).Code)
		require.Equal(t, 200, w.callOn(t.Context(), s, nil, strings.Repeat("x", 60)).Code, "the memory is free again")
	})
}

// Guards against bad versions that pass for good ones because answers aren't reported, or crashes are.
func TestAnswersAreReportedToTheFleet(t *testing.T) {
	for _, tt := range []struct {
		name   string
		kind   sageroute.Kind
		up     upstream
		failed []bool
	}{
		{"plain", sageroute.Idempotent, reply(200, seal, "ok"), []bool{false}},
		{"failure", sageroute.Once, reply(500, seal, "no"), []bool{true}},
		{"stream", sageroute.Stream, events(1, 3, true), []bool{false}},
		{"silence, then the other one", sageroute.Idempotent, silent, []bool{true, false}},
		{"crash", sageroute.Once, crash, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newWorld(t, route(tt.kind), map[string]upstream{"a": tt.up, "b": reply(200, seal, "ok")})
			f.call(t.Context(), nil, "")
			f.mu.Lock()
			defer f.mu.Unlock()
			var failed []bool
			for _, a := range f.answers {
				require.Equal(t, "r", a.route)
				failed = append(failed, a.Failed)
			}
			require.Equal(t, tt.failed, failed)
		})
	}
}
