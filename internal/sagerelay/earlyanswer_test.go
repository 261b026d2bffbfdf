package sagerelay

import (
	"bufio"
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

// Prevents a later request from being written where the rest of a long body is due, whose upstream has answered before it read it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	const bodyBytes, lateRead = 16 << 20, 300 * time.Millisecond
	for name, c := range map[string]struct {
		early string
		code  int
	}{
		"rejection":            {responseText(503, "id1", testNotRun+": 1\r\n", ""), http.StatusServiceUnavailable},
		"rejection without ID": {responseText(503, "", testNotRun+": 1\r\n", ""), http.StatusBadGateway},
		"success":              {responseText(200, "id1", sealHeader, ""), http.StatusOK},
		"success with a body":  {responseText(200, "id1", sealHeader, "early"), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			rest, ids := make(chan string, 1), make(chan string, 8)
			go func() {
				for first := true; ; first = false {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go serveEarly(conn, first, c.early, lateRead, rest, ids)
				}
			}()
			route := testRoute(sageroute.Once)
			route.Timeout = 5 * time.Second
			f := newFakeFleet(t, route, map[string]upstream{"a": nil})
			f.table.Limits.BodyBytes = bodyBytes
			s := f.service()
			s.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
			}
			defer s.CloseIdleConnections()
			proveReuse(s)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, testRequest(t.Context(), nil, strings.Repeat("b", bodyBytes)))
			require.Equal(t, c.code, w.Code)
			require.Equal(t, http.StatusOK, serveID(t, s, "id2").Code)
			require.Equal(t, "id2", <-ids, "it gets a connection of its own")
			require.Empty(t, strings.Trim(<-rest, "b"), "nothing else follows the early answer")
		})
	}
}

// serveEarly answers the first connection's request before it reads the body, and the requests of others after it.
func serveEarly(c net.Conn, first bool, early string, wait time.Duration, rest, ids chan<- string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if first {
			_, _ = io.WriteString(c, early)
			time.Sleep(wait)
			_ = c.SetReadDeadline(time.Now().Add(wait))
			b, _ := io.ReadAll(r) // ends with the connection or the deadline
			rest <- string(b)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		ids <- req.Header.Get(testID)
		if _, err := io.WriteString(c, responseText(200, req.Header.Get(testID), sealHeader, "")); err != nil {
			return
		}
	}
}
