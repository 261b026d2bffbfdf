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

// Prevents the status of a late copy that was cut off inside its head from becoming that of the next response on the connection.
func TestCutHeadOfLateCopyBeforeResponse(t *testing.T) {
	for _, cut := range []string{"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX: y", "HTTP/1.1 503 Service Unavailable\r\n" + sagewire.HeaderNotRun + ": true\r\nX: "} {
		t.Run(cut, func(t *testing.T) {
			s := startUpstream(t, func(n int64, c net.Conn, req *http.Request) bool {
				id := req.Header.Get(sagewire.HeaderRequestID)
				if n == 1 {
					writeResponse(c, id, "ok")
					return true
				}
				_, err := fmt.Fprintf(c, "%sHTTP/1.1 404 Not Found\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", cut, sagewire.HeaderRequestID, id)
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
			require.Equal(t, sagewire.Unknown, res.Outcome, "status %d", w.Code)
		})
	}
}
