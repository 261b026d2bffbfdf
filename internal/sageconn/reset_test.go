package sageconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// swallowedReset is a connection whose other end sends a part of a response and resets it while a request is being written. The write
// gets the reset, as the kernel reports it once, and the reads find the end of the data.
type swallowedReset struct {
	net.Conn
	part     io.Reader
	written  chan struct{} // closed when the request is being written
	reported chan struct{} // closed once the write has got the reset
}

func newSwallowedReset(part string) *swallowedReset {
	return &swallowedReset{part: strings.NewReader(part), written: make(chan struct{}), reported: make(chan struct{})}
}

func (c *swallowedReset) Write([]byte) (int, error) {
	close(c.written)
	defer close(c.reported)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *swallowedReset) Read(b []byte) (int, error) {
	<-c.written
	if n, err := c.part.Read(b); err == nil {
		return n, nil
	}
	<-c.reported
	return 0, io.EOF
}

func (c *swallowedReset) Close() error { return nil }

// Prevents a part of a response from counting as complete because a write of the request got the reset of the connection, so that the
// read of the response finds the end of the data without an error.
func TestEndOfDataAfterFailedWrite(t *testing.T) {
	c := Wrap(newSwallowedReset("part"))
	ended := make(chan error, 1)
	go func() {
		b, err := io.ReadAll(c)
		require.Equal(t, "part", string(b))
		ended <- err
	}()
	_, err := c.Write([]byte("request"))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// Prevents a client of any kind from taking the part of a response without length that precedes a reset during the upload for all of it.
func TestResetDuringUpload(t *testing.T) {
	const uploads, bodyBytes, readBytes = 50, 6 << 20, 1000
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, readBytes))
				time.Sleep(2 * time.Millisecond) // the buffers are full, and the client's write waits
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\npart")
				_ = conn.Close() // resets it, as the request isn't read
			}()
		}
	}()
	for name, owner := range map[string]func(*http.Response) Owner{"examined": ownerOf, "not examined": nil} {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{DialContext: Dialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, l.Addr().String())
			})}
			defer transport.CloseIdleConnections()
			whole := 0
			for range uploads {
				tr := &Tracker{AtMostOnce: true, Owner: owner}
				req, err := http.NewRequestWithContext(tr.WithTrace(t.Context()), http.MethodPost, "http://runner/", bufio.NewReader(strings.NewReader(strings.Repeat("b", bodyBytes))))
				require.NoError(t, err)
				res, err := tr.RoundTrip(transport, req)
				if err != nil {
					continue
				}
				if _, err = io.ReadAll(res.Body); err == nil {
					whole++
				}
				_ = res.Body.Close()
			}
			require.Zero(t, whole, "of %d", uploads)
		})
	}
}
