package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// Prevents a version from getting requests while other nodes may still believe that the service has one version only, and
// continue its streams at another.
func TestNewVersionWaitsUntilOthersKnowIt(t *testing.T) {
	v := newView()
	v.newVersionDelay = func() time.Duration { return time.Hour }
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 5), upstreamEntry("e2", "v2", 6)}, false)
	require.Equal(t, []string{"e1", "e2"}, availableIDs(v), "versions of the first listing aren't new")
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e3", "v3", 7), upstreamEntry("e4", "v1", 8)}, false)
	require.Equal(t, []string{"e1", "e2", "e4"}, availableIDs(v))
	v.applyUpstreams([]sagefollow.Change{deletion("e2", 9), deletion("e3", 9)}, false)
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e2", "v2", 10), upstreamEntry("e3", "v3", 11)}, false)
	require.Equal(t, []string{"e1", "e2", "e4"}, availableIDs(v), "a version that comes back isn't new")
	v.applyUpstreams([]sagefollow.Change{deletion("e1", 12), deletion("e2", 12), deletion("e4", 12)}, false)
	require.Equal(t, []string{"e3"}, availableIDs(v), "a new version serves if no other is left")
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 13)}, false)
	require.Equal(t, []string{"e1"}, availableIDs(v))
	v.arrivals[sageorigin.Origin{Service: "s", Version: "v3"}] = versionArrival{newUntil: sageclock.Now()}
	v.expireLapsed(false)
	require.Equal(t, []string{"e1", "e3"}, availableIDs(v))
}

// Prevents streams that have begun from being placed like new ones: by the arms of a rollout, or at any version.
func TestStreamIsPlacedAtItsOrigin(t *testing.T) {
	query := func(version string, tried ...string) *sagerelay.Query {
		return &sagerelay.Query{Service: "s", Route: "r", Tried: tried, Origin: &sageorigin.Origin{Service: "s", Version: version}}
	}
	for _, tt := range []struct {
		name     string
		phase    sagerollout.Phase
		version  string
		versions string // of the upstreams that get requests
	}{
		{"the old version during a canary", sagerollout.PhaseCanary, "v1", "v1"},
		{"the new version during a canary", sagerollout.PhaseCanary, "v2", "v2"},
		{"the old version after the rollout", sagerollout.PhaseDone, "v1", "v1"},
		{"the version that was rolled back", sagerollout.PhaseRolledBack, "v2", ""},
		{"a version without upstreams", sagerollout.PhaseCanary, "v3", ""},
		{"no version", sagerollout.PhaseCanary, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newRolloutFleet(t, sagerollout.Plan{Phase: tt.phase, Share: 0.1})
			require.Equal(t, tt.versions != "", f.Serves(sageorigin.Origin{Service: "s", Version: tt.version}))
			var tried []string
			for range 5 {
				require.Equal(t, tt.versions != "", f.HasAnother(query(tt.version, tried...)))
				p := f.Pick(query(tt.version, tried...))
				if tt.versions == "" {
					require.Nil(t, p)
					continue
				}
				require.Equal(t, tt.versions, p.Upstream.Version)
				tried = append(tried, p.Upstream.ID)
				p.Done()
			}
			require.Nil(t, f.Pick(query(tt.version, tried...)), "all upstreams of the version were tried")
			require.False(t, f.HasAnother(query(tt.version, tried...)))
		})
	}
}

// Prevents streams of a service whose upstreams register no version from being refused.
func TestStreamOfServiceWithoutVersionsGoesOn(t *testing.T) {
	f := newFleet(t, 2, 0)
	f.view.history.SetRoutes(sageclock.Now(), map[string][]string{"r": {"s"}})
	q := &sagerelay.Query{Service: "s", Route: "r", Origin: &sageorigin.Origin{Service: "s"}}
	require.NotNil(t, f.Pick(q))
	f.view.applyUpstreams([]sagefollow.Change{upstreamEntry("u9", "v1", 5)}, false)
	require.Nil(t, f.Pick(q), "two upstreams without a version may have different ones")
}

// Prevents events of an upstream that started again with another version under its ID from being taken for those of the
// version that this node knew.
func TestUpstreamThatChangedItsVersion(t *testing.T) {
	v := newView()
	entry := func(version string, born string) sagefollow.Change {
		return put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north","Version":"`+version+`","Born":`+born+`}`)
	}
	f := &fleet{view: v}
	v.applyUpstreams([]sagefollow.Change{entry("v1", "1")}, false)
	first := v.upstreams.Load().Get("e1")
	require.False(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{entry("v1", "2")}, false)
	require.False(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{entry("v2", "3")}, false)
	require.True(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{deletion("e1", 9)}, false)
	require.False(t, f.ChangedVersion(first), "an upstream that has left keeps its version")
}
