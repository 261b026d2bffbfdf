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

// Prevents the beginning of a rejection that belongs to no request from merging with the head of the first response on a
// connection: a booking that ran would be refused as not run, or sent again.
func TestCutHeadBeforeFirstResponse(t *testing.T) {
	for name, head := range unidentifiedRejections() {
		t.Run(name, func(t *testing.T) {
			end := strings.Index(head, "\r\n\r\n") + len("\r\n\r\n")
			for cut := 1; cut < end; cut++ {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
					s := scriptedService(f, func(c net.Conn, _ int, req *http.Request) bool {
						_, err := io.WriteString(c, head[:cut]+responseText(200, req.Header.Get(testID), sealHeader, "from a"))
						return err == nil
					})
					w := serveID(t, s, "id1")
					s.toUpstreams().pooled.CloseIdleConnections()
					require.Len(t, f.sent, 1, "%q: a booking that ran is not sent again", head[:cut])
					require.Contains(t, []int{http.StatusBadGateway, http.StatusOK}, w.Code, "%q", head[:cut])
				})
			}
		})
	}
}

// Prevents the beginning of a rejection that belongs to no request from being believed since the head with which it merges is
// too long to be examined.
func TestCutHeadBeforeLongHead(t *testing.T) {
	for _, size := range []int{31 << 10, 32<<10 - 200, 32<<10 - 100, 32 << 10, 33 << 10, 34 << 10, 35 << 10, 36 << 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
			s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
				out := responseText(200, req.Header.Get(testID), sealHeader, "from a")
				if n > 1 {
					long := responseText(200, req.Header.Get(testID), sealHeader+"Long: "+strings.Repeat("x", size)+"\r\n", "from a")
					out = "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\n" + long
				}
				_, err := io.WriteString(c, out)
				return err == nil
			})
			proveReuse(s)
			serveID(t, s, "id1")
			synctest.Wait()
			w := serveID(t, s, "id2")
			s.toUpstreams().pooled.CloseIdleConnections()
			require.Len(t, f.sent, 2, "%d: a booking that ran is not sent again", size)
			require.Equal(t, http.StatusBadGateway, w.Code, "%d", size)
		})
	}
}

// Prevents the beginning of a success that belongs to no request from giving its status to the failure that is the first response
// on a connection.
func TestCutSuccessBeforeFirstFailure(t *testing.T) {
	for _, before := range []string{"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nX: 1"} {
		for _, status := range []int{500, 504, 503} {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
				s := scriptedService(f, func(c net.Conn, _ int, req *http.Request) bool {
					_, err := io.WriteString(c, before+responseText(status, req.Header.Get(testID), sealHeader, "failure"))
					return err == nil
				})
				w := serveID(t, s, "id1")
				s.toUpstreams().pooled.CloseIdleConnections()
				require.NotEqual(t, http.StatusOK, w.Code, "%q before %d", before, status)
			})
		}
	}
}
