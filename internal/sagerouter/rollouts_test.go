package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
)

func upstreamEntry(name, version string, revision uint64) sagefollow.Change {
	return put(name, revision, `{"Service":"s","Address":"`+name+`:1","DataCentre":"north","Version":"`+version+`"}`)
}

func availableIDs(v *view) []string {
	var out []string
	for _, e := range v.upstreams.Load().Available("s") {
		out = append(out, e.ID)
	}
	return out
}

// A node that saw the upstreams of a new version before the rollout order, since the two are read by different
// store calls, sent half of its requests to the new version.
func TestNewVersionIsHeldBackUntilOrdersAreKnown(t *testing.T) {
	asOf := uint64(10)
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer), orderedVersions: make(versions), ordersPoint: func() sagefollow.Point { return sagefollow.Point{Revision: asOf} }}
	v.applyClosed(nil, false)
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 5)}, false)
	require.Equal(t, []string{"e1"}, availableIDs(v))
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e2", "v2", 12), upstreamEntry("e3", "v1", 13)}, false)
	require.Equal(t, []string{"e1", "e3"}, availableIDs(v))
	require.False(t, v.upstreams.Load().Usable(v.upstreams.Load().Get("e2")))
	asOf = 12
	v.expireLapsed(false)
	require.Equal(t, []string{"e1", "e2", "e3"}, availableIDs(v))
}

// A started node without orders must serve, but not send requests to a version that a rollout may just have
// started.
func TestMostCommonVersionServesWithoutOrders(t *testing.T) {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer), orderedVersions: make(versions), ordersPoint: func() sagefollow.Point { return sagefollow.Point{Revision: 0} }}
	v.applyClosed(nil, false)
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 5), upstreamEntry("e2", "v2", 6), upstreamEntry("e3", "v1", 7)}, false)
	require.Equal(t, []string{"e1", "e3"}, availableIDs(v))
}

// newRolloutFleet returns a fleet with an order from v1 to v2 and the plan p. u0 to u4 run v1, u5 to u9 run v2.
func newRolloutFleet(t *testing.T, p sagerollout.Plan) *fleet {
	t.Helper()
	f := newFleet(t, 10, 0)
	for _, e := range f.view.upstreams.Load().Available("s") {
		e.Version = "v1"
		if e.ID >= "u5" {
			e.Version = "v2"
		}
	}
	f.rollouts = new(sagerollout.Tracker)
	p.OrderID, p.Sequence, p.IssuedAt = 1, 1, sageclock.Now()
	require.True(t, f.rollouts.Put(sagerollout.Order{ID: 1, Name: "s", Service: "s", Target: "v2", Deadline: p.IssuedAt.Add(time.Minute)}))
	f.rollouts.MergePlan(p)
	return f
}

// countPicks returns how many of n requests each upstream gets.
func countPicks(f *fleet, n int, tried ...string) map[string]int {
	out := make(map[string]int)
	for range n {
		if p := f.Pick(&sagerelay.Query{Service: "s", Route: "r", Tried: tried}); p != nil {
			out[p.Upstream.ID]++
			p.Done()
		}
	}
	return out
}

// A canary spread over all upstreams of the target puts little load on each, so that a version that fails only
// under load would be promoted.
func TestCanaryUsesFewUpstreams(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseCanary, Share: 0.1})
	got := countPicks(f, 1000)
	require.InDelta(t, 100, got["u5"]+got["u6"], 1)
	require.Zero(t, got["u7"]+got["u8"]+got["u9"])
	require.Empty(t, countPicks(f, 50, "u0", "u1", "u2", "u3", "u4"), "retries stay with the baseline")
}

func TestFullPhaseUsesTargetOnly(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseFull, Share: 1})
	got := countPicks(f, 200)
	require.Equal(t, 200, got["u5"]+got["u6"]+got["u7"]+got["u8"]+got["u9"])
	require.NotEmpty(t, countPicks(f, 10, "u5", "u6", "u7", "u8", "u9"), "the baseline serves when no target upstream is left")
}

func TestRolledBackVersionGetsNoRequests(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseRolledBack})
	got := countPicks(f, 200)
	require.Zero(t, got["u5"]+got["u6"]+got["u7"]+got["u8"]+got["u9"])
}

// A service whose upstreams all ran the target version already was refused while the order ran.
func TestTargetServesWithoutBaselineUpstreams(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhasePending})
	for _, e := range f.view.upstreams.Load().Available("s") {
		e.Version = "v2"
	}
	require.Len(t, countPicks(f, 500), 10)
}

// A version that is several times slower must not pass as good because its responses are complete.
func TestSlowTargetResponsesCountAsBad(t *testing.T) {
	f := newRolloutFleet(t, sagerollout.Plan{Phase: sagerollout.PhaseCanary, Share: 0.1})
	set := f.view.upstreams.Load()
	baseline, target := &sagerelay.Pick{Upstream: set.Get("u0")}, &sagerelay.Pick{Upstream: set.Get("u5")}
	for range 20 {
		f.RecordResponse(baseline, "r", sagerelay.ResponseResult{MeanEventGap: 20 * time.Millisecond})
	}
	f.RecordResponse(target, "r", sagerelay.ResponseResult{MeanEventGap: 90 * time.Millisecond})
	f.RecordResponse(target, "r", sagerelay.ResponseResult{MeanEventGap: 25 * time.Millisecond})
	f.RecordResponse(target, "r", sagerelay.ResponseResult{Failed: true})
	sum := sagerollout.CollectEvidence(1, f.rollouts.Counts())["r"]
	require.Equal(t, sagerollout.Count{Good: 1, Bad: 2}, sum.Target)
	require.Equal(t, sagerollout.Count{Good: 20}, sum.Baseline)
}
