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

// stopAfter returns an upstream that reads a request and, after a delay, closes the connection and
// its listener.
func (f *fakeFleet) stopAfter(name string, after time.Duration) upstream {
	return func(net.Conn, *http.Request) {
		time.Sleep(after)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = append(f.stopped, name)
	}
}

// bodyRequest is the request that fakeFleet.callOn sends with "body".
var bodyRequest = sagequarantine.NewRequest(sagequarantine.FingerprintOf("acc", "POST", "h.example/x?y=1", []byte("body")))

// recordCrash records a crash under a suspect.
func recordCrash(s *Service, c sagequarantine.CrashID, suspect sagequarantine.Suspect) []sagequarantine.Entry {
	now := sageclock.Now()
	return s.Quarantine.RecordCrash(now, sagequarantine.Crash{ID: c, At: now}, suspect)
}

// quarantine quarantines a suspect.
func quarantine(s *Service, suspect sagequarantine.Suspect) {
	quarantineAt(s, sageclock.Now(), suspect)
}

// quarantineAt quarantines a suspect at a time.
func quarantineAt(s *Service, now sageclock.Instant, suspect sagequarantine.Suspect) {
	for c := range sagequarantine.CrashID(sagequarantine.DefaultThreshold) {
		s.Quarantine.RecordCrash(now, sagequarantine.Crash{ID: 100 + c, At: now.Add(-time.Duration(c) * time.Second)}, suspect)
	}
}

// suspectCount waits for crash probes to end and returns the number of suspect requests.
func suspectCount(s *Service) int {
	time.Sleep(2 * crashProbeDelay)
	n, _ := s.Quarantine.Counts()
	return n
}

// A broken connection alone must not count as a crash of the upstream, and a crash must not be
// missed.
func TestOnlyUpstreamCrashMakesRequestSuspect(t *testing.T) {
	once := testRoute(sageroute.Once)
	stream := testRoute(sageroute.Stream)
	stream.Resumable = false
	for _, tt := range []struct {
		name    string
		route   sageroute.Route
		up      func(fleet *fakeFleet) upstream
		leaving bool
		want    int
	}{
		{"crash before the response", once, func(fleet *fakeFleet) upstream { return fleet.stopAfter("a", 0) }, false, 1},
		{"crash in the middle of a stream", stream, func(fleet *fakeFleet) upstream {
			return func(c net.Conn, r *http.Request) { events(1, 3, false)(c, r); fleet.stopAfter("a", 0)(c, r) }
		}, false, 1},
		{"broken connection", once, func(*fakeFleet) upstream { return crash }, false, 0},
		{"truncated stream", stream, func(*fakeFleet) upstream { return events(1, 3, false) }, false, 0},
		{"response with the id of another request", once, func(*fakeFleet) upstream { return respondWithOtherID }, false, 0},
		{"stalled upstream", once, func(*fakeFleet) upstream { return stalled }, false, 0},
		{"planned stop", once, func(fleet *fakeFleet) upstream { return fleet.stopAfter("a", 0) }, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, tt.route, map[string]upstream{"a": nil})
				fleet.upstreams["a"] = tt.up(fleet)
				fleet.leaving = tt.leaving
				s := fleet.service()
				fleet.callOn(t.Context(), s, nil, "body")
				require.Equal(t, tt.want, suspectCount(s))
			})
		})
	}
}

// The upstream crashes after the caller has disconnected or the request has timed out. The request
// must become suspect nevertheless.
func TestAbandonedRequestBecomesSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil})
		fleet.upstreams["a"] = fleet.stopAfter("a", time.Second)
		s := fleet.service()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.True(t, fleet.callOn(ctx, s, nil, "body").aborted)
		require.Zero(t, suspectCount(s))
		time.Sleep(time.Second)
		require.Equal(t, 503, fleet.callOn(t.Context(), s, nil, "another body").Code, "nothing listens at the address")
		require.Equal(t, 1, suspectCount(s))
		require.Empty(t, recordCrash(s, 1, bodyRequest))
		require.Len(t, recordCrash(s, 2, bodyRequest), 1, "the abandoned request is the suspect")
	})
}

// A quarantined request must not be sent, and requests with other content must not be refused with
// it.
func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		s := fleet.service()
		quarantine(s, bodyRequest)
		start := time.Now()
		out := fleet.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 503, out.Code)
		require.Equal(t, `{"reason":"quarantined"}`, out.Body.String())
		require.Equal(t, "1800", out.Header().Get("Retry-After"))
		require.Zero(t, time.Since(start))
		require.Empty(t, fleet.sent)
		require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, "bod").Code)
		require.Len(t, fleet.sent, 1)
	})
}

// A harmless request must not stay quarantined for good, and only one node may send trials of it.
func TestOnlyTrialNodeSendsQuarantinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		s := fleet.service()
		quarantineAt(s, sageclock.Now().Add(-5*time.Minute), bodyRequest)
		require.Equal(t, 503, fleet.callOn(t.Context(), s, nil, "body").Code)
		fleet.sendsTrials = true
		require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, "body").Code)
		fleet.sendsTrials = false
		require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, "body").Code, "the trial succeeded and ended the quarantine")
	})
}

// The crash of the first upstream quarantines the request. The node must not send it to another one.
func TestRequestQuarantinedInFlightIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"b": respond(200, sealHeader, "fine")})
		s := fleet.service()
		fleet.names, fleet.upstreams["a"] = []string{"a", "b"}, func(net.Conn, *http.Request) {
			quarantine(s, bodyRequest)
		}
		out := fleet.callOn(t.Context(), s, nil, "body")
		require.Equal(t, 502, out.Code, "the request may have been executed")
		require.Equal(t, `{"reason":"quarantined"}`, out.Body.String())
		require.Len(t, fleet.sent, 1)
	})
}

// A request that upstreams execute successfully must not be quarantined.
func TestSuccessClearsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		s := fleet.service()
		recordCrash(s, 1, bodyRequest)
		recordCrash(s, 2, bodyRequest)
		require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, "body").Code)
		require.Empty(t, recordCrash(s, 3, bodyRequest))
	})
}
