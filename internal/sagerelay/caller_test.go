package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

const (
	// maxRun is the time until a request of a caller that has gone would end by itself, maxNotice is well before it.
	maxRun    = 60 * time.Second
	maxNotice = 8 * time.Second
)

// newCallerServer returns a caller's connection to a server that is set up like that of a node.
func newCallerServer(t *testing.T, s *Service) *net.TCPConn {
	t.Helper()
	srv := httptest.NewUnstartedServer(s)
	srv.Config.ConnContext = ConnContext
	srv.Start()
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	ticker := time.NewTicker(100 * time.Millisecond)
	t.Cleanup(ticker.Stop)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-ticker.C:
				s.CancelLeft()
			}
		}
	}()
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s: id1\r\n%s: good\r\nContent-Length: 0\r\n\r\n", testID, testKey)
	require.NoError(t, err)
	return c.(*net.TCPConn)
}

// Prevents an upstream from working on for a caller that has gone, maybe to another node, after it sent further bytes behind its
// request: net/http reads one of them and then doesn't see the end.
func TestCallerThatLeavesBehindFurtherBytesEndsExchange(t *testing.T) {
	const next = "POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Type: text/event-stream\r\n\r\n"
	closes := func(c *net.TCPConn) error { return c.Close() }
	for _, tt := range []struct {
		name          string
		kind          sageroute.Kind
		answer, bytes string
		leave         func(c *net.TCPConn) error
	}{
		{"stream before its response", sageroute.Stream, "", "\r\n", closes},
		{"stream before its first event", sageroute.Stream, head, "\r\n", closes},
		{"stream after an event", sageroute.Stream, head + "id: 1\ndata: x\n\n", "\r\n", closes},
		{"request that is executed at most once", sageroute.Once, "", "\r\n", closes},
		{"idempotent request", sageroute.Idempotent, "", "\r\n", closes},
		{"one byte", sageroute.Stream, "", "\n", closes},
		{"a further request", sageroute.Stream, "", next, closes},
		{"half of the connection", sageroute.Stream, "", "\r\n", (*net.TCPConn).CloseWrite},
		{"reset", sageroute.Stream, "", "\r\n", func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }},
		{"no further bytes", sageroute.Stream, "", "", closes},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := testRoute(tt.kind)
			r.Timeout, r.Objective, r.MaxEventGap = maxRun, maxRun, maxRun
			arrived := make(chan struct{})
			u := newRawUpstream(t, 0, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, tt.answer)
				close(arrived)
			})
			f, s := fleetBefore(t, u, r, nil)
			c := newCallerServer(t, s)
			<-arrived
			time.Sleep(50 * time.Millisecond)
			_, err := io.WriteString(c, tt.bytes)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // has net/http read the first byte before the end
			left := time.Now()
			require.NoError(t, tt.leave(c))
			u.requireEnd(t, syscall.ECONNRESET)
			require.Less(t, time.Since(left), maxNotice)
			require.Eventually(t, func() bool { return s.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Empty(t, f.unanswered, "it says nothing about the upstream")
		})
	}
}

// Prevents the request of a caller that waits from being cancelled for the bytes that it sends behind it.
func TestCallerThatSendsFurtherBytesIsServed(t *testing.T) {
	t.Parallel()
	u := newRawUpstream(t, 0, func(c net.Conn, _ *http.Request) {
		time.Sleep(500 * time.Millisecond) // several times the interval of CancelLeft
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+testID+": id1\r\n"+testSeal+": s\r\nContent-Length: 2\r\n\r\nok")
	})
	r := testRoute(sageroute.Once)
	r.Timeout, r.Objective = maxRun, maxRun
	_, s := fleetBefore(t, u, r, nil)
	c := newCallerServer(t, s)
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(c, "\r\n")
	require.NoError(t, err)
	b := make([]byte, 15)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", string(b))
}

// Prevents a place from being held for a caller that has gone while its request waits to be admitted.
func TestCallerThatLeavesBehindFurtherBytesGivesUpItsPlace(t *testing.T) {
	t.Parallel()
	r := testRoute(sageroute.Stream)
	r.Timeout = maxRun
	f := newFakeFleet(t, r, nil)
	f.neverAdmits = true
	s := f.service()
	c := newCallerServer(t, s)
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	_, err := io.WriteString(c, "\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, maxNotice, time.Millisecond)
}
