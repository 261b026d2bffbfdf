package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents the beginning of a late copy's head from merging with the head of the next response on the connection: a booking
// that ran would be refused as not run, or sent again, and an error would be passed on as a success.
func TestCutHeadOfLateCopyBeforeResponse(t *testing.T) {
	late := map[string]string{
		"rejection":  responseText(503, "id1", testNotRun+": 1\r\n", "late"),
		"misdirects": responseText(421, "id1", "", "late"),
		"success":    responseText(200, "id1", sealHeader, "late"),
		"error":      responseText(500, "id1", sealHeader, "late"),
		"early":      "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n",
	}
	// The ID comes last, so that the head can be cut before it.
	late["rejection before its ID"] = "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\n" + testID + ": id1\r\nContent-Length: 0\r\n\r\n"
	for name, head := range late {
		for _, ownStatus := range []int{200, 500} {
			t.Run(fmt.Sprintf("%s/%d", name, ownStatus), func(t *testing.T) {
				end := strings.Index(head, "\r\n\r\n") + len("\r\n\r\n")
				for cut := 1; cut < end; cut++ {
					synctest.Test(t, func(t *testing.T) { checkCutHead(t, head[:cut], ownStatus) })
				}
			})
		}
	}
}

// checkCutHead sends a booking on a reused connection on which the beginning of another response precedes its own.
func checkCutHead(t *testing.T, cut string, ownStatus int) {
	f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
	s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
		if n == 1 {
			_, err := io.WriteString(c, responseText(200, "id1", sealHeader, "first"))
			return err == nil
		}
		_, err := io.WriteString(c, cut+responseText(ownStatus, req.Header.Get(testID), sealHeader, "from a"))
		return err == nil
	})
	proveReuse(s)
	serveID(t, s, "id1")
	synctest.Wait()
	w := serveID(t, s, "id2")
	s.toUpstreams().pooled.CloseIdleConnections()
	if strings.HasPrefix(cut, "HTTP/1.1 503 S") {
		require.Equal(t, uint64(1), foreignResponses(s, "merged"), "%q", cut)
	}
	require.Len(t, f.sent, 2, "%q: a booking that ran is not sent again", cut)
	switch w.Code {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		require.Empty(t, w.Header().Get(testSeal), "%q", cut)
	default:
		require.Equal(t, ownStatus, w.Code, "%q: the status is that of the upstream's response", cut)
		require.Equal(t, "from a", w.Body.String(), "%q", cut)
	}
}

// Prevents a response whose lines end with LF alone, which net/http accepts, from being held back until the request's
// deadline.
func TestHeadWithLineFeedsAlone(t *testing.T) {
	for _, status := range []int{200, 503} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
			s := scriptedService(f, func(c net.Conn, _ int, req *http.Request) bool {
				header := sealHeader
				if status == 503 {
					header = testNotRun + ": 1\r\n"
				}
				head, body, _ := strings.Cut(responseText(status, req.Header.Get(testID), header, "from a"), "\r\n\r\n")
				_, err := io.WriteString(c, strings.ReplaceAll(head, "\r\n", "\n")+"\n\n"+body)
				return err == nil
			})
			w := serveID(t, s, "id1")
			s.toUpstreams().pooled.CloseIdleConnections()
			require.Equal(t, 200, w.Code)
			require.Equal(t, map[int]string{200: "from a", 503: "from b"}[status], w.Body.String())
		})
	}
}
