package sagedispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

func newAttempt(address string) *Attempt {
	return &Attempt{
		RequestID: "r-1", Address: address, Method: http.MethodPost, Path: "/book",
		Body: []byte("{}"), Deadline: time.Now().Add(time.Minute),
	}
}

// scriptedUpstream is an upstream that handles each request with a step function. The function gets the number
// of the request and returns false to close the connection.
type scriptedUpstream struct {
	net.Listener
	reads atomic.Int64
	wg    sync.WaitGroup
}

func startUpstream(t *testing.T, step func(n int64, c net.Conn, req *http.Request) bool) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedUpstream{Listener: l}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(c, step) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.wg.Wait()
	})
	return s
}

func (s *scriptedUpstream) serve(c net.Conn, step func(int64, net.Conn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !step(s.reads.Add(1), c, req) {
			return
		}
	}
}

func (s *scriptedUpstream) address() string { return s.Addr().String() }

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSagestand-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Prevents duplicate bookings: the upstream reads a request on a reused connection and closes it. Without the
// body that can't be rewound, net/http would take the connection for stale and send the request again, since
// the header Idempotency-Key marks it as idempotent.
func TestBrokenReusedConnectionIsNotRepeated(t *testing.T) {
	for _, tt := range []struct {
		name   string
		method string
		body   string
	}{
		{name: "post", method: http.MethodPost, body: "{}"},
		{name: "post without body", method: http.MethodPost},
		{name: "get", method: http.MethodGet},
		{name: "delete", method: http.MethodDelete},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startUpstream(t, func(n int64, c net.Conn, req *http.Request) bool {
				if n == 1 {
					writeResponse(c, req.Header.Get(sagewire.HeaderRequestID), "ok")
					return true
				}
				return false
			})
			d := &Dispatcher{}
			defer d.Close()
			a := newAttempt(s.address())
			a.Method, a.Body, a.IdempotencyKey = tt.method, []byte(tt.body), "k"
			res := d.Do(t.Context(), httptest.NewRecorder(), a)
			require.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
			a.RequestID = "r-2"
			res = d.Do(t.Context(), httptest.NewRecorder(), a)
			assert.Equal(t, sagewire.Unknown, res.Outcome)
			assert.EqualValues(t, 2, s.reads.Load(), "reads by the upstream")
		})
	}
}

// Shows that net/http needs the protection tested above: of two requests with a rewindable body, the second is
// retried, so that the upstream reads three.
func TestNetHTTPRepeatsARewindableRequest(t *testing.T) {
	s := startUpstream(t, func(n int64, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			writeResponse(c, "r", "ok")
			return true
		}
		return false
	})
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	send := func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.address()+"/book", strings.NewReader("{}"))
		require.NoError(t, err)
		req.Header.Set(sagewire.HeaderIdempotencyKey, "k")
		res, err := tr.RoundTrip(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return err
	}
	require.NoError(t, send())
	require.Error(t, send())
	assert.EqualValues(t, 3, s.reads.Load(), "reads by the upstream of two requests")
}

func TestOutcomes(t *testing.T) {
	reply := func(head, body string) func(net.Conn, string) bool {
		return func(c net.Conn, id string) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", id)+"\r\n\r\n"+body)
			return false
		}
	}
	for _, tt := range []struct {
		name    string
		reply   func(net.Conn, string) bool
		outcome sagewire.Outcome
		reason  sagewire.Reason
		started bool
	}{
		{"complete", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nContent-Length: 2", "ok"), sagewire.Complete, "", true},
		{"complete, chunked", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"), sagewire.Complete, "", true},
		{"truncated", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nContent-Length: 3", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"truncated, chunked", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nTransfer-Encoding: chunked", "2\r\nok\r\n"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"delimited by end of connection", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nConnection: close", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"id of another request", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: other\r\nContent-Length: 2", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"without id", reply("HTTP/1.1 200 OK\r\nContent-Length: 2", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"not run", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: ID\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.NotRun, sagewire.ReasonUpstreamRefused, false},
		{"not run, id of another request", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: other\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"not run with status 500", reply("HTTP/1.1 500 No\r\nSagestand-Request-Id: ID\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"plain 503", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: ID\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"redirect is not followed", reply("HTTP/1.1 307 Go\r\nSagestand-Request-Id: ID\r\nLocation: /book\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"no response", func(net.Conn, string) bool { return false }, sagewire.Unknown, sagewire.ReasonAnswerLost, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startUpstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
				return tt.reply(c, req.Header.Get(sagewire.HeaderRequestID))
			})
			d := &Dispatcher{}
			defer d.Close()
			a := newAttempt(s.address())
			a.AtMostOnce = true
			w := httptest.NewRecorder()
			res := d.Do(t.Context(), w, a)
			assert.Equal(t, tt.outcome, res.Outcome, res.Detail)
			assert.Equal(t, tt.reason, res.Reason)
			assert.Equal(t, tt.started, res.ResponseStarted)
			assert.Equal(t, tt.outcome == sagewire.Complete, res.Response != nil)
			if !tt.started {
				assert.Empty(t, w.Body.String())
			}
			assert.EqualValues(t, 1, s.reads.Load())
		})
	}
}

func TestNothingSentIsNotRun(t *testing.T) {
	for _, tt := range []struct {
		name string
		dial func(context.Context, string, string) (net.Conn, error)
	}{
		{"connection refused", func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF }},
		{"connection too late", func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Dispatcher{Dial: tt.dial}
				defer d.Close()
				res := d.Do(t.Context(), httptest.NewRecorder(), newAttempt("127.0.0.1:1"))
				assert.Equal(t, sagewire.NotRun, res.Outcome)
				assert.False(t, res.Connected)
			})
		})
	}
}

// Prevents bookings with an unknown outcome at a healthy application: a booking could be written to an idle
// connection that the application is just closing. A new connection has no idle time.
func TestOnceUsesAFreshConnection(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	s := startUpstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
		mu.Lock()
		seen[c.RemoteAddr().String()] = true
		mu.Unlock()
		writeResponse(c, req.Header.Get(sagewire.HeaderRequestID), "ok")
		return true
	})
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(s.address())
	a.AtMostOnce = true
	for i := range 3 {
		a.RequestID = fmt.Sprint(i)
		res := d.Do(t.Context(), httptest.NewRecorder(), a)
		require.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
	}
	assert.Len(t, seen, 3, "connections")
}

// Prevents losing the outcome of a booking that the application completed: the caller closes its connection
// while the application is working, and the attempt must not be canceled with it.
func TestOnceGoesOnWithoutItsCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := startUpstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
		cancel()
		writeResponse(c, req.Header.Get(sagewire.HeaderRequestID), "booked")
		return false
	})
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(s.address())
	a.AtMostOnce = true
	res := d.Do(ctx, httptest.NewRecorder(), a)
	assert.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
	assert.True(t, res.CallerGone)
	require.NotNil(t, res.Response)
	assert.Equal(t, "booked", string(res.Response.Body))
}

// A pause of a fraction of a second must be understood, and a senseless one must not keep an upstream out of use.
func TestRetryAfterOfUpstream(t *testing.T) {
	now := time.Now()
	for value, want := range map[string]time.Time{
		"": {}, "2": now.Add(2 * time.Second), "0.25": now.Add(250 * time.Millisecond), "-1": {}, "soon": {}, "NaN": {}, "1e300": now.Add(maxRetryAfter),
	} {
		require.Equal(t, want, parseRetryAfter(http.Header{"Retry-After": {value}}, now), value)
	}
}
