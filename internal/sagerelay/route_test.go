package sagerelay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents a request from being executed by the service of a route whose prefix doesn't begin its path: escaped slashes divide
// no path.
func TestRoutesMatchThePathAsItCame(t *testing.T) {
	for path, want := range map[string]string{
		"/orders/11/":              "orders",
		"/orders/2025/11/":         "archive",
		"/orders/2025%2F11/":       "orders",
		"/orders/2025%2f11/":       "orders",
		"/orders%2F2025/11/":       "other",
		"/orders/2025/x%2Fy?a=/b/": "archive",
		"/%6Frders/2025/":          "other",
		"/orders/a%20b/":           "orders",
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var routes []sageroute.Route
				for prefix, name := range map[string]string{"/": "other", "/orders/": "orders", "/orders/2025/": "archive"} {
					r := testRoute(sageroute.Once)
					r.Name, r.Prefix, r.Services = name, prefix, []sageroute.WeightedService{{Service: name, Weight: 1}}
					routes = append(routes, r)
				}
				f := newFakeFleet(t, routes[0], map[string]upstream{"a": respond(200, sealHeader, "fine")})
				var err error
				f.table, err = sageroute.New(1, routes, nil, nil, sageroute.Limits{})
				require.NoError(t, err)
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example"+path, http.NoBody)
				r.Header.Set(testID, "id1")
				w := httptest.NewRecorder()
				f.service().ServeHTTP(w, r)
				require.Equal(t, http.StatusOK, w.Code)
				require.Equal(t, []string{want}, f.services)
				require.Equal(t, r.URL.RequestURI(), f.sent[0].RequestURI)
			})
		})
	}
}
