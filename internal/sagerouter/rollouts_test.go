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

func versioned(name, version string, revision uint64) sagefollow.Change {
	return put(name, revision, `{"Service":"s","Address":"`+name+`:1","DataCentre":"north","Version":"`+version+`"}`)
}

func usable(v *view) []string {
	var out []string
	for _, e := range v.set.Load().Available("s") {
		out = append(out, e.ID)
	}
	return out
}

// A bad version gets half of the requests of a node that sees its upstreams register before the order that
// they belong to: the two copies are proven by different calls.
func TestNewVersionWaitsForTheOrdersBeforeIt(t *testing.T) {
	asOf := uint64(10)
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer), known: make(versions), ordersAsOf: func() uint64 { return asOf }}
	v.applyClosed(nil, false)
	v.applyUpstreams([]sagefollow.Change{versioned("e1", "v1", 5)}, false)
	require.Equal(t, []string{"e1"}, usable(v))
	v.applyUpstreams([]sagefollow.Change{versioned("e2", "v2", 12), versioned("e3", "v1", 13)}, false)
	require.Equal(t, []string{"e1", "e3"}, usable(v))
	require.False(t, v.set.Load().Usable(v.set.Load().Get("e2")))
	asOf = 12
	v.settle(false)
	require.Equal(t, []string{"e1", "e2", "e3"}, usable(v))
}

// A node that starts knows no orders yet, and serves nothing until it does, or sends to any version.
func TestMostCommonVersionServesAtOnce(t *testing.T) {
	v := &view{decoder: plainDecoder{}, placer: new(sagechain.Placer), known: make(versions), ordersAsOf: func() uint64 { return 0 }}
	v.applyClosed(nil, false)
	v.applyUpstreams([]sagefollow.Change{versioned("e1", "v1", 5), versioned("e2", "v2", 6), versioned("e3", "v1", 7)}, false)
	require.Equal(t, []string{"e1", "e3"}, usable(v))
}

// newRollout returns a fleet with five upstreams of v1, u0 to u4, and five of v2 while an order runs.
func newRollout(t *testing.T, p sagerollout.Plan) *fleet {
	t.Helper()
	f := newFleet(t, 10, 0)
	for _, e := range f.view.set.Load().Available("s") {
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

// pickMany returns how many of n requests each upstream gets.
func pickMany(f *fleet, n int, tried ...string) map[string]int {
	out := make(map[string]int)
	for range n {
		if p := f.Pick(&sagerelay.Query{Service: "s", Route: "r", Tried: tried}); p != nil {
			out[p.Upstream.ID]++
			p.Done()
		}
	}
	return out
}

// A canary that is spread over all of the target's upstreams loads none of them, and a version that is bad under
// load only is promoted.
func TestCanaryUsesFewUpstreams(t *testing.T) {
	f := newRollout(t, sagerollout.Plan{Phase: sagerollout.PhaseCanary, Share: 0.1})
	got := pickMany(f, 1000)
	require.InDelta(t, 100, got["u5"]+got["u6"], 1)
	require.Zero(t, got["u7"]+got["u8"]+got["u9"])
	require.Empty(t, pickMany(f, 50, "u0", "u1", "u2", "u3", "u4"), "repeats stay with the baseline")
}

func TestFullUsesTheTargetOnly(t *testing.T) {
	f := newRollout(t, sagerollout.Plan{Phase: sagerollout.PhaseFull, Share: 1})
	got := pickMany(f, 200)
	require.Equal(t, 200, got["u5"]+got["u6"]+got["u7"]+got["u8"]+got["u9"])
	require.NotEmpty(t, pickMany(f, 10, "u5", "u6", "u7", "u8", "u9"), "the baseline serves what the target can't")
}

func TestUndoneVersionGetsNothing(t *testing.T) {
	f := newRollout(t, sagerollout.Plan{Phase: sagerollout.PhaseRolledBack})
	got := pickMany(f, 200)
	require.Zero(t, got["u5"]+got["u6"]+got["u7"]+got["u8"]+got["u9"])
}

// A service whose upstreams all run the target already is refused for the time of the order.
func TestTargetAloneServes(t *testing.T) {
	f := newRollout(t, sagerollout.Plan{Phase: sagerollout.PhasePending})
	for _, e := range f.view.set.Load().Available("s") {
		e.Version = "v2"
	}
	require.Len(t, pickMany(f, 500), 10)
}

// A version that is several times slower passes for a good one, since every answer comes in the end.
func TestSlowAnswersOfTheTargetAreBad(t *testing.T) {
	f := newRollout(t, sagerollout.Plan{Phase: sagerollout.PhaseCanary, Share: 0.1})
	set := f.view.set.Load()
	old, fresh := &sagerelay.Pick{Upstream: set.Get("u0")}, &sagerelay.Pick{Upstream: set.Get("u5")}
	for range 20 {
		f.RecordResponse(old, "r", sagerelay.ResponseResult{MeanEventGap: 20 * time.Millisecond})
	}
	f.RecordResponse(fresh, "r", sagerelay.ResponseResult{MeanEventGap: 90 * time.Millisecond})
	f.RecordResponse(fresh, "r", sagerelay.ResponseResult{MeanEventGap: 25 * time.Millisecond})
	f.RecordResponse(fresh, "r", sagerelay.ResponseResult{Failed: true})
	sum := sagerollout.CollectEvidence(1, f.rollouts.Counts())["r"]
	require.Equal(t, sagerollout.Count{Good: 1, Bad: 2}, sum.Target)
	require.Equal(t, sagerollout.Count{Good: 20}, sum.Baseline)
}
