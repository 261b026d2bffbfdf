package sagerelay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a status that ends no exchange from being passed on: callers got an empty response, and the server's panic on a status
// below 100 left the upstream's place taken.
func TestStatusThatEndsNoExchange(t *testing.T) {
	for _, status := range []string{"000", "001", "050", "099", "101"} {
		for _, header := range []string{sealHeader, testNotRun + ": 1\r\n", ""} {
			for _, kind := range []sageroute.Kind{sageroute.Once, sageroute.Idempotent, sageroute.Stream} {
				t.Run(fmt.Sprintf("%s/%s/%q", status, kind, header), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						route := testRoute(kind)
						route.Resumable = false
						f := newFakeFleet(t, route, map[string]upstream{"a": func(c net.Conn, _ *http.Request) {
							writeAndEnd(c, "HTTP/1.1 "+status+" X\r\n"+testID+": id1\r\n"+header+"Content-Length: 1\r\n\r\nx", endOpen)
						}, "b": respond(200, sealHeader, "from b")})
						out := f.call(t.Context(), nil, "body")
						require.False(t, out.aborted)
						if route.Repeatable() {
							require.Equal(t, http.StatusOK, out.Code)
							require.Equal(t, "from b", out.Body.String())
							return
						}
						require.Equal(t, http.StatusBadGateway, out.Code)
						require.Len(t, f.requests(), 1)
					})
				})
			}
		}
	}
}
