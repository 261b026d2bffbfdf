package sagerelay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents endless responses that a node reads for its peers from taking the buffer space of its own callers.
func TestEndlessResponsesForPeersLeaveSpaceToOwnCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const relayed, usual = 100, 10_000
		s := newServiceFleet(t, map[string]upstream{"faulty": slowEndless, "sound": chunkedBody(usual)})
		peersPart := s.MaxBufferedBytes / 2
		bound := peersPart/responseDivisor + peersPart/smallDivisor + maxPlainResponseBytes + 1 // one response may be beyond the limit
		ended := make(chan int, relayed)
		for range relayed {
			go func() {
				req, rec := testRequest(t.Context(), map[string]string{headerRelayFrom: "vm2", headerRelayService: "faulty"}, ""), httptest.NewRecorder()
				req.URL.Path = "/faulty/x"
				s.ServeRelayed(rec, req)
				ended <- rec.Code
			}()
		}
		most := int64(0)
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, s.buffers.inUse())
			start := time.Now()
			status, size := callService(t, s, "sound", "body")
			require.Equal(t, []int{http.StatusOK, usual}, []int{status, size})
			require.LessOrEqual(t, time.Since(start), 20*time.Millisecond)
		}
		for range relayed {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, <-ended, "they may have run")
		}
		require.LessOrEqual(t, most, bound)
		require.Greater(t, most, bound/4, "they are many enough")
		require.Zero(t, s.buffers.inUse())
	})
}
