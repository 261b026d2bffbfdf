package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents bodies of requests from taking all buffer space, so that responses pass one at a time: one that stalls would hold up those
// of sound upstreams until its deadline, after their requests ran.
func TestBodiesLeaveSpaceForUsualResponses(t *testing.T) {
	const (
		bodies = 8 // that fill the limit
		body   = 128 << 10
	)
	for _, large := range []bool{false, true} {
		t.Run(fmt.Sprint("large bodies: ", large), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": func(c net.Conn, req *http.Request) {
					if id := req.Header.Get(testID); id != "sound" {
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 50\r\n\r\nten bytes.", testID, id, testSeal)
						time.Sleep(10 * time.Second)
						return
					}
					respond(200, sealHeader, "sound")(c, req)
				}})
				f.table.Limits.BodyBytes = bodies * body
				s := f.service()
				s.MaxBufferedBytes = bodies * body
				for i := range bodies {
					text := "b"
					if large {
						text = strings.Repeat("b", body)
					}
					go s.ServeHTTP(httptest.NewRecorder(), testRequest(t.Context(), map[string]string{testID: fmt.Sprint("stalls", i)}, text))
				}
				time.Sleep(50 * time.Millisecond)
				start := time.Now()
				w := httptest.NewRecorder()
				s.ServeHTTP(w, testRequest(t.Context(), map[string]string{testID: "sound"}, ""))
				require.Equal(t, http.StatusOK, w.Code)
				require.Less(t, time.Since(start), time.Second, "it waits for another upstream's response")
			})
		})
	}
}
