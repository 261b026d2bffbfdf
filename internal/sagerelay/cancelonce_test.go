package sagerelay

import (
	"context"
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

// silent reads a request and never answers.
func silent(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

// Prevents a request that must be executed at most once from being sent to a second upstream, or refused as not run, after this
// node cancelled an exchange whose request was sent.
func TestCancelledRequestMayHaveRun(t *testing.T) {
	for name, cancel := range map[string]func(s *Service){
		"exit":        func(s *Service) { s.AbortRequests() },
		"undelivered": func(s *Service) { cancelSends(s, errUndelivered) },
		"quarantined": func(s *Service) { cancelSends(s, errQuarantined) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": silent, "b": respond(200, sealHeader, "from b")})
				s := f.service()
				out := make(chan int)
				go func() { out <- f.callOn(t.Context(), s, nil, "body").Code }()
				synctest.Wait()
				cancel(s)
				require.Equal(t, http.StatusBadGateway, <-out)
				require.Len(t, f.sent, 1)
			})
		})
	}
}

// cancelSends cancels the exchanges in progress.
func cancelSends(s *Service, cause error) {
	for _, x := range s.sending.list() {
		x.cancel(cause)
	}
}

// Prevents a peer's answer about a request that it has sent from being read as the statement that it has not run.
func TestPeerStatesNoRefusalOfSentRequest(t *testing.T) {
	for status, up := range map[int]upstream{http.StatusBadGateway: crash, http.StatusGatewayTimeout: silent} {
		synctest.Test(t, func(t *testing.T) {
			r := testRoute(sageroute.Once)
			r.Timeout = time.Second
			f := newFakeFleet(t, r, map[string]upstream{"a": up})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/x", strings.NewReader("body"))
			for k, v := range map[string]string{testID: "id1", testKey: "good", headerRelayFrom: "vm1", headerRelayService: "s"} {
				req.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			f.service().ServeRelayed(w, req)
			require.Equal(t, status, w.Code)
			require.Empty(t, w.Header().Get(headerRelayRefusal))
			require.Equal(t, "1", w.Header().Get(headerRelayRuns))
		})
	}
}
