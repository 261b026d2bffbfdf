package sagedispatch

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Prevents a late copy that arrives between head and body from being passed on as the body of another request's success.
func TestLateCopyBetweenHeadAndBody(t *testing.T) {
	const late = "HTTP/1.1 503 Service Unavailable\r\n" + sagewire.HeaderRequestID + ": r-1\r\n" + sagewire.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
	s := startUpstream(t, func(n int64, c net.Conn, req *http.Request) bool {
		id := req.Header.Get(sagewire.HeaderRequestID)
		if n == 1 {
			writeResponse(c, id, "ok")
			return true
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s%s", sagewire.HeaderRequestID, id, len(late), late, "the own body")
		return err == nil
	})
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(s.address())
	require.Equal(t, sagewire.Complete, d.Do(t.Context(), httptest.NewRecorder(), a).Outcome)
	a.RequestID = "r-2"
	w := httptest.NewRecorder()
	res := d.Do(t.Context(), w, a)
	require.EqualValues(t, 2, s.reads.Load())
	require.Equal(t, sagewire.Unknown, res.Outcome, "status %d, body %q", w.Code, w.Body.String())
}
