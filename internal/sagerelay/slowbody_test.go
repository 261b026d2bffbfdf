package sagerelay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents callers that don't finish their bodies from holding buffer space beyond the deadline of their requests.
func TestUnfinishedBodies(t *testing.T) {
	const callerPatience = 10 * time.Second
	for _, head := range []string{"Content-Length: 90\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5a\r\n"} {
		r := testRoute(sageroute.Once)
		r.Timeout = 100 * time.Millisecond
		f := newFakeFleet(t, r, map[string]upstream{"a": respond(200, sealHeader, "")})
		s := f.service()
		s.MaxBufferedBytes = 1000
		srv := httptest.NewServer(s)
		defer srv.Close()
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, c.SetDeadline(time.Now().Add(callerPatience)))
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s: id1\r\n%s: good\r\n%sbegin", testID, testKey, head)
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
		require.True(t, res.Close, "the rest of the body may still come")
		require.Empty(t, f.sent)
		require.Eventually(t, func() bool { return s.buffers.inUse() == 0 }, callerPatience, time.Millisecond)
	}
}
