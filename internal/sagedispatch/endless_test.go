package sagedispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagewire"
)

// stuckWriter is a response writer whose caller reads nothing until the test's end.
type stuckWriter struct {
	http.ResponseWriter
	end <-chan struct{}
}

// Write implements [io.Writer].
func (w stuckWriter) Write([]byte) (int, error) {
	<-w.end
	return 0, errors.New("caller gone")
}

// Prevents responses of an upstream that never end from filling the memory of a machine that serves, whatever part of them has no end
// and whether or not their caller reads.
func TestEndlessResponses(t *testing.T) {
	const readAhead, wait = 64 << 10, 100 * time.Millisecond
	const ok = "HTTP/1.1 200 OK\r\n"
	line := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, head, more string
		limit            int64
	}{
		{"headers", ok, "H: " + line + "\r\n", sageheader.MaxResponseBytes},
		{"header", ok + "H: ", line, sageheader.MaxResponseBytes},
		{"status line", "HTTP/1.1 200 ", line, sageheader.MaxResponseBytes},
		{"informational", "", "HTTP/1.1 103 Early Hints\r\nH: " + line + "\r\n\r\n", sageheader.MaxResponseBytes},
		{"no response", "", line, sageheader.MaxResponseBytes},
		{"without length", ok + "ID\r\n", line, 0},
		{"chunks", ok + "IDTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", DefaultMaxBufferedBytes},
		{"chunk extension", ok + "IDTransfer-Encoding: chunked\r\n\r\n3e8;", line, 0},
		{"trailer", ok + "IDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "T: " + line + "\r\n", 0},
		{"rejection", "HTTP/1.1 503 No\r\nIDTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", 0},
		{"event", ok + "IDContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", 1 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var written atomic.Int64
				closed := make(chan struct{})
				a := newAttempt("a:80")
				d := &Dispatcher{Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer close(closed)
						defer func() { _ = far.Close() }()
						req, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body) // a shorter body changes nothing
						id := sagewire.HeaderRequestID + ": " + a.RequestID + "\r\n"
						for text := strings.Replace(c.head, "ID", id, 1); ; text = c.more {
							n, err := io.WriteString(far, text)
							if written.Add(int64(n)); err != nil {
								return
							}
						}
					}()
					return near, nil
				}}
				a.Deadline, a.Stream = time.Now().Add(wait), c.name == "event"
				end := make(chan struct{})
				time.AfterFunc(wait, func() { close(end) })
				start := time.Now()
				res := d.Do(t.Context(), stuckWriter{httptest.NewRecorder(), end}, a)
				require.Equal(t, sagewire.Unknown, res.Outcome)
				require.LessOrEqual(t, time.Since(start), wait)
				<-closed
				require.LessOrEqual(t, written.Load(), c.limit+readAhead)
				d.Close()
			})
		})
	}
}
