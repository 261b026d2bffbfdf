package sagerelay

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a header that an upstream sends from being read as a peer's statement that the request has not been executed.
func TestUpstreamCannotStateRefusalOfPeer(t *testing.T) {
	for _, reason := range []Reason{NoPath, Quarantined, UpstreamFull} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ran := respond(200, sealHeader+headerRelayRefusal+": "+string(reason)+"\r\n", "from a")
				env := newHopEnv(t, sageroute.Once, map[string]upstream{"a": ran}, map[string]upstream{"b": respond(200, sealHeader, "from b")})
				out := env.node.call(t.Context(), nil, "body")
				require.NotEqual(t, http.StatusServiceUnavailable, out.Code, "a booking that ran is not refused")
				require.Equal(t, 1, env.sent(), "a booking that ran is not sent again")
			})
		})
	}
}
