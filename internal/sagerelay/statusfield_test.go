package sagerelay

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a complete response from being lost because a field of its head holds the text of a status line, where no earlier
// response precedes it on the connection.
func TestStatusLineInFieldOfOnlyResponse(t *testing.T) {
	for _, field := range []string{"X-Cache-Note: origin said HTTP/1.1 200 OK\r\n", "Warning: 214 - \"HTTP/1.0 404 rewritten\"\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": respond(200, sealHeader+field, "fine")})
			out := f.call(t.Context(), nil, "body")
			require.Equal(t, http.StatusOK, out.Code, out.Body.String())
			require.Equal(t, "fine", out.Body.String())
		})
	}
}
