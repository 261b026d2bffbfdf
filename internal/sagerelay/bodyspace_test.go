package sagerelay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents requests whose bodies have no length from holding the space of the largest body for as long as their upstream works.
func TestBodyWithoutLengthReservesWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const largest = 1 << 20
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": func(c net.Conn, req *http.Request) {
			time.Sleep(time.Second)
			respond(200, sealHeader, "sound")(c, req)
		}})
		f.table.Limits.BodyBytes = largest
		s := f.service()
		s.MaxBufferedBytes = 34 << 20
		codes := make(chan int, 100)
		for i := range 50 {
			go func() {
				r := testRequest(t.Context(), map[string]string{testID: fmt.Sprint("id", i)}, "short")
				r.ContentLength = -1
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				codes <- w.Code
			}()
		}
		time.Sleep(500 * time.Millisecond)
		t.Logf("%d bytes reserved for 50 bodies of 5 bytes", s.buffers.inUse())
		n := map[int]int{}
		for range 50 {
			n[<-codes]++
		}
		t.Log(n)
		require.Equal(t, map[int]int{200: 50}, n)
	})
}
