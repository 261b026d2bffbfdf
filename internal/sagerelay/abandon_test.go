package sagerelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// rawUpstream is an upstream that reads the head of one request on each connection and then does what its test says.
type rawUpstream struct {
	net.Listener
	// ends receives how the node ended each connection: io.EOF, or syscall.ECONNRESET.
	ends chan error
}

// newRawUpstream returns an upstream that calls answer after the head of a request. readBuffer is the size of its receive
// buffers; 0 is the default.
func newRawUpstream(t *testing.T, readBuffer int, answer func(c net.Conn, req *http.Request)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	if readBuffer > 0 {
		raw, err := l.(*net.TCPListener).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			require.NoError(t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer))
		}))
	}
	u := &rawUpstream{Listener: l, ends: make(chan error, 10)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, answer)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn, answer func(c net.Conn, req *http.Request)) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
	if err != nil {
		return
	}
	answer(c, req)
	_, err = io.Copy(io.Discard, c)
	if err == nil {
		err = io.EOF
	}
	u.ends <- err
}

// requireEnd requires that the node ends a connection in a way.
func (u *rawUpstream) requireEnd(t *testing.T, want error) {
	t.Helper()
	select {
	case err := <-u.ends:
		require.ErrorIs(t, err, want)
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// fleetBefore returns a fleet and a service with the upstream u, and others as given.
func fleetBefore(t *testing.T, u *rawUpstream, r sageroute.Route, others map[string]upstream) (*fakeFleet, *Service) {
	t.Helper()
	ups := map[string]upstream{"a": nil}
	for name, up := range others {
		ups[name] = up
	}
	f := newFakeFleet(t, r, ups)
	tab, err := sageroute.New(1, []sageroute.Route{r}, nil, []sageroute.Account{{Name: "acc", Keys: []string{"good"}}}, sageroute.Limits{BodyBytes: 16 << 20})
	require.NoError(t, err)
	f.table = tab
	s := f.service()
	s.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == "a:80" {
			return new(net.Dialer).DialContext(ctx, network, u.Addr().String())
		}
		return f.dial(ctx, network, address)
	}
	t.Cleanup(s.CloseIdleConnections)
	return f, s
}

// Prevents a request that was given up from being delivered, and executed, when a partition that holds its bytes heals: the
// kernel sends them after a close in order.
func TestAbandonedRequestsAreReset(t *testing.T) {
	const large = 8 << 20
	short := testRoute(sageroute.Once)
	short.Timeout = 200 * time.Millisecond
	stream := testRoute(sageroute.Stream)
	for _, c := range []struct {
		name  string
		route sageroute.Route
		body  int
		// answer is what the upstream sends before the request is given up.
		answer string
		// giveUp lets the node give up the request, once the upstream has read its head; nil if it does so by itself.
		giveUp func(f *fakeFleet, s *Service, leave func())
		// others are upstreams that the request may be sent to next.
		others map[string]upstream
	}{
		{name: "caller leaves", route: testRoute(sageroute.Once), giveUp: func(_ *fakeFleet, _ *Service, leave func()) { leave() }},
		{name: "caller of an idempotent request leaves", route: testRoute(sageroute.Idempotent), giveUp: func(_ *fakeFleet, _ *Service, leave func()) { leave() }},
		{name: "caller leaves while the body is sent", route: testRoute(sageroute.Once), body: large, giveUp: func(_ *fakeFleet, _ *Service, leave func()) { leave() }},
		{name: "caller leaves after the head of the response", route: testRoute(sageroute.Once), body: large, answer: "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Length: 9\r\n\r\nx",
			giveUp: func(_ *fakeFleet, _ *Service, leave func()) { leave() }},
		{name: "caller of a stream leaves", route: stream, answer: "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
			giveUp: func(_ *fakeFleet, _ *Service, leave func()) { leave() }},
		{name: "deadline", route: short},
		{name: "no response, sent elsewhere", route: testRoute(sageroute.Idempotent), others: map[string]upstream{"b": respond(200, sealHeader, "ok")}},
		{name: "response that is no response", route: testRoute(sageroute.Once), answer: "nonsense\r\n\r\n"},
		{name: "response of another request", route: testRoute(sageroute.Once), answer: "HTTP/1.1 200 OK\r\n" + testID + ": other\r\n" + testSeal + ": s\r\nContent-Length: 0\r\n\r\n"},
		{name: "quarantined", route: testRoute(sageroute.Once), giveUp: func(_ *fakeFleet, s *Service, _ func()) {
			x := s.sending.list()[0]
			for i := range 5 {
				s.Quarantine.RecordCrash(sageclock.Now(), sagequarantine.Crash{ID: sagequarantine.CrashID(i + 1), At: sageclock.Now()}, x.j.suspects()...)
			}
			s.CancelQuarantined(1)
		}},
		{name: "held up on the way to a closed data centre", route: testRoute(sageroute.Once), body: large, giveUp: func(f *fakeFleet, s *Service, _ func()) {
			f.unusable.Store(true)
			s.CancelUndelivered()
			time.Sleep(maxUndelivered)
			s.CancelUndelivered()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			head, read := make(chan struct{}), make(chan struct{})
			u := newRawUpstream(t, 4096, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, c.answer)
				close(head)
				<-read
			})
			f, s := fleetBefore(t, u, c.route, c.others)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { _ = recover() }() // aborts the caller's connection
				s.ServeHTTP(httptest.NewRecorder(), testRequest(ctx, nil, strings.Repeat("x", c.body)))
			}()
			<-head
			if c.giveUp != nil {
				time.Sleep(50 * time.Millisecond) // the exchange waits for the rest of the response
				c.giveUp(f, s, leave)
			}
			<-done
			close(read)
			u.requireEnd(t, syscall.ECONNRESET)
		})
	}
}

