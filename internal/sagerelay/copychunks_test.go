package sagerelay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a response from being lost behind a late copy whose chunk lines end with LF alone.
func TestCopyInChunksWithLineFeedsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
		s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
			text := responseText(200, req.Header.Get(testID), sealHeader, "from a")
			if n > 1 {
				text = strings.ReplaceAll("HTTP/1.1 503 x\r\n"+testID+": id1\r\n"+testNotRun+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n", "\r\n", "\n") + text
			}
			_, err := io.WriteString(c, text)
			return err == nil
		})
		proveReuse(s)
		serveID(t, s, "id1")
		synctest.Wait()
		w := serveID(t, s, "id2")
		s.toUpstreams().pooled.CloseIdleConnections()
		require.Equal(t, http.StatusOK, w.Code)
	})
}
