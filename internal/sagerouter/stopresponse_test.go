package sagerouter

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sagerelay"
)

// singleListener accepts one connection.
type singleListener struct {
	conn chan net.Conn
	done chan struct{}
}

func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *singleListener) Addr() net.Addr { return new(net.TCPAddr) }

// Prevents a stopping node from closing a connection before the response of its last request is written, which then has no answer.
func TestStopWritesResponsesBeforeItCloses(t *testing.T) {
	const (
		within = 8 * time.Second
		write  = 50 * time.Millisecond // between the end of a request and its response
	)
	for _, tt := range []struct {
		server string
		ends   time.Duration // after the stop
		status int
	}{
		{entryName, within - exitMargin, http.StatusBadGateway},
		{peersName, 0, http.StatusOK},
	} {
		t.Run(tt.server, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &singleListener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
				n := &Node{mesh: new(sagemesh.Service), relay: new(sagerelay.Service), Log: sagelog.New(io.Discard, "vm1")}
				n.Settings.Bounds.StopWithinSeconds = within.Seconds()
				started := make(chan struct{})
				s := &server{name: tt.server, listener: l, node: n, http: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					close(started)
					time.Sleep(tt.ends + write)
					w.WriteHeader(tt.status)
				})}}
				client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					ours, theirs := net.Pipe()
					l.conn <- theirs
					return ours, nil
				}}}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				go func() {
					<-started
					stop()
				}()
				resp, err := client.Get("http://node/")
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, tt.status, resp.StatusCode)
				require.NoError(t, <-done)
			})
		})
	}
}
