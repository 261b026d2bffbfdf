package sagemesh

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagefollow"
)

// resetPipe is a node's end of a connection in memory that the other end may have reset.
type resetPipe struct {
	net.Conn
	wasReset *atomic.Bool
}

func (c resetPipe) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.wasReset.Load() {
		err = &net.OpError{Op: "read", Net: "pipe", Err: syscall.ECONNRESET}
	}
	return n, err
}

// cutPeer returns a fetcher that gets a part of a response on each connection, which is then closed in order, reset or left open.
func cutPeer(part, end string) *Fetcher {
	f := NewFetcher()
	f.HTTP.Transport.(*sageconn.Transport).Base.DialContext = sageconn.Dialer(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		wasReset := new(atomic.Bool)
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			if part != "" { // a write of nothing blocks on a pipe
				if _, err := io.WriteString(far, part); err != nil {
					return
				}
			}
			wasReset.Store(end == "reset")
			if end == "open" {
				_, _ = io.Copy(io.Discard, far) // until the node closes it
			}
		}()
		return resetPipe{near, wasReset}, nil
	})
	return f
}

// Prevents a copy of a peer that ends inside its response from being taken for a whole one.
func TestResponsesOfPeersCutAnywhere(t *testing.T) {
	content := delta(3)
	content.Full, content.AsOf = true, 70
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	require.NoError(t, encodeDelta(z, content))
	require.NoError(t, z.Close())
	body := zipped.String()
	head := "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + asOfHeader + ": 90\r\n"
	length, chunks := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "Transfer-Encoding: chunked\r\n\r\n"
	chunked := fmt.Sprintf("14\r\n%s\r\n%x\r\n%s\r\n0\r\nT: 1\r\n\r\n", body[:20], len(body)-20, body[20:])
	for _, r := range []struct{ name, head, body string }{
		{"length", head + length, body},
		{"chunks", head + chunks, chunked},
		{"no length", head + "\r\n", body},
		{"LF", strings.ReplaceAll(head+length, "\r\n", "\n"), body},
		{"103", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + chunks, chunked},
	} {
		for _, end := range []string{"closed", "reset", "open"} {
			t.Run(r.name+"/"+end, func(t *testing.T) {
				text, fetched := r.head+r.body, 0
				for cut := range len(text) + 1 {
					synctest.Test(t, func(t *testing.T) {
						f := cutPeer(text[:cut], end)
						got, err := f.Fetch(t.Context(), "peer:80", "k", sagefollow.Point{})
						f.HTTP.CloseIdleConnections()
						if err != nil {
							return
						}
						fetched++
						require.Greater(t, cut, len(r.head))
						require.Equal(t, uint64(90), got.AsOf, cut)
						require.Equal(t, content.Changes, got.Changes, cut)
						require.True(t, got.Full)
					})
				}
				require.Positive(t, fetched)
			})
		}
	}
}
