package sagerelay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a part of a response without length, whose upstream resets the connection while it gets a long body, from reaching the
// caller as a complete response.
func TestResetDuringUploadEndsNoResponse(t *testing.T) {
	const uploads, bodyBytes, readBytes = 20, 6 << 20, 1000
	for name, response := range map[string]string{
		"success":             "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + sealHeader + "\r\npart",
		"success, HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + testID + ": id1\r\n" + sealHeader + "\r\npart",
		"failure":             "HTTP/1.1 500 X\r\n" + testID + ": id1\r\n" + sealHeader + "\r\npart",
		"stream of one event": "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + sealHeader + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: w1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }() // resets it, as the request isn't read
						_, _ = io.ReadFull(conn, make([]byte, readBytes))
						time.Sleep(2 * time.Millisecond) // the buffers are full, and the node's write waits
						_, _ = io.WriteString(conn, response)
					}()
				}
			}()
			route := testRoute(sageroute.Once)
			if strings.HasPrefix(name, "stream") {
				route = testRoute(sageroute.Stream)
				route.Resumable = false
			}
			f := newFakeFleet(t, route, map[string]upstream{"a": nil})
			f.table.Limits.BodyBytes = bodyBytes
			s := f.service()
			s.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
			}
			defer s.CloseIdleConnections()
			whole := 0
			for range uploads {
				w := httptest.NewRecorder()
				aborted := false
				func() {
					defer func() { aborted = recover() == http.ErrAbortHandler }()
					s.ServeHTTP(w, testRequest(t.Context(), nil, strings.Repeat("b", bodyBytes)))
				}()
				if !aborted && w.Code != http.StatusBadGateway {
					whole++
				}
			}
			require.Zero(t, whole, "of %d", uploads)
		})
	}
}
