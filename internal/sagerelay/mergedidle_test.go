package sagerelay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a response of a faulty upstream from counting as a connection that broke because it was idle: the service's
// connections would be closed earlier, and requests that must run once would get new ones.
func TestRejectedHeadSaysNothingAboutIdleConnections(t *testing.T) {
	for name, before := range map[string]string{
		"another request's response": "HTTP/1.1 200 OK\r\n" + testID + ": id1\r\n\r\n",
		"merged head":                "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nX: ",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Idempotent), map[string]upstream{"a": nil})
				s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
					out := responseText(200, req.Header.Get(testID), sealHeader, "from a")
					if n > 1 {
						out = before + out
					}
					_, err := io.WriteString(c, out)
					return err == nil
				})
				serveID(t, s, "id1")
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, http.StatusBadGateway, serveID(t, s, "id2").Code)
				time.Sleep(10 * crashProbeDelay)
				s.toUpstreams().pooled.CloseIdleConnections()
				require.True(t, s.idleBounds.allows(sageclock.Now(), "s", 150*time.Millisecond, true))
			})
		})
	}
}
