package sagerelay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
)

// unframed returns an upstream whose response has neither a length nor chunks.
func unframed(contentType, body string) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: %s\r\n\r\n%s", testID, req.Header.Get(testID), sealHeader, contentType, body)
	}
}

// Prevents a response that ended because its upstream crashed or stopped between two events, or anywhere in a plain one, from
// reaching the caller as complete.
func TestResponseThatEndsWithItsUpstreamIsNotComplete(t *testing.T) {
	const twoEvents, rest = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n", "id: 3\ndata: w3\n\n"
	stream, plain := "text/event-stream", "text/plain"
	resumable, single := testRoute(sageroute.Stream), testRoute(sageroute.Stream)
	resumable.Resumable = true
	single.Resumable = false
	for _, tt := range []struct {
		name    string
		route   sageroute.Route
		first   upstream
		crashes bool
		leaving bool
		status  int
		body    string
		aborted bool
	}{
		{"a stream goes on elsewhere", resumable, unframed(stream, twoEvents), true, false, 200, twoEvents + rest, false},
		{"a stream that can't be resumed breaks", single, unframed(stream, twoEvents), true, false, 200, twoEvents, true},
		{"a whole stream", single, unframed(stream, twoEvents), false, false, 200, twoEvents, false},
		{"a planned stop, a stream goes on elsewhere", resumable, unframed(stream, twoEvents), true, true, 200, twoEvents + rest, false},
		{"a planned stop, a stream that can't be resumed breaks", single, unframed(stream, twoEvents), true, true, 200, twoEvents, true},
		{"a planned stop, a plain response", testRoute(sageroute.Once), unframed(plain, "half"), true, true, 502, `{"reason":"answer_lost"}`, false},
		{"a whole stream of an upstream that still leaves", single, unframed(stream, twoEvents), false, true, 200, twoEvents, false},
		{"a whole plain response of an upstream that still leaves", testRoute(sageroute.Once), unframed(plain, "whole"), false, true, 200, "whole", false},
		{"a plain response", testRoute(sageroute.Once), unframed(plain, "half"), true, false, 502, `{"reason":"answer_lost"}`, false},
		{"a whole plain response", testRoute(sageroute.Once), unframed(plain, "whole"), false, false, 200, "whole", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, tt.route, map[string]upstream{"a": nil, "b": events(3, 3, true)})
				fleet.names, fleet.leaving = []string{"a", "b"}, tt.leaving
				fleet.upstreams["a"] = func(c net.Conn, r *http.Request) {
					tt.first(c, r)
					if tt.crashes {
						fleet.stopAfter("a", 0)(c, r)
					}
				}
				s := fleet.service()
				out := fleet.callOn(t.Context(), s, nil, "body")
				require.Equal(t, tt.status, out.Code)
				require.Equal(t, tt.body, out.Body.String())
				require.Equal(t, tt.aborted, out.aborted)
				require.Equal(t, tt.crashes, fleet.results[0] == sagehealth.Broken)
				time.Sleep(2 * crashProbeDelay)
				crashed := s.Metrics.GetOrCreateCounter(`sagestand_crashed_exchanges_total{service="s"}`).Get() > 0
				require.Equal(t, tt.crashes && !tt.leaving, crashed, "a planned stop is no crash")
			})
		})
	}
}
