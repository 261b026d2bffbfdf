package sagerelay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

// peer returns an upstream that hands requests to another node, which serves them for this one.
func peer(s *Service) upstream {
	return func(c net.Conn, req *http.Request) {
		rec := httptest.NewRecorder()
		aborted := false
		func() {
			defer func() { aborted = recover() != nil }()
			s.ServeRelayed(rec, req)
		}()
		res := rec.Result()
		if aborted {
			res.ContentLength = int64(rec.Body.Len()) + 1 // ends early
		}
		_ = res.Write(c) // fails only if this node has closed the connection
	}
}

// hopEnv is a node without a path and peers that have one.
type hopEnv struct {
	node  *fakeFleet
	peers map[string]*fakeFleet
}

// newHopEnv returns a node that is cut off, and peers p1 and p2 before the given upstreams.
func newHopEnv(t *testing.T, kind sageroute.Kind, upstreams1, upstreams2 map[string]upstream) *hopEnv {
	t.Helper()
	env := &hopEnv{peers: map[string]*fakeFleet{"p1": newFakeFleet(t, testRoute(kind), upstreams1), "p2": newFakeFleet(t, testRoute(kind), upstreams2)}}
	env.node = newFakeFleet(t, testRoute(kind), map[string]upstream{})
	env.node.path, env.node.helpers = sagereach.Lost, []string{"p1", "p2"}
	for n, f := range env.peers {
		env.node.upstreams[n] = peer(f.service())
	}
	return env
}

// sent returns how many requests the peers sent to upstreams.
func (env *hopEnv) sent() int { return len(env.peers["p1"].sent) + len(env.peers["p2"].sent) }

