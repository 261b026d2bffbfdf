package sagerelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
)

// keepingUpstream is an upstream that keeps its connections.
type keepingUpstream struct {
	*httptest.Server
	opened, served atomic.Int64
	// handle answers a request; nil sends the body back.
	handle http.HandlerFunc
}

func newKeepingUpstream(t *testing.T, handle http.HandlerFunc) *keepingUpstream {
	t.Helper()
	u := &keepingUpstream{handle: handle}
	u.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.served.Add(1)
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testSeal, "s")
		if u.handle != nil {
			u.handle(w, r)
			return
		}
		b, _ := io.ReadAll(r.Body) // a truncated request has a shorter body
		_, _ = w.Write(b)
	}))
	u.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			u.opened.Add(1)
		}
	}
	u.Start()
	t.Cleanup(u.Close)
	return u
}

// serviceBefore returns a service whose only upstream is u.
func serviceBefore(t *testing.T, u *keepingUpstream, r sageroute.Route) *Service {
	t.Helper()
	f := newFakeFleet(t, r, map[string]upstream{"a": nil})
	s := f.service()
	s.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, u.Listener.Addr().String())
	}
	t.Cleanup(func() { s.toUpstreams().pooled.CloseIdleConnections() })
	return s
}

// serve sends a request of a caller through a service.
func serve(t *testing.T, s *Service, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, testRequest(t.Context(), nil, body))
	return w
}

// proveReuse makes reuse after short idle times proven.
func proveReuse(s *Service) {
	for range provenReuses {
		s.idleBounds.recordReuse(sageclock.Now(), "s", maxIdleTimeout)
	}
}

// Prevents a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   sageroute.Kind
		proven bool
		opened int64
	}{
		{"repeatable", sageroute.Idempotent, false, 1},
		{"at most once, not proven", sageroute.Once, false, 5},
		{"at most once, proven", sageroute.Once, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newKeepingUpstream(t, nil)
			s := serviceBefore(t, u, testRoute(c.kind))
			if c.proven {
				proveReuse(s)
			}
			for range 5 {
				require.Equal(t, "body", serve(t, s, "body").Body.String())
			}
			require.Equal(t, int64(5), u.served.Load())
			require.Equal(t, c.opened, u.opened.Load())
		})
	}
}

// Prevents a request from being lost, or counted as run, since the upstream closed its idle connection.
func TestClosedIdleConnectionCostsNoRequest(t *testing.T) {
	for _, kind := range []sageroute.Kind{sageroute.Idempotent, sageroute.Once} {
		u := newKeepingUpstream(t, nil)
		s := serviceBefore(t, u, testRoute(kind))
		proveReuse(s)
		for i := range 20 {
			require.Equal(t, "body", serve(t, s, "body").Body.String())
			if i%2 == 0 {
				u.CloseClientConnections() // waits until they are closed
			}
		}
		require.Equal(t, int64(20), u.served.Load())
	}
}

// Prevents the transport from sending a request twice on its own, which takes a GET without a body for repeatable: neither
// max_attempts nor the budget of retries would count that send.
func TestBrokenReuseIsNotRepeated(t *testing.T) {
	for _, kind := range []sageroute.Kind{sageroute.Once, sageroute.Idempotent} {
		u := newKeepingUpstream(t, nil)
		r := testRoute(kind)
		r.MaxAttempts = 1
		s := serviceBefore(t, u, r)
		proveReuse(s)
		require.Equal(t, http.StatusOK, serve(t, s, "").Code)
		u.handle = func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.Close()
			}
		}
		req := testRequest(t.Context(), nil, "")
		req.Method, req.Body, req.ContentLength = http.MethodGet, http.NoBody, 0
		w := httptest.NewRecorder()
		s.ServeHTTP(w, req)
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Equal(t, int64(2), u.served.Load(), kind)
	}
}

// Prevents the same for a request without a body of any method, which a header that callers may send makes repeatable for the transport.
func TestBrokenReuseWithIdempotencyKeyIsNotRepeated(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete, http.MethodGet} {
		u := newKeepingUpstream(t, nil)
		s := serviceBefore(t, u, testRoute(sageroute.Once))
		proveReuse(s)
		require.Equal(t, http.StatusOK, serve(t, s, "").Code)
		u.handle = func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.Close()
			}
		}
		req := testRequest(t.Context(), map[string]string{"Idempotency-Key": "k", "X-Idempotency-Key": "k"}, "")
		req.Method, req.Body, req.ContentLength = method, http.NoBody, 0
		w := httptest.NewRecorder()
		s.ServeHTTP(w, req)
		require.Equal(t, http.StatusBadGateway, w.Code, method)
		require.Equal(t, int64(2), u.served.Load(), method)
	}
}

