package sagerelay

import (
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// usualRequests is a number of requests after which a node knows how long those of a route take.
const usualRequests = 20

// leavingNode returns a service whose node stops accepting requests after closeIn and aborts them after cutIn. leave has it
// leave.
func leavingNode(f *fakeFleet, closeIn, cutIn time.Duration) (s *Service, leave func()) {
	s, stop := stoppableService(f)
	return s, func() { stop(closeIn, cutIn) }
}

// Prevents a leaving node from sending requests to upstreams that it would abort before their end.
func TestLeavingNodeRefusesWhatItWouldCut(t *testing.T) {
	ok := respond(200, sealHeader, "fine")
	for _, tt := range []struct {
		name     string
		run      time.Duration
		earlier  int
		deadline string // in ms
		cutIn    time.Duration
		status   int
	}{
		{"deadline before the exit", time.Millisecond, 0, "900", time.Second, 200},
		{"deadline after the exit", time.Millisecond, 0, "1100", time.Second, 503},
		{"the route's timeout is before the exit", time.Millisecond, 0, "60000", 4 * time.Second, 200},
		{"requests of the route are short", 100 * time.Millisecond, usualRequests, "3000", time.Second, 200},
		{"requests of the route are too long", 900 * time.Millisecond, usualRequests, "3000", time.Second, 503},
		{"few requests of the route, all short", 100 * time.Millisecond, 5, "3000", time.Second, 200},
		{"few requests of the route, not all short", 400 * time.Millisecond, 5, "3000", time.Second, 503},
		{"too few requests are known", 100 * time.Millisecond, 3, "3000", time.Second, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(tt.run, ok)})
				s, leave := leavingNode(f, 500*time.Millisecond, tt.cutIn)
				for range tt.earlier {
					require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
				}
				leave()
				out := f.callOn(t.Context(), s, map[string]string{testDeadline: tt.deadline}, "body")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, "close", out.Header().Get("Connection"))
				if tt.status == 503 {
					require.Equal(t, `{"reason":"leaving"}`, out.Body.String())
					require.Equal(t, "0.02", out.Header().Get("Retry-After"))
					require.Len(t, f.sent, tt.earlier)
				}
			})
		})
	}
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

// Prevents a leaving node from refusing the short requests of a route, of which one had a body that arrived slowly.
func TestSlowBodyRaisesNoEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": delayed(100*time.Millisecond, respond(200, sealHeader, "fine"))})
		s, leave := leavingNode(f, time.Second, 2*time.Second)
		for range usualRequests {
			require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
		}
		body := slowBody(3)
		r := testRequest(t.Context(), nil, "body")
		r.Body = io.NopCloser(&body)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		require.Equal(t, 200, w.Code)
		s.toUpstreams().forRequest(true).CloseIdleConnections()
		leave()
		require.Equal(t, 200, f.callOn(t.Context(), s, nil, "body").Code)
	})
}

// Prevents a leaving node from sending a declined request to a second upstream that it would abort before its end.
func TestLeavingNodeRefusesDeclinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		declines := delayed(time.Second, respond(503, testNotRun+": 1\r\n", ""))
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": declines, "b": declines})
		s, leave := leavingNode(f, 500*time.Millisecond, 1500*time.Millisecond)
		time.AfterFunc(500*time.Millisecond, leave)
		out := f.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 503, out.Code)
		require.Len(t, f.sent, 1)
		require.Equal(t, `{"reason":"leaving"}`, out.Body.String())
	})
}

// Prevents a request that a leaving peer can't end from being refused although another peer can take it.
func TestRequestOverLeavingPeerGoesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := respond(200, sealHeader, "fine")
		env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": ok}, map[string]upstream{"b": ok})
		s, leave := leavingNode(env.peers["p1"], 500*time.Millisecond, time.Second)
		env.node.upstreams["p1"] = peer(s)
		leave()
		out := env.node.call(t.Context(), nil, "body")
		require.Equal(t, 200, out.Code)
		require.Empty(t, env.peers["p1"].sent)
		require.Len(t, env.peers["p2"].sent, 1)
	})
}

// Prevents a peer's request from being cut by a node that takes it after it has stopped to wait for such requests.
func TestRequestOverClosedPeerGoesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := respond(200, sealHeader, "fine")
		env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": ok}, map[string]upstream{"b": ok})
		s, leave := leavingNode(env.peers["p1"], 500*time.Millisecond, 10*time.Second)
		env.node.upstreams["p1"] = peer(s)
		leave()
		time.Sleep(500 * time.Millisecond)
		out := env.node.call(t.Context(), nil, "body")
		require.Equal(t, 200, out.Code)
		require.Empty(t, env.peers["p1"].sent)
		require.Len(t, env.peers["p2"].sent, 1)
	})
}
