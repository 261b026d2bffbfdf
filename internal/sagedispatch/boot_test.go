package sagedispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

// bootConn is a connection that reports the given boot id.
type bootConn struct {
	net.Conn
	boot string
}

func (c *bootConn) BootID() string { return c.boot }

// Prevents sending a cold engine the load of a warm one: an engine may restart after a request was assigned to
// it and before the request is sent. An attempt for another boot than the connection's must count as not run.
func TestAttemptForAnotherBootIsNotSent(t *testing.T) {
	var served atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set(sagewire.HeaderRequestID, r.Header.Get(sagewire.HeaderRequestID))
	}))
	defer srv.Close()
	d := &Dispatcher{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &bootConn{Conn: c, boot: "second"}, err
	}}
	defer d.Close()
	for _, c := range []struct {
		boot string
		want sagewire.Outcome
		sent int64
	}{{"second", sagewire.Complete, 1}, {"first", sagewire.NotRun, 1}, {"", sagewire.Complete, 2}} {
		a := newAttempt(strings.TrimPrefix(srv.URL, "http://"))
		a.BootID = c.boot
		res := d.Do(context.Background(), httptest.NewRecorder(), a)
		require.Equal(t, c.want, res.Outcome, "attempt for boot %q: %s", c.boot, res.Detail)
		require.Equal(t, c.sent, served.Load())
	}
}
