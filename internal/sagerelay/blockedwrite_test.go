package sagerelay

import (
	"fmt"
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

// Prevents an upstream from working on for a caller that has gone while the node is blocked in a write to it: nothing else resets the
// exchange, and the caller may take the stream up at another node.
func TestCallerThatLeavesDuringWriteEndsExchange(t *testing.T) {
	r := testRoute(sageroute.Stream)
	r.Timeout, r.MaxEventGap = time.Hour, time.Hour
	event, written := strings.Repeat("x", 200<<10), make(chan struct{}, 1)
	u := newRawUpstream(t, 0, func(c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: id1\r\n%s: s\r\nContent-Type: text/event-stream\r\n\r\n", testID, testSeal)
		go func() {
			for i := 1; ; i++ {
				if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", i, event); err != nil {
					return
				}
				select {
				case written <- struct{}{}:
				default:
				}
			}
		}()
	})
	_, s := fleetBefore(t, u, r, nil)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s: id1\r\n%s: good\r\nContent-Length: 0\r\n\r\n", testID, testKey)
	require.NoError(t, err)
	for blocked := false; !blocked; {
		select {
		case <-written:
		case <-time.After(500 * time.Millisecond): // all buffers are full
			blocked = true
		}
	}
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	select {
	case <-u.ends:
	case <-time.After(10 * time.Second):
		t.Error("the connection to the upstream stays open")
	}
	go func() { _, _ = io.Copy(io.Discard, c) }() // lets the handler end
}
