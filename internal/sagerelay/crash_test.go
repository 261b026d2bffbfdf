package sagerelay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// stop returns an upstream that reads a request, runs for a while and ends with its listener.
func (f *world) stop(name string, after time.Duration) upstream {
	return func(net.Conn, *http.Request) {
		time.Sleep(after)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = append(f.stopped, name)
	}
}

// suspects returns how many requests a book suspects, once probes are over.
func suspects(s *Service) int {
	time.Sleep(2 * crashProbeAfter)
	n, _ := s.Quarantine.Counts()
	return n
}

// Guards against breaks that are taken for crashes, and crashes that are taken for breaks.
func TestOnlyAnUpstreamThatStoppedMakesARequestSuspect(t *testing.T) {
	once := route(sageroute.Once)
	stream := route(sageroute.Stream)
	stream.Resumable = false
	for _, tt := range []struct {
		name    string
		route   sageroute.Route
		up      func(w *world) upstream
		leaving bool
		want    int
	}{
		{"crashed before it answered", once, func(w *world) upstream { return w.stop("a", 0) }, false, 1},
		{"crashed in the middle of a stream", stream, func(w *world) upstream {
			return func(c net.Conn, r *http.Request) { events(1, 3, false)(c, r); w.stop("a", 0)(c, r) }
		}, false, 1},
		{"a connection broke", once, func(*world) upstream { return crash }, false, 0},
		{"a stream was cut", stream, func(*world) upstream { return events(1, 3, false) }, false, 0},
		{"another's answer", once, func(*world) upstream { return foreign }, false, 0},
		{"silent", once, func(*world) upstream { return silent }, false, 0},
		{"stopped as planned", once, func(w *world) upstream { return w.stop("a", 0) }, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, tt.route, map[string]upstream{"a": nil})
				w.upstreams["a"] = tt.up(w)
				w.leaving = tt.leaving
				s := w.service()
				w.callOn(t.Context(), s, nil, "body")
				require.Equal(t, tt.want, suspects(s))
			})
		})
	}
}

// Guards against a request whose caller leaves, or that times out, before its upstream crashes under it.
func TestRequestThatWasGivenUpBecomesSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": nil})
		w.upstreams["a"] = w.stop("a", time.Second)
		s := w.service()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.True(t, w.callOn(ctx, s, nil, "body").broken)
		require.Zero(t, suspects(s))
		time.Sleep(time.Second)
		require.Equal(t, 503, w.callOn(t.Context(), s, nil, "another body").Code, "nothing listens there")
		require.Equal(t, 1, suspects(s))
		require.Empty(t, s.Quarantine.RecordCrash(sageclock.Now(), 1, sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body"))))
		require.Len(t, s.Quarantine.RecordCrash(sageclock.Now(), 2, sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body"))), 1, "it was that one")
	})
}

// Guards against a quarantined request that is sent all the same, and against harmless ones that are refused with it.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": reply(200, seal, "fine")})
		s := w.service()
		fatal := sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body"))
		for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
			s.Quarantine.RecordCrash(sageclock.Now(), c, fatal)
		}
		began := time.Now()
		out := w.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 503, out.Code)
		require.Equal(t, `{"reason":"quarantined"}`, out.Body.String())
		require.Equal(t, "1800", out.Header().Get("Retry-After"))
		require.Zero(t, time.Since(began))
		require.Empty(t, w.sent)
		require.Equal(t, 200, w.callOn(t.Context(), s, nil, "bod").Code)
		require.Len(t, w.sent, 1)
	})
}

// Guards against a harmless request that stays quarantined by mistake, and against tries by every node.
func TestOneNodeTriesAQuarantinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": reply(200, seal, "fine")})
		s := w.service()
		for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
			s.Quarantine.RecordCrash(sageclock.Now().Add(-5*time.Minute), c, sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body")))
		}
		require.Equal(t, 503, w.callOn(t.Context(), s, nil, "body").Code)
		w.trials = true
		require.Equal(t, 200, w.callOn(t.Context(), s, nil, "body").Code)
		w.trials = false
		require.Equal(t, 200, w.callOn(t.Context(), s, nil, "body").Code, "it succeeded")
	})
}

// Guards against a node that sends a request on after the upstream's crash that quarantines it.
func TestRequestThatIsQuarantinedUnderWayGoesNowhereElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Idempotent), map[string]upstream{"b": reply(200, seal, "fine")})
		s := w.service()
		fatal := sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body"))
		w.names, w.upstreams["a"] = []string{"a", "b"}, func(net.Conn, *http.Request) {
			for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
				s.Quarantine.RecordCrash(sageclock.Now(), c, fatal)
			}
		}
		out := w.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 502, out.Code, "it ran")
		require.Equal(t, `{"reason":"quarantined"}`, out.Body.String())
		require.Len(t, w.sent, 1)
	})
}

// Guards against quarantine of a request that upstreams execute.
func TestSuccessIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, route(sageroute.Once), map[string]upstream{"a": reply(200, seal, "fine")})
		s := w.service()
		f := sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body"))
		s.Quarantine.RecordCrash(sageclock.Now(), 1, f)
		s.Quarantine.RecordCrash(sageclock.Now(), 2, f)
		require.Equal(t, 200, w.callOn(t.Context(), s, nil, "body").Code)
		require.Empty(t, s.Quarantine.RecordCrash(sageclock.Now(), 3, f))
	})
}
