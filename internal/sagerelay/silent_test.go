package sagerelay

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// pausing returns an upstream that sends a stream of two events with a pause before the second one.
func pausing(d time.Duration) upstream {
	return func(c net.Conn, req *http.Request) {
		first, rest := "id: 1\ndata: w1\n\n", "id: 2\ndata: w2\n\n"
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + testID + ": " + req.Header.Get(testID) + "\r\n" + sealHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		_, _ = c.Write([]byte("10\r\n" + first + "\r\n"))
		time.Sleep(d)
		_, _ = c.Write([]byte("10\r\n" + rest + "\r\n0\r\n\r\n"))
	}
}

// Prevents a stream from being cut because its upstream is silent, although no other one could continue it.
func TestStreamOfSilentUpstream(t *testing.T) {
	const whole = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"
	rest := events(2, 2, true)
	for _, tt := range []struct {
		name     string
		ups      map[string]upstream
		versions map[string]string
		sent     int
	}{
		{"no other", map[string]upstream{"a": pausing(2 * time.Second)}, nil, 1},
		{"another version", map[string]upstream{"a": pausing(2 * time.Second), "b": rest}, map[string]string{"a": "v1", "b": "v2"}, 1},
		{"another of the version", map[string]upstream{"a": pausing(2 * time.Second), "b": rest}, map[string]string{"a": "v1", "b": "v1"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Stream), tt.ups)
				f.versions = tt.versions
				out := f.call(t.Context(), nil, "body")
				time.Sleep(2 * time.Second) // the pause of an upstream that was replaced
				require.False(t, out.aborted, "the stream was cut")
				require.Equal(t, whole, out.Body.String())
				require.Len(t, f.sent, tt.sent)
			})
		})
	}
}
