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

func attempt(address string) *Attempt {
	return &Attempt{
		RequestID: "r-1", Address: address, Method: http.MethodPost, Path: "/book",
		Body: []byte("{}"), Deadline: time.Now().Add(time.Minute),
	}
}

// script is an upstream that handles each request on a connection by the next of its steps; a step
// returns false to end the connection.
type script struct {
	net.Listener
	reads atomic.Int64
	wg    sync.WaitGroup
}

func upstream(t *testing.T, step func(n int64, c net.Conn, req *http.Request) bool) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{Listener: l}
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

func (s *script) serve(c net.Conn, step func(int64, net.Conn, *http.Request) bool) {
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

func (s *script) address() string { return s.Addr().String() }

func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSagestand-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A booking is doubled: the upstream reads it and closes the connection, which had been idle;
// net/http takes the break for a stale connection and sends the request a second time, because a
// header Idempotency-Key makes it believe that this is harmless.
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
			s := upstream(t, func(n int64, c net.Conn, req *http.Request) bool {
				if n == 1 {
					answer(c, req.Header.Get(sagewire.HeaderRequestID), "ok")
					return true
				}
				return false
			})
			d := &Dispatcher{}
			defer d.Close()
			a := attempt(s.address())
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

// The guard above is needed: the same request with a body that can be rewound is sent three times
// by net/http, though its caller asked once.
func TestNetHTTPRepeatsARewindableRequest(t *testing.T) {
	s := upstream(t, func(n int64, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			answer(c, "r", "ok")
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
		{"whole", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nContent-Length: 2", "ok"), sagewire.Complete, "", true},
		{"whole in chunks", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"), sagewire.Complete, "", true},
		{"short", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nContent-Length: 3", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"short in chunks", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nTransfer-Encoding: chunked", "2\r\nok\r\n"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"ends with the connection", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: ID\r\nConnection: close", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"crossed", reply("HTTP/1.1 200 OK\r\nSagestand-Request-Id: other\r\nContent-Length: 2", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"without id", reply("HTTP/1.1 200 OK\r\nContent-Length: 2", "ok"), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"not run", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: ID\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.NotRun, sagewire.ReasonUpstreamRefused, false},
		{"not run of another", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: other\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.Unknown, sagewire.ReasonAnswerLost, false},
		{"not run with status 500", reply("HTTP/1.1 500 No\r\nSagestand-Request-Id: ID\r\nSagestand-Not-Run: true\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"plain 503", reply("HTTP/1.1 503 No\r\nSagestand-Request-Id: ID\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"redirect is not followed", reply("HTTP/1.1 307 Go\r\nSagestand-Request-Id: ID\r\nLocation: /book\r\nContent-Length: 0", ""), sagewire.Complete, "", true},
		{"no answer", func(net.Conn, string) bool { return false }, sagewire.Unknown, sagewire.ReasonAnswerLost, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := upstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
				return tt.reply(c, req.Header.Get(sagewire.HeaderRequestID))
			})
			d := &Dispatcher{}
			defer d.Close()
			a := attempt(s.address())
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
				res := d.Do(t.Context(), httptest.NewRecorder(), attempt("127.0.0.1:1"))
				assert.Equal(t, sagewire.NotRun, res.Outcome)
				assert.False(t, res.Connected)
			})
		})
	}
}

// Bookings end as unknown though the application is well: it closes idle connections, and a booking
// that takes one just then is written into the void. A fresh connection has no idle time.
func TestOnceUsesAFreshConnection(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	s := upstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
		mu.Lock()
		seen[c.RemoteAddr().String()] = true
		mu.Unlock()
		answer(c, req.Header.Get(sagewire.HeaderRequestID), "ok")
		return true
	})
	d := &Dispatcher{}
	defer d.Close()
	a := attempt(s.address())
	a.AtMostOnce = true
	for i := range 3 {
		a.RequestID = fmt.Sprint(i)
		res := d.Do(t.Context(), httptest.NewRecorder(), a)
		require.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
	}
	assert.Len(t, seen, 3, "connections")
}

// A booking's outcome is unknown though the application answered: its caller closed the connection
// while the application worked, and the attempt was given up with it.
func TestOnceGoesOnWithoutItsCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := upstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
		cancel()
		answer(c, req.Header.Get(sagewire.HeaderRequestID), "booked")
		return false
	})
	d := &Dispatcher{}
	defer d.Close()
	a := attempt(s.address())
	a.AtMostOnce = true
	res := d.Do(ctx, httptest.NewRecorder(), a)
	assert.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
	assert.True(t, res.CallerGone)
	require.NotNil(t, res.Response)
	assert.Equal(t, "booked", string(res.Response.Body))
}
