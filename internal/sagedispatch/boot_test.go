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

// bootedConn leads to a boot named by its dialer.
type bootedConn struct {
	net.Conn
	boot string
}

func (c *bootedConn) BootID() string { return c.boot }

// Story: an engine restarts between the moment at which a request gets its unit and the moment at
// which it is sent. The cold engine gets the load of the warm one and falls over. An attempt for
// another boot than that of the connection must not leave, and count as not run.
func TestAttemptForAnotherBootIsNotSent(t *testing.T) {
	var served atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set(sagewire.HeaderRequestID, r.Header.Get(sagewire.HeaderRequestID))
	}))
	defer srv.Close()
	d := &Dispatcher{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &bootedConn{Conn: c, boot: "second"}, err
	}}
	defer d.Close()
	for _, c := range []struct {
		boot string
		want sagewire.Outcome
		sent int64
	}{{"second", sagewire.Complete, 1}, {"first", sagewire.NotRun, 1}, {"", sagewire.Complete, 2}} {
		a := attempt(strings.TrimPrefix(srv.URL, "http://"))
		a.BootID = c.boot
		res := d.Do(context.Background(), httptest.NewRecorder(), a)
		require.Equal(t, c.want, res.Outcome, "attempt for boot %q: %s", c.boot, res.Detail)
		require.Equal(t, c.sent, served.Load())
	}
}
