package sagerelay

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents requests from being sent again without a line that says why.
func TestResendsAreLoggedAndCounted(t *testing.T) {
	ok := respond(200, sealHeader, "fine")
	declines := respond(503, testNotRun+": 1\r\n", "")
	for _, tt := range []struct {
		name    string
		kind    sageroute.Kind
		ups     map[string]upstream
		counter string
		line    string
	}{
		{"declined", sageroute.Once, map[string]upstream{"a": declines, "b": ok}, `sagestand_resends_total{kind="once",after="not_run"}`, "kind=once to=b before=a after=not_run"},
		{"broken", sageroute.Idempotent, map[string]upstream{"a": crash, "b": ok}, `sagestand_resends_total{kind="idempotent",after="failed"}`, "kind=idempotent to=b before=a after=failed"},
		{"not sent", sageroute.Once, map[string]upstream{"a": nil, "b": ok}, `sagestand_resends_total{kind="once",after="not_sent"}`, "kind=once to=b before=a after=not_sent"},
		{"sent once", sageroute.Once, map[string]upstream{"a": ok, "b": ok}, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(t, testRoute(tt.kind), tt.ups)
				s := fleet.service()
				var log, counters bytes.Buffer
				s.Log = sagelog.New(&log, "vm1").Component("relay")
				require.Equal(t, 200, fleet.callOn(t.Context(), s, nil, "body").Code)
				s.Metrics.WritePrometheus(&counters)
				if tt.counter == "" {
					require.NotContains(t, counters.String(), "sagestand_resends_total")
					require.NotContains(t, log.String(), "Request sent again.")
					return
				}
				require.Contains(t, counters.String(), tt.counter+" 1\n")
				require.Contains(t, log.String(), tt.line)
			})
		})
	}
}
