package sagerelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
)

// pieces returns an upstream that sends a body in chunks over the given time; its size is that of a header of the request, or small.
func pieces(header string, small, large int, takes time.Duration) upstream {
	const parts = 10
	return func(w net.Conn, req *http.Request) {
		size, pause := small, time.Duration(0)
		if req.Header.Get(header) != "" {
			size, pause = large, takes/parts
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", testID, req.Header.Get(testID), sealHeader)
		for range parts {
			p := strings.Repeat("y", size/parts)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(p), p); err != nil {
				return
			}
			time.Sleep(pause)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// Prevents sound large responses of a route whose responses are mostly small from waiting for one another while the buffer has
// space for all of them: their callers would get no answer in time, though the upstream has run the requests.
func TestLargeResponsesOfMostlySmallRoute(t *testing.T) {
	const small, large, takes, atOnce, buffer = 1_000, 300_000, time.Second, 40, 34 << 20
	synctest.Test(t, func(t *testing.T) {
		const header = "Test-Large"
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": pieces(header, small, large, takes)})
		s := f.service()
		s.MaxBufferedBytes = buffer
		call := func(value string) *httptest.ResponseRecorder {
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, testRequest(t.Context(), map[string]string{header: value}, "body"))
			return rec
		}
		for range 100 {
			require.Equal(t, http.StatusOK, call("").Code)
		}
		statuses := make(chan int, atOnce)
		var all sync.WaitGroup
		for range atOnce {
			all.Go(func() { statuses <- call("1").Code })
		}
		all.Wait()
		close(statuses)
		counts := make(map[int]int)
		for status := range statuses {
			counts[status]++
		}
		s.CloseIdleConnections()
		time.Sleep(2 * takes) // until the upstreams end
		require.Equal(t, map[int]int{http.StatusOK: atOnce}, counts)
	})
}

// Prevents a request that may be repeated from waiting until its deadline for buffer space at an upstream that sends oversized responses,
// while another upstream could answer it.
func TestResponseWithoutSpaceIsTriedElsewhere(t *testing.T) {
	for _, tt := range []struct {
		kind   sageroute.Kind
		status int
		held   time.Duration
	}{{sageroute.Idempotent, http.StatusOK, minStallTimeout}, {sageroute.Once, http.StatusGatewayTimeout, testRoute(sageroute.Once).Timeout}} {
		t.Run(string(tt.kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(tt.kind), map[string]upstream{"a": slowEndless, "b": respond(200, sealHeader, "ok")})
				s := f.service()
				s.MaxBufferedBytes = 34 << 20
				var others [2]reservation // large responses of the same upstream, which take all that such ones may
				for i := range others {
					others[i] = reservation{budget: &s.buffers, upstream: "a", usual: 1, most: maxPlainResponseBytes + 1}
					others[i].recordOversized()
					freed, err := others[i].tryGrow(2, s.MaxBufferedBytes)
					require.NoError(t, err)
					require.Nil(t, freed)
				}
				start := time.Now()
				require.Equal(t, tt.status, f.callOn(t.Context(), s, nil, "body").Code)
				require.Equal(t, tt.held, time.Since(start))
				require.NotContains(t, f.results, sagehealth.Stalled, "the upstream waits for this node")
				require.Empty(t, f.unanswered)
				for i := range others {
					others[i].release()
				}
				require.Zero(t, s.buffers.inUse())
			})
		})
	}
}
