package sagerollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents a service from being refused while a version of it can serve, and a version that was rolled back or withdrawn from
// serving beside another one.
func TestOrdersNeverExcludeTheLastVersion(t *testing.T) {
	running := func(*Tracker) {}
	rolledBack := func(tr *Tracker) { tr.MergePlan(Plan{OrderID: 1, Phase: PhaseRolledBack, Sequence: 1}) }
	completed := func(tr *Tracker) {
		o := order(1, "v2")
		o.State = StateCompleted
		tr.Put(o)
	}
	withdrawn := func(tr *Tracker) { tr.Delete("chat") }
	replaced := func(tr *Tracker) { tr.Put(order(2, "v3")) }
	for _, tt := range []struct {
		name    string
		change  func(*Tracker)
		serving []string
		arm     Arm
		want    Arm
		ok      bool
	}{
		{"running, both", running, []string{"v1", "v2"}, ArmBaseline, ArmBaseline, false},
		{"running, both, target used up", running, []string{"v1", "v2"}, ArmTarget, ArmBaseline, true},
		{"running, target alone", running, []string{"v2"}, ArmBaseline, ArmTarget, true},
		{"running, target alone and used up", running, []string{"v2"}, ArmTarget, ArmTarget, false},
		{"running, none", running, nil, ArmBaseline, ArmBaseline, false},
		{"rolled back, both", rolledBack, []string{"v2", "v1"}, ArmBaseline, ArmBaseline, false},
		{"rolled back, target alone", rolledBack, []string{"v2"}, ArmBaseline, ArmLast, true},
		{"completed, both", completed, []string{"v1", "v2"}, ArmTarget, ArmBaseline, true},
		{"completed, target gone", completed, []string{"v1"}, ArmTarget, ArmBaseline, true},
		{"completed, target alone", completed, []string{"v2"}, ArmTarget, ArmTarget, false},
		{"withdrawn, both", withdrawn, []string{"v1", "v2"}, ArmAny, ArmAny, false},
		{"withdrawn, target alone", withdrawn, []string{"v2"}, ArmAny, ArmLast, true},
		{"replaced, earlier target and target", replaced, []string{"v2", "v3"}, ArmBaseline, ArmTarget, true},
		{"replaced, earlier target alone", replaced, []string{"v2"}, ArmBaseline, ArmLast, true},
		{"replaced, all", replaced, []string{"v1", "v2", "v3"}, ArmBaseline, ArmBaseline, false},
	} {
		tr := new(Tracker)
		tr.Put(order(1, "v2"))
		tt.change(tr)
		got, ok := tr.OtherArm("chat", tt.arm, tt.serving)
		require.Equal(t, tt.ok, ok, tt.name)
		if ok {
			require.Equal(t, tt.want, got, tt.name)
		}
		if got == ArmLast {
			require.Nil(t, tr.VersionFilter("chat", got), tt.name)
			require.False(t, tr.Withdrawn("chat", "v2", tt.serving), tt.name)
		}
	}
	tr := new(Tracker)
	tr.Put(order(1, "v2"))
	rolledBack(tr)
	require.True(t, tr.Withdrawn("chat", "v2", []string{"v1", "v2"}))
	require.False(t, tr.Withdrawn("chat", "v1", []string{"v1", "v2"}))
}

// Prevents the only version from giving way to the next order's target because an order for itself was withdrawn.
func TestOnlyVersionIsNotRetired(t *testing.T) {
	tr := new(Tracker)
	o := order(1, "v1")
	o.OnlyVersion = true
	tr.Put(o)
	o.OnlyVersion = false
	tr.Put(o)
	tr.Delete("chat")
	tr.Put(order(2, "v2"))
	require.True(t, tr.VersionFilter("chat", ArmBaseline)("v1"))
	_, ok := tr.OtherArm("chat", ArmBaseline, []string{"v1", "v2"})
	require.False(t, ok)
}

// Prevents a rollback of an order that has nothing to move, and a completion without a test because the baseline is away for
// a moment.
func TestOrderWithNothingToMoveIsCompleted(t *testing.T) {
	sole := ServiceLoad{TargetUpstreams: 3, InFlight: 9}
	answered := Evidence{"r": {Baseline: Count{Good: 1}}}
	for _, tt := range []struct {
		name     string
		deadline int
		first    ServiceLoad
		e        Evidence
		want     Phase
		byMS     int
	}{
		{"enough time", 20000, sole, nil, PhaseDone, 1600},
		{"little time", 1000, sole, nil, PhaseDone, 1000},
		{"no time", 0, sole, nil, PhaseDone, 0},
		{"the baseline was there", 20000, ServiceLoad{TargetUpstreams: 3, BaselineUpstreams: 1}, nil, PhaseRolledBack, 20000},
		{"the baseline was busy", 20000, ServiceLoad{TargetUpstreams: 3, BaselineInFlight: 1}, nil, PhaseRolledBack, 20000},
		{"the baseline answered", 20000, sole, answered, PhaseRolledBack, 20000},
		{"the target came later", 20000, ServiceLoad{}, nil, PhaseDone, 1600},
	} {
		c := &Controller{Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
		o := order(1, "v2")
		o.Deadline = at(tt.deadline)
		p, load := Plan{}, tt.first
		for ms := 0; ms <= tt.byMS; ms += 200 {
			require.Equal(t, PhasePending, p.Phase, "%s at %d ms", tt.name, ms)
			p = c.Step(at(ms), o, p, tt.e, load)
			load = sole
		}
		require.Equal(t, tt.want, p.Phase, tt.name)
	}
}

// Prevents a node that becomes the controller while the baseline is away from completing an order that moves traffic.
func TestNextControllerKnowsTheBaselineFromTheOrder(t *testing.T) {
	c := &Controller{Bounds: Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	o, p := order(1, "v2"), Plan{}
	o.HadBaseline = true
	for ms := 0; ms <= 4000; ms += 200 {
		p = c.Step(at(ms), o, p, nil, ServiceLoad{TargetUpstreams: 3})
		require.Equal(t, PhasePending, p.Phase)
	}
}
