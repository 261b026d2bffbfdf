package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents bytes whose first line net/http reads as a status line, although HTTP/1 has no such line, from turning a response into
// "not run" together with what follows them.
func TestBytesLikeAStatusLine(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 503 X", "HTTP/3.7 503 X", "HTTP/0.9 503 X", "HTTP/1.1  503 X", "HTTP/1.1   421 X"} {
		for _, header := range []string{"", "\r\n" + testNotRun + ": 1", "\r\n" + testNotRun + ": 1\r\n", "\r\n" + testNotRun + ": 1\r\n\r\n", "\r\n" + testNotRun + ": 1\r\nid: 1\n\n"} {
			for _, ownLine := range []string{"HTTP/1.1 200 OK", line} {
				t.Run(fmt.Sprintf("%q/%q/%s", line, header, ownLine), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
						s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
							out := ownLine + "\r\n" + testID + ": " + req.Header.Get(testID) + "\r\n" + sealHeader + "Content-Length: 6\r\n\r\nfrom a"
							if n == 1 {
								out = responseText(200, "id1", sealHeader, "first")
							} else {
								out = line + header + out
							}
							_, err := io.WriteString(c, out)
							return err == nil
						})
						proveReuse(s)
						serveID(t, s, "id1")
						synctest.Wait()
						w := serveID(t, s, "id2")
						s.CloseIdleConnections()
						require.Equal(t, http.StatusBadGateway, w.Code)
						require.Len(t, f.requests(), 2, "a booking that ran is not sent again")
					})
				})
			}
		}
	}
}
