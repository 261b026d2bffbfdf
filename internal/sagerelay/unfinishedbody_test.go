package sagerelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents the connection of a caller that doesn't finish its body from being held after its request was answered with 504.
func TestUnfinishedBodyEndsConnection(t *testing.T) {
	for _, head := range []string{"Content-Length: 90\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5a\r\n"} {
		r := testRoute(sageroute.Once)
		r.Timeout = 100 * time.Millisecond
		f := newFakeFleet(t, r, map[string]upstream{"a": respond(200, sealHeader, "")})
		s := f.service()
		srv := httptest.NewServer(s)
		defer srv.CloseClientConnections()
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s: id1\r\n%s: good\r\n%sbegin", testID, testKey, head)
		require.NoError(t, err)
		br := bufio.NewReader(c)
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
		at := time.Now()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(4*time.Second)))
		_, err = br.ReadByte()
		t.Logf("after %v: %v", time.Since(at), err)
		require.ErrorIs(t, err, io.EOF, "the connection is closed after the answer")
	}
}
