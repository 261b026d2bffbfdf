package sagerelay

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents nodes from missing that upstreams are brittle because only refusals or failures say so.
func TestBrittleIsReadFromAnyResponse(t *testing.T) {
	const brittle = testBrittle + ": 1\r\n"
	for _, tt := range []struct {
		name string
		up   upstream
		want int
	}{
		{"success", respond(200, sealHeader+brittle, "fine"), 1},
		{"not announced", respond(200, sealHeader, "fine"), 0},
		{"error", respond(500, sealHeader+brittle, "no"), 1},
		{"declined", respond(503, testNotRun+": 1\r\n"+brittle, ""), 1},
		{"without seal", respond(200, brittle, "who"), 1},
		{"misdirected", respond(421, brittle, ""), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": tt.up})
				fleet.call(t.Context(), nil, "body")
				require.Len(t, fleet.maxDeclines, tt.want)
			})
		})
	}
}

// Prevents an account above its share of a brittle service from reaching an upstream.
func TestLimitedAccountIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader, "fine")})
		fleet.limitedAccounts = []string{"acc"}
		out := fleet.call(t.Context(), nil, "body")
		require.Equal(t, 503, out.Code)
		require.Equal(t, `{"reason":"account_limited"}`, out.Body.String())
		require.Empty(t, fleet.sent)
	})
}