// Prevents requests that have arrived from being cancelled, as they may be at work, and those to upstreams that may get more.
func TestDeliveredRequestsStay(t *testing.T) {
	for _, c := range []struct {
		name     string
		body     int
		unusable bool
	}{
		{"arrived at a closed data centre", 10, true},
		{"on its way to an open one", 8 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			head, end := make(chan struct{}), make(chan struct{})
			u := newRawUpstream(t, 4096, func(conn net.Conn, req *http.Request) {
				close(head)
				<-end
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": id1\r\n"+testSeal+": s\r\nContent-Length: 2\r\n\r\nok")
			})
			f, s := fleetBefore(t, u, testRoute(sageroute.Once), nil)
			out := make(chan string)
			go func() { out <- serve(t, s, strings.Repeat("x", c.body)).Body.String() }()
			<-head
			f.unusable.Store(c.unusable)
			s.CancelUndelivered()
			time.Sleep(maxUndelivered)
			s.CancelUndelivered()
			close(end)
			require.Equal(t, "ok", <-out)
		})
	}
}

// Prevents a reset of a connection whose request was answered or rejected: upstreams may take it for a failure.
func TestAnsweredConnectionsAreClosedInOrder(t *testing.T) {
	for name, response := range map[string]string{
		"answered, closes":    "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"answered, kept":      "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Length: 2\r\n\r\nok",
		"answered, in chunks": "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"without a body":      "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Length: 0\r\n\r\n",
		"rejected":            "HTTP/1.1 503 Service Unavailable\r\n" + testID + ": id1\r\n" + testNotRun + ": 1\r\nContent-Length: 9\r\n\r\nno",
		"stream": "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + testSeal + ": s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, 0, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, response) })
			kind := sageroute.Once
			if name == "stream" {
				kind = sageroute.Stream
			}
			_, s := fleetBefore(t, u, testRoute(kind), nil)
			serve(t, s, "")
			s.CloseIdleConnections()
			u.requireEnd(t, io.EOF)
		})
	}
}
