package sagerollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

func order(id uint64, target string) Order {
	return Order{ID: id, Name: "chat", Service: "chat", Target: target, Deadline: at(20000)}
}

func TestCountKeysRoundTrip(t *testing.T) {
	for _, k := range []CountKey{{1 << 63, ArmBaseline, true, "r"}, {7, ArmTarget, false, "a/b/c"}, {0, ArmTarget, true, ""}} {
		parsed, err := ParseCountKey(k.String())
		require.NoError(t, err)
		require.Equal(t, k, parsed)
	}
	for _, s := range []string{"", "1/1/0", "!/1/0/r", "1/0/0/r", "1/3/0/r", "1/x/0/r", "1/1/2/r"} {
		_, err := ParseCountKey(s)
		require.ErrorIs(t, err, ErrCountKey, s)
	}
}

func TestOrderCheck(t *testing.T) {
	o := order(1, "v2")
	require.NoError(t, o.Check())
	o.Service = " "
	require.ErrorIs(t, o.Check(), ErrOrder)
	o = order(1, "")
	require.ErrorIs(t, o.Check(), ErrOrder)
	require.NotEqual(t, OrderID(1, "chat", "v2", time.Second), OrderID(2, "chat", "v2", time.Second), "the order was deleted and created again")
}

// Prevents a bad version from getting more than its share of a node's requests, and rare routes from being left
// out.
func TestSplitterKeepsTheShareAndTriesRareRoutes(t *testing.T) {
	s := new(Splitter)
	sent := make(map[string]int)
	for i := range 10000 {
		route := "busy"
		if i%20 == 0 {
			route = "rare"
		}
		if s.Next(route, 0.05) {
			sent[route]++
		}
	}
	require.LessOrEqual(t, sent["busy"]+sent["rare"], 500)
	require.Greater(t, sent["rare"], 200)
	require.False(t, s.Next("busy", 0))
	require.True(t, s.Next("busy", 1))
}

// Prevents a node that is cut off from sending to a version that the others rolled back.
func TestPlanExpires(t *testing.T) {
	tr := new(Tracker)
	require.True(t, tr.Put(order(1, "v2")))
	require.Equal(t, ArmBaseline, tr.Arm(at(0), "chat", "r"), "before the first plan")
	require.True(t, tr.MergePlan(Plan{OrderID: 1, Phase: PhaseFull, Share: 1, Sequence: 3, IssuedAt: at(100)}))
	require.Equal(t, ArmTarget, tr.Arm(at(2000), "chat", "r"))
	require.Equal(t, ArmTarget, tr.RetryArm(at(2000), "chat"))
	require.Equal(t, ArmBaseline, tr.Arm(at(2200), "chat", "r"))
	require.Equal(t, ArmBaseline, tr.RetryArm(at(2200), "chat"))
	require.Equal(t, ArmAny, tr.Arm(at(2200), "other", "r"))
}

// Prevents requests to a version that was rolled back when another node acts as the controller, hasn't received the
// rollback, and issues a plan with a higher sequence.
func TestFinalPhaseIsNotSuperseded(t *testing.T) {
	tr := new(Tracker)
	tr.Put(order(1, "v2"))
	tr.MergePlan(Plan{OrderID: 1, Phase: PhaseRolledBack, Sequence: 3, IssuedAt: at(0)})
	require.False(t, tr.MergePlan(Plan{OrderID: 1, Phase: PhaseRamp, Share: 0.25, Sequence: 9, IssuedAt: at(0)}))
	require.False(t, tr.MergePlan(Plan{OrderID: 1, Phase: PhaseDone, Share: 1, Sequence: 10, IssuedAt: at(0)}))
	require.Equal(t, ArmBaseline, tr.Arm(at(10), "chat", "r"))
	require.False(t, tr.Running("chat"))
	o := order(1, "v2")
	o.State = StateCompleted
	require.True(t, tr.Put(o), "upstreams act on what the store shows")
	require.Equal(t, ArmTarget, tr.Arm(at(10), "chat", "r"))
	require.Empty(t, tr.Plans())
}