func TestKeepAliveHeader(t *testing.T) {
	for _, c := range []struct {
		header string
		keep   time.Duration
		ok     bool
	}{
		{"", 0, false}, {"timeout", 0, false}, {"timeout=x", 0, false}, {"timeout=-1", 0, false}, {"max=5", 0, false},
		{"timeout=0", time.Nanosecond, true}, {"timeout=1", 500 * time.Millisecond, true}, {"timeout=10", 9 * time.Second, true},
		{"max=100, Timeout = 5", 4500 * time.Millisecond, true}, {"timeout=2000000000", maxIdleTimeout, true},
	} {
		d, ok := parseKeepAlive(c.header)
		require.Equal(t, c.ok, ok, c.header)
		if ok {
			require.Equal(t, c.keep, keepIdle(d), c.header)
		}
	}
}

// Prevents responses from filling the node's memory: one that finds no space is not read, and the caller learns the truth.
func TestResponseWaitsForBufferSpace(t *testing.T) {
	const size = 1 << 20
	body := strings.Repeat("x", size)
	chunked := func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", testID, req.Header.Get(testID), sealHeader, size, body)
	}
	for name, up := range map[string]upstream{"of known length": respond(200, sealHeader, body), "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": up})
				s := f.service()
				s.MaxBufferedBytes = size / 4
				call := func() callerResult { return f.callOn(t.Context(), s, nil, "") }
				require.Equal(t, size, call().Body.Len(), "one may exceed the limit")
				require.Zero(t, s.buffers.inUse())

				require.True(t, s.buffers.tryReserve(size/4, 0))
				held := &reservation{budget: &s.buffers}
				require.NoError(t, held.grow(t.Context(), 1, s.MaxBufferedBytes)) // takes the overdraft
				start := time.Now()
				require.Equal(t, http.StatusGatewayTimeout, call().Code)
				require.Equal(t, 4*time.Second, time.Since(start), "at the deadline")
				require.Empty(t, f.unanswered, "it says nothing about the upstream")
				require.False(t, slices.ContainsFunc(f.responses, func(r recordedResponse) bool { return r.Failed }))
				require.Equal(t, int64(size/4+1), s.buffers.inUse())

				time.AfterFunc(time.Second, held.release)
				require.Equal(t, size, call().Body.Len())
				require.Equal(t, int64(size/4), s.buffers.inUse())
			})
		})
	}
}

// Prevents a node from buffering the stream of a caller that doesn't read.
func TestSlowCallerStopsReading(t *testing.T) {
	var written atomic.Int64
	event := "data: " + strings.Repeat("x", 1<<10) + "\n\n"
	u := newKeepingUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 100_000; i++ {
			n, err := fmt.Fprintf(w, "id: %d\n%s", i, event)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	})
	r := testRoute(sageroute.Stream)
	s := serviceBefore(t, u, r)
	w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), unblock: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }() // the caller leaves
		s.ServeHTTP(w, testRequest(ctx, nil, ""))
	}()
	last := int64(-1)
	require.Eventually(t, func() bool { // until the upstream is stopped by its full socket
		stopped := written.Load() == last && last > 0
		last = written.Load()
		return stopped
	}, time.Minute, 200*time.Millisecond)
	require.Less(t, last, int64(100_000*len(event)/4), "the upstream could write only what sockets hold")
	require.Zero(t, s.buffers.inUse())
	cancel()
	close(w.unblock)
	<-done
}

// Prevents a caller that reads slowly from being taken for an upstream that stalls, and its stream from being run again.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRoute(sageroute.Stream)
		r.Timeout = time.Minute
		f := newFakeFleet(t, r, map[string]upstream{"a": events(1, 5, true), "b": events(1, 5, true)})
		w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: 2 * time.Second}
		start := time.Now()
		f.service().ServeHTTP(w, testRequest(t.Context(), nil, ""))
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Equal(t, 5, strings.Count(w.Body.String(), "data: "))
		require.Len(t, f.sent, 1)
		require.Equal(t, []sagehealth.Result{sagehealth.OK}, f.results)
		require.Zero(t, f.responses[0].MeanEventGap, "the upstream wasn't slow")
	})
}

// slowWriter is the writer to a caller that pauses before it reads.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(b)
}

// blockedWriter is the writer to a caller that doesn't read.
type blockedWriter struct {
	*httptest.ResponseRecorder
	unblock chan struct{}
}

func (w *blockedWriter) Write([]byte) (int, error) {
	<-w.unblock
	return 0, io.ErrClosedPipe
}

// Prevents requests from opening more connections than an upstream bears.
func TestConnectionsStayBelowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		answer := respond(200, sealHeader, "ok")
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": func(c net.Conn, req *http.Request) { <-release; answer(c, req) }})
		f.table.Services["s"] = &sageroute.Service{Name: "s", MaxConns: 34}
		s := f.service()
		s.Nodes = func() int { return 10 }
		s.connLimits.address("a:80").changed = sageclock.Now().Add(time.Hour) // it doesn't grow
		codes := make(chan int, 20)
		for range 20 {
			go func() { codes <- f.callOn(t.Context(), s, nil, "body").Code }()
		}
		for range 17 {
			require.Equal(t, http.StatusServiceUnavailable, <-codes)
		}
		close(release)
		for range 3 {
			require.Equal(t, http.StatusOK, <-codes)
		}
		require.Equal(t, int64(3), s.dials.Load())
		require.Len(t, f.accepted, 3)
		require.Empty(t, f.unanswered, "the upstream isn't at fault")
	})
}

