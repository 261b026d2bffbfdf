package sagerelay

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a status that promises "not run" from being passed on for a request that an upstream executed: only the
// upstream's own statement shows that it did not.
func TestStatusWithoutStatementIsNoPromise(t *testing.T) {
	ok := respond(200, sealHeader, "fine")
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, c := range []struct {
			name   string
			kind   sageroute.Kind
			header string
			ups    map[string]upstream
			status int
			sends  int
		}{
			{"once", sageroute.Once, sealHeader, map[string]upstream{"b": ok}, http.StatusBadGateway, 1},
			{"once, without seal", sageroute.Once, "", map[string]upstream{"b": ok}, http.StatusBadGateway, 1},
			{"stream", sageroute.Stream, sealHeader + "Content-Type: text/event-stream\r\n", nil, http.StatusBadGateway, 1},
			{"idempotent", sageroute.Idempotent, sealHeader, map[string]upstream{"b": ok}, http.StatusOK, 2},
			{"idempotent, no other upstream", sageroute.Idempotent, sealHeader, nil, http.StatusBadGateway, 1},
		} {
			t.Run(fmt.Sprint(status, " ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ups := map[string]upstream{"a": respond(status, c.header, "no")}
					maps.Copy(ups, c.ups)
					f := newFakeFleet(t, testRoute(c.kind), ups)
					out := f.call(t.Context(), nil, "body")
					require.Equal(t, c.status, out.Code)
					require.Len(t, f.sent, c.sends)
					if status < 500 && c.header != "" {
						require.NotContains(t, f.results, sagehealth.Failed, "the upstream works")
					}
				})
			})
		}
	}
}