// Prevents requests to the target of an order that was deleted or replaced.
func TestTargetOfEndedOrderGetsNoRequests(t *testing.T) {
	tr := new(Tracker)
	require.Nil(t, tr.VersionFilter("chat", ArmAny))
	tr.Put(order(1, "v2"))
	target, baseline := tr.VersionFilter("chat", ArmTarget), tr.VersionFilter("chat", ArmBaseline)
	require.True(t, target("v2") && baseline("v1") && !target("v1") && !baseline("v2"))
	tr.Delete("chat")
	require.False(t, tr.VersionFilter("chat", ArmAny)("v2"))
	tr.Put(order(2, "v3"))
	baseline = tr.VersionFilter("chat", ArmBaseline)
	require.True(t, baseline("v1") && !baseline("v2") && !baseline("v3"))
	tr.Put(order(3, "v2"))
	require.True(t, tr.VersionFilter("chat", ArmTarget)("v2"), "target again")
	require.False(t, tr.VersionFilter("chat", ArmBaseline)("v3"))
}

func TestOnlyRunningOrdersAreCounted(t *testing.T) {
	tr := new(Tracker)
	tr.Put(order(1, "v2"))
	tr.RecordAnswer("chat", "v2", "r", true)
	tr.RecordAnswer("chat", "v1", "r", false)
	tr.RecordAnswer("other", "v1", "r", false)
	counts := tr.Counts()
	require.Equal(t, map[string]int{CountKey{1, ArmTarget, true, "r"}.String(): 1, CountKey{1, ArmBaseline, false, "r"}.String(): 1}, counts)
	counts["damaged"] = 3
	require.Equal(t, Evidence{"r": {Baseline: Count{Good: 1}, Target: Count{Bad: 1}}}, CollectEvidence(1, counts))
	require.Empty(t, CollectEvidence(2, counts))
	tr.MergePlan(Plan{OrderID: 1, Phase: PhaseRolledBack, Sequence: 1})
	require.Empty(t, tr.Counts())
}

func TestVerdicts(t *testing.T) {
	many := Count{Good: 900, Bad: 9}
	for _, tt := range []struct {
		name  string
		e     Evidence
		want  Verdict
		route string
	}{
		{"no answers", Evidence{}, VerdictUnknown, ""},
		{"too few answers", Evidence{"r": {many, Count{Good: 5}}}, VerdictUnknown, ""},
		{"as good as the baseline", Evidence{"r": {many, Count{Good: 40}}}, VerdictSound, ""},
		{"as bad as the baseline", Evidence{"r": {Count{86, 14}, Count{43, 7}}}, VerdictSound, ""},
		{"bad on one route", Evidence{"r": {many, Count{40, 0}}, "q": {many, Count{6, 4}}}, VerdictBad, "q"},
		{"possibly worse", Evidence{"r": {many, Count{0, 2}}}, VerdictSuspect, ""},
	} {
		st := new(SequentialTest)
		st.Add(tt.e)
		v, route := st.Verdict()
		require.Equal(t, tt.want, v, tt.name)
		if tt.route != "" {
			require.Equal(t, tt.route, route, tt.name)
		}
	}
}

// Prevents faults that affect both versions from counting against the target, even if it gets most of the
// requests.
func TestFaultsOfBothVersionsDontCountAgainstTarget(t *testing.T) {
	st := new(SequentialTest)
	e := Evidence{"r": {Count{10000, 50}, Count{20, 0}}}
	st.Add(e)
	for range 10 {
		p := e["r"]
		p.Baseline.Good, p.Baseline.Bad = p.Baseline.Good+80, p.Baseline.Bad+20
		p.Target.Good, p.Target.Bad = p.Target.Good+40, p.Target.Bad+10
		e = Evidence{"r": p}
		st.Add(e)
		v, _ := st.Verdict()
		require.NotEqual(t, VerdictBad, v)
	}
}

