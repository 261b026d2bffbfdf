package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
)

// endlessSlack is what a connection reads ahead of a limit.
const endlessSlack = 64 << 10

// endlessHead is the head of a response before bytes that never end.
const endlessHead = "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n" + sealHeader

// Prevents bytes that never end from filling a node's memory or holding a request, and from changing the outcome of others.
func TestEndlessResponse(t *testing.T) {
	const events = endlessHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	chunk := "3e8\r\n" + line + "\r\n"
	for _, c := range []struct {
		name, head, more string
		limit            int64
		stream           bool
		status           int
	}{
		{"many headers", "HTTP/1.1 200 OK\r\n", "H: " + line + "\r\n", sageheader.MaxResponseBytes, false, 502},
		{"header without end", "HTTP/1.1 200 OK\r\nH: ", line, sageheader.MaxResponseBytes, false, 502},
		{"status line", "HTTP/1.1 200 ", line, sageheader.MaxResponseBytes, false, 502},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nH: " + line + "\r\n\r\n", sageheader.MaxResponseBytes, false, 502},
		{"no response", "", line, sageheader.MaxResponseBytes, false, 502},
		{"beyond the stated length", endlessHead + "Content-Length: 2\r\n\r\nok", line, 0, false, 200},
		{"chunks", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", chunk, maxPlainResponseBytes, false, 502},
		{"chunk extension", endlessHead + "Transfer-Encoding: chunked\r\n\r\n3e8;", line, 0, false, 502},
		{"chunk extensions", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + line + "\r\nx\r\n", maxPlainResponseBytes, false, 502},
		{"trailer", endlessHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "T: " + line + "\r\n", 0, false, 502},
		{"without length", endlessHead + "\r\n", line, maxPlainResponseBytes, false, 502},
		{"error without length", strings.Replace(endlessHead, "200 OK", "500 No", 1) + "\r\n", line, maxPlainResponseBytes, false, 502},
		{"rejection", "HTTP/1.1 503 No\r\n" + testID + ": id1\r\n" + testNotRun + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 0, false, 503},
		{"foreign response", "HTTP/1.1 200 OK\r\n" + testID + ": id0\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 0, false, 502},
		{"event", events, chunk, maxEventBytes, true, 502},
		{"lines of an event", events, "b\r\ndata: more\n\r\n", maxEventBytes * 2, true, 502},
		{"blank lines", events, "2\r\n\n\n\r\n", maxEventBytes * 4, true, 502},
		{"the same event", events, "7\r\nid: 1\n\n\r\n", 0, true, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := testRoute(sageroute.Once)
				if c.stream {
					r = testRoute(sageroute.Stream)
					r.Resumable = false
				}
				var written atomic.Int64
				closed := make(chan struct{})
				f := newFakeFleet(t, r, map[string]upstream{"a": func(w net.Conn, _ *http.Request) {
					defer close(closed)
					if _, err := io.WriteString(w, c.head); err != nil {
						return
					}
					for {
						n, err := io.WriteString(w, c.more)
						written.Add(int64(n))
						if err != nil {
							return
						}
					}
				}})
				s := f.service()
				s.MaxBufferedBytes = maxPlainResponseBytes
				start := time.Now()
				out := f.callOn(t.Context(), s, nil, "body")
				require.Equal(t, c.status, out.Code)
				require.Zero(t, time.Since(start), "it isn't held until its deadline")
				<-closed
				require.LessOrEqual(t, written.Load(), c.limit+endlessSlack)
				require.Zero(t, s.buffers.inUse())
				require.Empty(t, f.unanswered, "bytes prove the path")
				if c.status == http.StatusBadGateway {
					require.Equal(t, []sagehealth.Result{sagehealth.Broken}, f.results)
				}
			})
		})
	}
}

// Prevents endless bytes that come slowly from holding a request beyond its deadline.
func TestSlowEndlessResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nH: ", endlessHead + "\r\n", endlessHead + "Transfer-Encoding: chunked\r\n\r\n3e8;", ""} {
		synctest.Test(t, func(t *testing.T) {
			closed := make(chan struct{})
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": func(w net.Conn, _ *http.Request) {
				defer close(closed)
				for b := head; ; b = "x" {
					if _, err := io.WriteString(w, b); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}})
			start := time.Now()
			require.Equal(t, http.StatusGatewayTimeout, f.call(t.Context(), nil, "body").Code, "it may have run")
			require.Equal(t, testRoute(sageroute.Once).Timeout, time.Since(start))
			<-closed
		})
	}
}

// Prevents the streams of several faulty upstreams from taking more memory than responses may.
func TestLargeEventsShareBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, size = 40, 64 << 10
		r := testRoute(sageroute.Stream)
		r.Resumable = false
		text := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
		var s *Service
		var most atomic.Int64
		f := newFakeFleet(t, r, map[string]upstream{"a": func(w net.Conn, _ *http.Request) {
			if _, err := fmt.Fprintf(w, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", endlessHead, len(text), text[:size]); err != nil {
				return
			}
			most.Store(max(most.Load(), s.buffers.inUse()))
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, text[size:]) // fails only if the node has closed the connection
		}})
		s = f.service()
		s.MaxBufferedBytes = 4 * size
		bodies := make(chan int, streams)
		for range streams {
			go func() { bodies <- f.callOn(t.Context(), s, nil, "").Body.Len() }()
		}
		for range streams {
			require.Equal(t, len(text), <-bodies)
		}
		require.LessOrEqual(t, most.Load(), s.MaxBufferedBytes+size)
		require.Zero(t, s.buffers.inUse())
	})
}
