package sagerelay

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a line whose field name holds a blank or a control byte from reaching callers, and such a line that net/http takes for another
// field from changing where the body ends. A request that may be repeated goes to another upstream, the others may have run.
func TestMalformedHeadOfUpstream(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\x01Odd: 1", "X\x00Odd: 1", ": 1", "odd", "Content Length: 900", "Content-Length : 1", "Transfer-Encoding : chunked", "X-Odd: a\x00b"} {
		for _, status := range []string{"000", "200", "503"} {
			for _, kind := range []sageroute.Kind{sageroute.Once, sageroute.Idempotent} {
				for _, not := range []string{"", testNotRun + ": 1\r\n"} {
					synctest.Test(t, func(t *testing.T) {
						f := newFakeFleet(t, testRoute(kind), map[string]upstream{"a": func(c net.Conn, _ *http.Request) {
							writeAndEnd(c, "HTTP/1.1 "+status+" X\r\n"+testID+": id1\r\n"+sealHeader+not+line+"\r\nContent-Length: 6\r\n\r\nfrom a", "")
						}, "b": respond(200, sealHeader, "from b")})
						f.names = []string{"a", "b"}
						out := f.call(t.Context(), nil, "body")
						if kind == sageroute.Idempotent {
							require.Equal(t, http.StatusOK, out.Code, "%s %q", status, line)
							require.Equal(t, "from b", out.Body.String())
							return
						}
						require.Equal(t, http.StatusBadGateway, out.Code, "%s %q", status, line)
						require.Len(t, f.requests(), 1, "it may have run")
						require.NotContains(t, out.Header(), "X Odd")
					})
				}
			}
		}
	}
}
