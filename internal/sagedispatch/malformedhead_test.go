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

// Prevents a response whose status is below 100, or whose head holds a line that is no field, from reaching callers.
func TestMalformedHeadOfUpstream(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 200 OK\r\nX Odd: 1", "HTTP/1.1 200 OK\r\nX\x01Odd: 1", "HTTP/1.1 200 OK\r\nContent Length: 900", "HTTP/1.1 200 OK\r\nContent-Length : 1"} {
		t.Run(head, func(t *testing.T) {
			s := startUpstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
				_, err := fmt.Fprintf(c, "%s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", head, sagewire.HeaderRequestID, req.Header.Get(sagewire.HeaderRequestID))
				return err == nil
			})
			d := &Dispatcher{}
			defer d.Close()
			w := httptest.NewRecorder()
			res := d.Do(t.Context(), w, newAttempt(s.address()))
			require.Equal(t, sagewire.Unknown, res.Outcome, "status %d", w.Code)
			require.False(t, res.ResponseStarted)
			require.Empty(t, w.Body.String())
		})
	}
}
