package sagerouter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// removeUpstreams removes upstreams from the fleet's view.
func removeUpstreams(f *fleet, ids ...string) {
	var changes []sagefollow.Change
	for _, id := range ids {
		changes = append(changes, sagefollow.Change{Object: sagefollow.Object{Name: id}, Deleted: true})
	}
	f.view.applyUpstreams(changes, false)
}

// Prevents a service from being refused while the only version left was rolled back or withdrawn.
func TestLastVersionServesWhateverTheOrderSays(t *testing.T) {
	for _, withdraw := range []bool{false, true} {
		f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseRolledBack})
		if withdraw {
			f.rollouts.Delete("s")
		}
		origin := sageorigin.Origin{Service: "s", Version: "v2"}
		require.False(t, f.Serves(origin))
		removeUpstreams(f, "u0", "u1", "u2", "u3", "u4")
		require.Len(t, countPicks(f, 500), 5)
		require.Empty(t, countPicks(f, 10, "u5", "u6", "u7", "u8", "u9"), "all were tried")
		require.True(t, f.Serves(origin), "streams that began there go on")
	}
}

// Prevents the canary's few upstreams from getting all requests after the baseline is gone.
func TestAllTargetUpstreamsServeOnceTheBaselineIsGone(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseCanary, Share: 0.1})
	removeUpstreams(f, "u0", "u1", "u2", "u3", "u4")
	require.Len(t, countPicks(f, 500), 5)
}