func TestPhaseSequence(t *testing.T) {
	c := &Controller{Self: "vm1", Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	o := order(1, "v2")
	e := Evidence{"r": {Count{Good: 100}, Count{}}}
	var p Plan
	var seen []Phase
	for ms := 0; ms <= 20000; ms += 200 {
		load := ServiceLoad{BaselineSlots: 100, InFlight: 20, BaselineInFlight: 20}
		if ms > 1000 {
			load.TargetSlots = 100
		}
		if p.Phase == PhaseFull && at(ms).Sub(p.PhaseSince) > time.Second {
			load.BaselineInFlight = 0
		}
		if p.Share > 0 {
			r := e["r"]
			r.Target.Good += 3
			r.Baseline.Good += 100
			e = Evidence{"r": r}
		}
		p = c.Step(at(ms), o, p, e, load)
		if len(seen) == 0 || seen[len(seen)-1] != p.Phase {
			seen = append(seen, p.Phase)
		}
		require.Equal(t, uint64(ms/200+1), p.Sequence)
	}
	require.Equal(t, []Phase{PhasePending, PhaseCanary, PhaseRamp, PhaseFull, PhaseDone}, seen)
	v, _ := c.Verdict(1)
	require.Equal(t, VerdictSound, v)
	c.Retain(func(uint64) bool { return false })
	v, _ = c.Verdict(1)
	require.Equal(t, VerdictUnknown, v)
}

// Prevents overload of a target without enough capacity for the traffic.
func TestTooSmallTargetIsRolledBackAtDeadline(t *testing.T) {
	c := &Controller{Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	var p Plan
	for ms := 0; ms <= 20000; ms += 200 {
		p = c.Step(at(ms), order(1, "v2"), p, Evidence{}, ServiceLoad{TargetSlots: 10, BaselineSlots: 100, InFlight: 60, BaselineInFlight: 60})
		if ms < 20000 {
			require.Equal(t, PhasePending, p.Phase)
		}
	}
	require.Equal(t, PhaseRolledBack, p.Phase)
}

// If the controller is lost during a rollout, the next one continues from the last plan that it knows.
func TestAnotherControllerContinues(t *testing.T) {
	p := Plan{OrderID: 1, Phase: PhaseRamp, Share: 0.25, Sequence: 40, Controller: "vm1", IssuedAt: at(9000), PhaseSince: at(8500)}
	c := &Controller{Self: "vm2", Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	e := Evidence{"r": {Count{Good: 3000}, Count{Good: 300}}}
	next := c.Step(at(9600), order(1, "v2"), p, e, ServiceLoad{TargetSlots: 100, InFlight: 5})
	require.Equal(t, PhaseFull, next.Phase)
	require.Equal(t, uint64(41), next.Sequence)
	require.Equal(t, "vm2", next.Controller)
}

func TestSlowAnswers(t *testing.T) {
	var p LatencyTracker
	require.False(t, p.IsSlow("r", Latencies{Total: time.Minute}), "no answers of the baseline")
	for range 50 {
		p.Add("r", Latencies{Total: 40 * time.Millisecond, EventInterval: 20 * time.Millisecond})
	}
	for _, tt := range []struct {
		t    Latencies
		want bool
	}{
		{Latencies{Total: 80 * time.Millisecond}, false},
		{Latencies{Total: 160 * time.Millisecond}, true},
		{Latencies{EventInterval: 30 * time.Millisecond}, false},
		{Latencies{EventInterval: 90 * time.Millisecond}, true},
		{Latencies{FirstEvent: time.Minute}, false},
		{Latencies{}, false},
	} {
		require.Equal(t, tt.want, p.IsSlow("r", tt.t), "%+v", tt.t)
	}
}

func BenchmarkArm(b *testing.B) {
	tr := new(Tracker)
	tr.Put(order(1, "v2"))
	tr.MergePlan(Plan{OrderID: 1, Phase: PhaseCanary, Share: 0.04, Sequence: 1, IssuedAt: at(0)})
	b.ReportAllocs()
	for b.Loop() {
		tr.Arm(at(10), "chat", "r")
	}
}

func ExampleController() {
	c := &Controller{Self: "vm1", Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	o := Order{ID: 1, Service: "chat", Target: "v2", Deadline: at(20000)}
	p := c.Step(at(0), o, Plan{}, Evidence{}, ServiceLoad{TargetSlots: 64, BaselineSlots: 64, InFlight: 9, BaselineInFlight: 9})
	fmt.Println(p.Phase, p.Sequence, p.Share < 0.1)
	// Output: canary 1 true
}

// Prevents an order from starting over on a node that knows its outcome from the store alone, after the store has lost it.
func TestOutcomeLostByTheStoreIsKept(t *testing.T) {
	for _, tt := range []struct {
		state State
		phase Phase
		arm   Arm
	}{{StateCompleted, PhaseDone, ArmTarget}, {StateRolledBack, PhaseRolledBack, ArmBaseline}} {
		tr := new(Tracker)
		o := order(1, "v2")
		o.State = tt.state
		tr.Put(o)
		require.Empty(t, tr.Plans())
		o.State = StateUnstarted
		require.True(t, tr.Put(o))
		require.Equal(t, tt.phase, tr.Plans()[0].Phase)
		require.Equal(t, tt.arm, tr.Arm(at(5000), "chat", "r"))
		o.ID, o.Rewritten = 2, true
		tr.Put(o)
		require.Equal(t, uint64(2), tr.Plans()[0].OrderID)
		require.Equal(t, tt.arm, tr.Arm(at(5000), "chat", "r"), "written again with another ID")
		o.ID, o.Rewritten = 3, false
		tr.Put(o)
		require.Empty(t, tr.Plans(), "a new order starts over")
	}
}
