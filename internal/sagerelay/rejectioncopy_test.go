package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

const (
	testMisdirectedText = "HTTP/1.1 421 Misdirected Request\r\n" + testID + ": %s\r\nContent-Length: 0\r\n\r\n"
	testDeclinedText    = "HTTP/1.1 503 Service Unavailable\r\n" + testID + ": %s\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
)

// oneAddressFleet has all upstreams at the address of a: an entry of an ended process stays beside that of its successor.
type oneAddressFleet struct{ *fakeFleet }

func (f oneAddressFleet) Pick(q *Query) *Pick {
	p := f.fakeFleet.Pick(q)
	if p != nil && p.Upstream.ID != "c" {
		p.Upstream.Address = "a:80"
	}
	return p
}

// Prevents a second copy of the rejection of a request's first send from being believed as the answer to its second send on the
// same connection: a booking that ran would be refused as not run, or sent again.
func TestCopyOfRejectionOfEarlierSendIsNotBelieved(t *testing.T) {
	for name, head := range map[string]string{"misdirected": testMisdirectedText, "declined": testDeclinedText} {
		for _, names := range [][]string{{"a", "b"}, {"a", "b", "c"}} {
			t.Run(fmt.Sprint(name, len(names)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ups := map[string]upstream{}
					for _, n := range names {
						ups[n] = nil
					}
					f := newFakeFleet(t, testRoute(sageroute.Once), ups)
					f.retryBudget = 10
					ran := 0
					s := scriptedService(f, func(c net.Conn, n int, req *http.Request) bool {
						text := fmt.Sprintf(head, req.Header.Get(testID))
						if n == 1 {
							_, err := io.WriteString(c, text)
							return err == nil
						}
						// A late copy of the rejection arrives once the second send is being read; it runs.
						ran++
						_, err := io.WriteString(c, text)
						time.Sleep(50 * time.Millisecond)
						_, _ = io.WriteString(c, responseText(200, req.Header.Get(testID), sealHeader, "from a"))
						return err == nil
					})
					s.Fleet = oneAddressFleet{f}
					proveReuse(s)
					w := serveID(t, s, "id1")
					s.toUpstreams().pooled.CloseIdleConnections()
					time.Sleep(time.Second)
					for _, r := range f.sent[min(2, len(f.sent)):] {
						t.Log("sent again: ", r.URL)
						ran++
					}
					t.Logf("status %d, sent %d, ran %d", w.Code, len(f.sent), ran)
					require.LessOrEqual(t, ran, 1, "runs of a booking")
					if ran > 0 {
						require.NotContains(t, []int{503, 429, 421, 408}, w.Code, "a booking that ran is refused as not run")
					}
				})
			})
		}
	}
}
