package sagerelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// connEnd is what becomes of a connection after the last byte that its upstream writes.
type connEnd string

// Ends of connections.
const (
	endOrder connEnd = "closed in order"
	endReset connEnd = "reset"
	endOpen  connEnd = "left open"
)

// resetter is a connection that can be reset by its upstream.
type resetter interface{ reset() }

// farPipe is an upstream's end of a pipe, nearPipe the other one.
type (
	farPipe struct {
		net.Conn
		wasReset *atomic.Bool
	}
	nearPipe struct {
		net.Conn
		wasReset *atomic.Bool
	}
)

func (c farPipe) reset() { c.wasReset.Store(true) }

func (c nearPipe) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.wasReset.Load() {
		err = &net.OpError{Op: "read", Net: "pipe", Err: syscall.ECONNRESET}
	}
	return n, err
}

// resettablePipe returns both ends of a connection in memory.
func resettablePipe() (near, far net.Conn) {
	wasReset := new(atomic.Bool)
	near, far = net.Pipe()
	return nearPipe{near, wasReset}, farPipe{far, wasReset}
}

// farTCP is an upstream's end of a TCP connection.
type farTCP struct{ *net.TCPConn }

func (c farTCP) reset() { _ = c.SetLinger(0) } // the close that follows resets the connection

// writeAndEnd writes text and ends the connection. The script that calls it must not keep the connection.
func writeAndEnd(c net.Conn, text string, end connEnd) {
	if text != "" { // a write of nothing blocks on a pipe
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	switch end {
	case endReset:
		c.(resetter).reset()
	case endOpen:
		_, _ = io.Copy(io.Discard, c) // until the node closes it
	}
}

// serveConn runs the script of an upstream on a connection, and records the requests.
func serveConn(c net.Conn, script connScript, f *fakeFleet) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a truncated request ends the loop
		f.mu.Lock()
		f.sent = append(f.sent, req)
		f.mu.Unlock()
		if !script(c, n, req) {
			return
		}
	}
}

// dialScripts returns a dialer of upstreams, or peers, that follow scripts.
func dialScripts(f *fakeFleet, scripts map[string]connScript) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		script := scripts[strings.TrimSuffix(address, ":80")]
		if script == nil {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		near, far := resettablePipe()
		go serveConn(far, script, f)
		return near, nil
	}
}

// dialScriptsOverTCP is like dialScripts over TCP connections.
func dialScriptsOverTCP(t *testing.T, f *fakeFleet, scripts map[string]connScript) func(context.Context, string, string) (net.Conn, error) {
	t.Helper()
	addresses := make(map[string]string)
	for name, script := range scripts {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		addresses[name] = l.Addr().String()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveConn(farTCP{c.(*net.TCPConn)}, script, f)
			}
		}()
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// A process that stands still for longer than the time to connect would send nothing to the address.
		return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, addresses[strings.TrimSuffix(address, ":80")])
	}
}

// serveOnce sends a request with an ID through a service.
func serveOnce(t *testing.T, s *Service, id string) callerResult {
	t.Helper()
	return serveMethod(t, s, id, http.MethodPost, "body")
}

// serveMethod is like serveOnce for a method and a body.
func serveMethod(t *testing.T, s *Service, id, method, body string) (out callerResult) {
	t.Helper()
	out.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			require.Equal(t, http.ErrAbortHandler, r)
			out.aborted = true
		}
	}()
	req := testRequest(t.Context(), map[string]string{testID: id}, body)
	req.Method = method
	s.ServeHTTP(out, req)
	return out
}

// requests returns the requests that reached upstreams or peers.
func (f *fakeFleet) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}