// Prevents wrong outcomes of requests that a node without a path sends over a peer.
func TestRequestsOverPeers(t *testing.T) {
	ok, declines := respond(200, sealHeader, "fine"), respond(503, testNotRun+": 1\r\n", "")
	type ups = map[string]upstream
	for _, tt := range []struct {
		name      string
		kind      sageroute.Kind
		ups1      ups
		ups2      ups
		change    func(env *hopEnv)
		status    int
		body      string
		sent      int
		refusedBy []string
	}{
		{name: "a booking is served by a peer", kind: sageroute.Once, ups1: ups{"a": ok}, status: 200, body: "fine", sent: 1},
		{name: "a busy peer is replaced", kind: sageroute.Once, ups1: ups{"a": ok}, ups2: ups{"b": ok}, change: func(env *hopEnv) { env.peers["p1"].saturated = true }, status: 200, body: "fine", sent: 1, refusedBy: []string{"p1"}},
		{name: "a peer that lost its path sends nothing on", kind: sageroute.Once, ups1: ups{"a": ok}, ups2: ups{"b": ok}, change: func(env *hopEnv) {
			env.peers["p1"].path, env.peers["p1"].helpers = sagereach.Lost, []string{"p2"}
		}, status: 200, body: "fine", sent: 1, refusedBy: []string{"p1"}},
		{name: "no peer has a path", kind: sageroute.Once, ups1: ups{"a": ok}, ups2: ups{"b": ok}, change: func(env *hopEnv) {
			env.peers["p1"].path, env.peers["p2"].path = sagereach.Lost, sagereach.Lost
		}, status: 503, body: `{"reason":"no_path"}`, refusedBy: []string{"p1", "p2"}},
		{name: "a peer can't be reached", kind: sageroute.Once, ups2: ups{"b": ok}, change: func(env *hopEnv) { env.node.stopped = []string{"p1"} }, status: 200, body: "fine", sent: 1, refusedBy: []string{"p1"}},
		{name: "a booking that the peer's upstream lost may have been executed", kind: sageroute.Once, ups1: ups{"a": crash}, ups2: ups{"b": ok}, status: 502, body: `{"reason":"answer_lost"}`, sent: 1},
		{name: "a booking is not sent again when the peer stops", kind: sageroute.Once, ups2: ups{"b": ok}, change: func(env *hopEnv) { env.node.upstreams["p1"] = crash }, status: 502, body: `{"reason":"answer_lost"}`},
		{name: "a read is sent to another peer when the first one stops", kind: sageroute.Idempotent, ups2: ups{"b": ok}, change: func(env *hopEnv) { env.node.upstreams["p1"] = crash }, status: 200, body: "fine", sent: 1},
		{name: "no read is sent again without retry budget", kind: sageroute.Idempotent, ups2: ups{"b": ok}, change: func(env *hopEnv) {
			env.node.upstreams["p1"], env.node.retryBudget = crash, 0
		}, status: 502, body: `{"reason":"answer_lost"}`},
		{name: "a request that the peer's upstreams declined is refused", kind: sageroute.Once, ups1: ups{"a": declines}, ups2: ups{"b": ok}, status: 503, body: `{"reason":"no_upstream"}`, sent: 1},
		{name: "an error response is forwarded", kind: sageroute.Once, ups1: ups{"a": respond(500, sealHeader, "no")}, ups2: ups{"b": ok}, status: 500, body: "no", sent: 1},
		{name: "a peer whose configuration doesn't have the key is replaced", kind: sageroute.Once, ups1: ups{"a": ok}, ups2: ups{"b": ok}, change: func(env *hopEnv) { env.peers["p1"].stale = true }, status: 200, body: "fine", sent: 1, refusedBy: []string{"p1"}},
		{name: "a response without seal isn't forwarded", kind: sageroute.Once, change: func(env *hopEnv) { env.node.upstreams["p1"] = respond(200, "", "who") }, status: 502, body: `{"reason":"answer_lost"}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newHopEnv(t, tt.kind, tt.ups1, tt.ups2)
				if tt.change != nil {
					tt.change(env)
				}
				out := env.node.call(t.Context(), nil, "body")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Equal(t, tt.sent, env.sent())
				require.Equal(t, tt.refusedBy, env.node.refusedBy)
				for name := range out.Header() {
					require.False(t, strings.HasPrefix(name, relayHeaderPrefix), "%s reaches the caller", name)
				}
				for _, f := range env.peers {
					require.Zero(t, f.firstSends, "the request is counted by the node that received it")
					for _, r := range f.sent {
						require.Equal(t, "acc", r.Header.Get("Test-Account"))
						require.Empty(t, r.Header.Get(testKey), "the key must not be forwarded to an upstream")
						require.Empty(t, r.Header.Get(headerRelayFrom))
						require.Equal(t, "/x?y=1", r.URL.RequestURI())
					}
				}
				require.Equal(t, 1, env.node.firstSends)
				require.Empty(t, env.node.results, "an exchange with a peer says nothing about an upstream")
				require.Empty(t, env.node.unanswered)
			})
		})
	}
}

// Prevents callers from waiting when no node reaches an upstream of the service.
func TestRequestIsRejectedImmediatelyWithoutAnyPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Once, nil, nil)
		env.node.helpers = nil
		start := time.Now()
		out := env.node.call(t.Context(), nil, "body")
		require.Equal(t, 503, out.Code)
		require.NotEmpty(t, out.Header().Get("Retry-After"))
		require.Zero(t, time.Since(start))
	})
}

// Prevents a stream from having gaps or events of two executions if the peer that forwards it stops.
func TestStreamOverPeerIsResumedOverAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Stream, nil, map[string]upstream{"b": events(3, 4, true)})
		env.node.upstreams["p1"] = events(1, 2, false)
		out := env.node.call(t.Context(), nil, "body")
		require.False(t, out.aborted)
		require.Equal(t, 1, strings.Count(out.Body.String(), "data: w3"))
		require.Equal(t, "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\nid: 3\ndata: w3\n\nid: 4\ndata: w4\n\n", out.Body.String())
		require.Equal(t, "2", env.peers["p2"].sent[0].Header.Get(testLast))
	})
}

// Prevents a request from being executed more often than its route allows, by sends before and after the hop.
func TestAttemptsBeforeTheHopCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Idempotent, map[string]upstream{"a": crash, "b": respond(200, sealHeader, "fine")}, nil)
		env.node.path, env.node.helpers = sagereach.Suspected, []string{"p1"}
		env.node.names, env.node.upstreams["u"] = []string{"u"}, crash
		out := env.node.call(t.Context(), nil, "body")
		require.Equal(t, 502, out.Code)
		require.Len(t, env.peers["p1"].sent, 1, "one attempt at this node, one over the peer")
	})
}

// Prevents requests from waiting for one upstream after the other while it isn't known yet that the path is lost.
func TestUnreachedUpstreamsLeadToPeerWhilePathIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": respond(200, sealHeader, "fine")}, nil)
		env.node.path = sagereach.Suspected
		env.node.names = []string{"u1", "u2", "u3", "u4"} // nothing listens there
		require.Equal(t, 200, env.node.call(t.Context(), nil, "body").Code)
		require.Len(t, env.node.unanswered, maxUnreached)
	})
}

// Prevents requests from being sent to peers, which refuse them, while several upstreams have crashed and others answer.
func TestCrashedUpstreamsDoNotLeadToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": respond(200, sealHeader, "by a peer")}, nil)
		env.node.path, env.node.answered = sagereach.Suspected, true
		env.node.names = []string{"u1", "u2", "u3"}
		env.node.upstreams["u3"] = respond(200, sealHeader, "by this node")
		require.Equal(t, "by this node", env.node.call(t.Context(), nil, "body").Body.String())
		env.node.reachedByOthers = true
		require.Equal(t, "by a peer", env.node.call(t.Context(), nil, "body").Body.String(), "the upstreams answer others")
	})
}

// Prevents callers from posing as a node.
func TestRelayHeadersOfCallersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		out := fleet.call(t.Context(), map[string]string{headerRelayFrom: "vm9", headerRelayVersion: "99"}, "body")
		require.Equal(t, 200, out.Code)
		require.Equal(t, 1, fleet.firstSends)
		require.Empty(t, fleet.sent[0].Header.Get(headerRelayFrom))
	})
}

// Prevents peers from taking more of a node than its own callers leave.
func TestRelayedRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(time.Second, respond(200, sealHeader, "fine"))})
		s := fleet.service()
		s.MaxRelayed = 1
		relay := func() *httptest.ResponseRecorder {
			req := httptest.NewRequest(http.MethodPost, "http://h.example/x", strings.NewReader("body"))
			for k, v := range map[string]string{testID: "id1", testKey: "good", headerRelayFrom: "vm1", headerRelayService: "s"} {
				req.Header.Set(k, v)
			}
			rec := httptest.NewRecorder()
			s.ServeRelayed(rec, req)
			return rec
		}
		first := make(chan int)
		go func() { first <- relay().Code }()
		synctest.Wait()
		out := relay()
		require.Equal(t, 503, out.Code)
		require.Equal(t, string(RelayBusy), out.Header().Get(headerRelayRefusal))
		require.Equal(t, 200, <-first)
		require.Zero(t, s.Relayed())
	})
}

// Prevents a node from sending requests to an upstream whose leave, pause or brittleness it passed on in a peer's response.
func TestAnnouncementsAreReadFromResponsesOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": respond(200, sealHeader+testLeaving+": 1\r\n"+testBrittle+": 1\r\n", "fine")}, nil)
		require.Equal(t, 200, env.node.call(t.Context(), nil, "body").Code)
		for _, f := range []*fakeFleet{env.node, env.peers["p1"]} {
			require.Equal(t, []string{"a"}, f.left)
			require.Len(t, f.maxDeclines, 1)
		}
	})
}

// Prevents a second execution of a request that a newer configuration, which the peer has already, allows to run only once.
func TestPeerDoesNotRepeatWhatItsConfigurationForbids(t *testing.T) {
	lowered := testRoute(sageroute.Idempotent)
	lowered.MaxAttempts = 1
	for name, route := range map[string]sageroute.Route{"runs once": testRoute(sageroute.Once), "one attempt": lowered} {
		for _, runs := range []string{"0", "1"} {
			t.Run(name+", ran "+runs, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFakeFleet(t, route, map[string]upstream{"a": respond(200, sealHeader, "fine")})
					req := httptest.NewRequest(http.MethodPost, "http://h.example/x", strings.NewReader("body"))
					for k, v := range map[string]string{testID: "id1", testKey: "good", headerRelayFrom: "vm1", headerRelayService: "s", headerRelayRuns: runs} {
						req.Header.Set(k, v)
					}
					rec := httptest.NewRecorder()
					fleet.service().ServeRelayed(rec, req)
					if runs == "0" {
						require.Equal(t, 200, rec.Code)
						return
					}
					require.Empty(t, fleet.sent)
					require.Equal(t, string(AnswerLost), rec.Header().Get(headerRelayRefusal))
				})
			})
		}
	}
}

// Prevents a request from running more often than its route allows when the first peer may have executed it twice.
func TestRunsOfAPeerCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := respond(200, sealHeader, "fine")
		env := newHopEnv(t, sageroute.Idempotent, map[string]upstream{"a": crash, "b": crash}, map[string]upstream{"c": ok})
		out := env.node.call(t.Context(), nil, "body")
		require.Equal(t, 2, env.sent(), "sends of a request that may run twice")
		require.Equal(t, 502, out.Code)
	})
}
