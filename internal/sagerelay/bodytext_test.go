package sagerelay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a complete body from being lost because its first words are those of a status line, which it can't be the beginning of.
func TestBodyThatBeginsWithHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = "HTTP/1.1 is a version of HTTP"
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil})
		s := scriptedService(f, func(c net.Conn, _ int, req *http.Request) bool {
			_, err := io.WriteString(c, responseText(200, req.Header.Get(testID), sealHeader, body))
			return err == nil
		})
		proveReuse(s)
		serveID(t, s, "id1")
		synctest.Wait()
		w := serveID(t, s, "id2")
		s.toUpstreams().pooled.CloseIdleConnections()
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, body, w.Body.String())
	})
}