// Prevents a crash, a late reset or one of an old connection from being taken for too many connections.
func TestOnlyResetsOfNewConnectionsLowerLimit(t *testing.T) {
	now := time.Now().Add(time.Minute) // newer than any window that has passed when it is used
	for _, c := range []struct {
		name  string
		conn  connUse
		err   error
		reset bool
	}{
		{"reset", connUse{got: true, at: now}, &net.OpError{Op: "read", Err: syscall.ECONNRESET}, true},
		{"write fails", connUse{got: true, at: now}, &net.OpError{Op: "write", Err: syscall.EPIPE}, true},
		{"before the write", connUse{got: true, at: now}, sageconn.ErrStale, true},
		{"closed", connUse{got: true, at: now}, io.EOF, false},
		{"no connection", connUse{}, syscall.ECONNREFUSED, false},
		{"reused", connUse{got: true, at: now, reused: true}, syscall.ECONNRESET, false},
		{"while it answered", connUse{got: true, at: now, answered: true}, syscall.ECONNRESET, false},
		{"late", connUse{got: true, at: now.Add(-time.Hour)}, syscall.ECONNRESET, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil})
			s := f.service()
			x := &exchange{j: &job{s: s}, p: f.Pick(&Query{Service: "s"}), conn: c.conn}
			for range 6 {
				require.Nil(t, s.connLimits.enter(sageclock.Now(), x.address(), 0))
			}
			x.recordReset(c.err)
			require.Equal(t, c.reset, s.connLimits.addresses[x.address()].limit() == 3)
		})
	}
}

// Prevents breaks of reused connections whose upstream still runs from going unlearnt, and crashes from being taken for them.
func TestBreakOnReuseLowersIdleBound(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": crash})
			if stopped {
				f.stopped = []string{"a"}
			}
			s := f.service()
			x := &exchange{j: &job{s: s, r: testRequest(t.Context(), nil, "")}, p: f.Pick(&Query{Service: "s"}), conn: connUse{got: true, reused: true, idle: time.Second}}
			x.checkCrash()
			time.Sleep(2 * crashProbeDelay)
			synctest.Wait()
			require.Equal(t, stopped, s.idleBounds.allows(sageclock.Now(), "s", time.Second, true))
		})
	}
}

// Prevents a response that waits for buffer space from being taken for a stall, and its request from being sent again.
func TestWaitForBufferSpaceIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		answer := respond(200, sealHeader, strings.Repeat("x", size))
		f := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": answer, "b": answer})
		s := f.service()
		s.MaxBufferedBytes = size / 4
		require.True(t, s.buffers.tryReserve(size/4, 0))
		held := &reservation{budget: &s.buffers}
		require.NoError(t, held.grow(t.Context(), 1, s.MaxBufferedBytes)) // takes the overdraft
		time.AfterFunc(2*time.Second, held.release)
		require.Equal(t, size, f.callOn(t.Context(), s, nil, "").Body.Len())
		require.Len(t, f.sent, 1)
	})
}

// Prevents upstreams that forget idle connections from costing more than a handful of requests.
func TestForgottenConnectionsEndReuse(t *testing.T) {
	for _, c := range []struct {
		name string
		// forget handles a request on a connection that the upstream has forgotten.
		forget func(net.Conn)
	}{
		{"silently", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }},
		{"with a reset", func(c net.Conn) { _ = c.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": nil, "b": nil})
				f.retryBudget = 100
				s := f.service()
				var forgotten atomic.Int64
				answer := respond(200, sealHeader, "ok")
				s.Dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer func() { _ = far.Close() }()
						r := bufio.NewReader(far)
						for first := true; ; first = false {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, req.Body)
							if !first {
								forgotten.Add(1)
								c.forget(far)
								return
							}
							answer(far, req)
						}
					}()
					return near, nil
				}
				for i := range 40 {
					w := httptest.NewRecorder()
					s.ServeHTTP(w, testRequest(t.Context(), nil, "body"))
					if i >= 20 {
						require.Equal(t, http.StatusOK, w.Code)
					}
					time.Sleep(time.Second)
				}
				require.LessOrEqual(t, forgotten.Load(), int64(maxTimeouts+1))
				require.Positive(t, forgotten.Load())
				s.toUpstreams().pooled.CloseIdleConnections()
			})
		})
	}
}

// Prevents requests without a body from reaching upstreams with one, or with a header that announces one.
func TestRequestWithoutBodyIsForwardedWithoutOne(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodPost} {
		var got *http.Request
		u := newKeepingUpstream(t, func(_ http.ResponseWriter, r *http.Request) { got = r })
		s := serviceBefore(t, u, testRoute(sageroute.Idempotent))
		req := testRequest(t.Context(), nil, "")
		req.Method, req.Body, req.ContentLength = method, http.NoBody, 0
		s.ServeHTTP(httptest.NewRecorder(), req)
		require.Equal(t, method, got.Method)
		require.Zero(t, got.ContentLength, method)
		require.Empty(t, got.TransferEncoding, method)
	}
}
