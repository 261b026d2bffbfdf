package sagemesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// rolloutNode is the rollout state of a node of a virtual fleet.
type rolloutNode struct {
	tracker sagerollout.Tracker
	answers sageflight.Counter
}

// rolloutFleet is a virtual fleet with a rollout, whose controller is the first node.
type rolloutFleet struct {
	*virtualFleet
	order       sagerollout.Order
	states      []*rolloutNode
	targetFails bool // the target fails half of its requests
	// exposed counts the requests sent to the target, total all requests.
	exposed, total int
}

// stepInterval is the interval at which the controller issues plans and each node gets a request.
const stepInterval = 200 * time.Millisecond

func newRolloutFleet(t *testing.T, seed uint64, nodes, centres int) *rolloutFleet {
	f := &rolloutFleet{virtualFleet: newVirtualFleet(t, seed, nodes, centres)}
	for _, n := range f.nodes {
		p := &rolloutNode{tracker: sagerollout.Tracker{Rand: f.rnd.Float64}}
		f.states = append(f.states, p)
		n.Fill = func(h *Heartbeat) {
			h.Ready = true
			p.answers.Set(p.tracker.Counts())
			h.Answers, h.Plans = p.answers.Report(), p.tracker.Plans()
		}
		n.FillSum = func(h *Heartbeat, fleetWide bool) {
			h.Sum = &Sum{FleetWide: fleetWide, Answers: p.answers.SumGroup(f.now, n.DataCentre)}
			if fleetWide {
				h.Sum.Answers = p.answers.Sum(f.now)
			}
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { p.handle(f.now, n.Service, h) }
	}
	f.advance(4 * time.Second)
	f.order = sagerollout.Order{ID: 1, Name: "s", Service: "s", Target: "v2", FirstSeen: f.now, Deadline: f.now.Add(20 * time.Second)}
	for _, p := range f.states {
		p.tracker.Put(f.order)
	}
	c := &sagerollout.Controller{Self: f.nodes[0].Name, Bounds: sagerollout.Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	f.schedule(0, func() { f.step(c) })
	return f
}

// handle updates the rollout state from a heartbeat, as a real node does.
func (p *rolloutNode) handle(now sageclock.Instant, s *Service, h *Heartbeat) {
	p.answers.UpdateNode(now, h.Node, h.DataCentre, h.Answers)
	for _, plan := range h.Plans {
		p.tracker.MergePlan(plan)
	}
	m := h.Member()
	switch local := h.DataCentre == s.DataCentre; {
	case h.Sum == nil || !s.IsAggregator(&m):
	case h.Sum.FleetWide && local:
		p.answers.UpdateTotal(now, h.Sum.Answers)
	case !h.Sum.FleetWide && !local:
		p.answers.UpdateGroup(now, h.DataCentre, h.Sum.Answers)
	}
}

// step makes each node handle a request and the controller issue a plan.
func (f *rolloutFleet) step(c *sagerollout.Controller) {
	for i, p := range f.states {
		if f.nodes[i].down {
			continue
		}
		f.total++
		if p.tracker.Arm(f.now, "s", "r") != sagerollout.ArmTarget {
			p.tracker.RecordAnswer("s", "v1", "r", false)
			continue
		}
		f.exposed++
		p.tracker.RecordAnswer("s", "v2", "r", f.targetFails && f.rnd.IntN(2) == 0)
	}
	controllerState := f.states[0]
	e := controllerState.tracker.Entries()[0]
	evidence := sagerollout.CollectEvidence(e.Order.ID, controllerState.answers.Sum(f.now))
	controllerState.tracker.MergePlan(c.Step(f.now, e.Order, e.Plan, evidence, sagerollout.ServiceLoad{TargetSlots: 1000, BaselineSlots: 1000, InFlight: 10, BaselineInFlight: 10}))
	f.schedule(stepInterval, func() { f.step(c) })
}

// countInPhase returns how many nodes that are up have a plan in a phase.
func (f *rolloutFleet) countInPhase(phase sagerollout.Phase) int {
	n := 0
	for i, p := range f.states {
		if !f.nodes[i].down && p.tracker.Entries()[0].Plan.Phase == phase {
			n++
		}
	}
	return n
}

// A version that starts to fail at full share must get no more requests from any node of a large fleet.
func TestBadVersionIsRolledBackOnAllNodesOfLargeFleet(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, largeFleetSize, largeFleetCentres)
	f.advanceUntil(20*time.Second, func() bool { return f.countInPhase(sagerollout.PhaseFull) == largeFleetSize })
	f.targetFails = true
	took := f.advanceUntil(5*time.Second, func() bool { return f.countInPhase(sagerollout.PhaseRolledBack) == largeFleetSize })
	t.Log("rolled back by all nodes after", took)
	exposed := f.exposed
	f.advance(2 * time.Second)
	require.Equal(t, exposed, f.exposed)
}

// Half of the aggregators are lost during the canary phase. The other nodes must still apply the controller's
// plans, so that the target gets no more than its share.
func TestRolloutContinuesWithoutAggregators(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 4, largeFleetSize, largeFleetCentres)
	f.advanceUntil(10*time.Second, func() bool { return f.countInPhase(sagerollout.PhaseCanary) == largeFleetSize })
	aggregators := f.nodes[0].aggregators()
	for _, n := range f.nodes[1:] {
		n.down = n.DataCentre < "dc3" && aggregators[n.DataCentre].primary == n.Address
	}
	f.targetFails = true
	upCount := 0
	for _, n := range f.nodes {
		if !n.down {
			upCount++
		}
	}
	f.advanceUntil(10*time.Second, func() bool { return f.countInPhase(sagerollout.PhaseRolledBack) == upCount })
	require.LessOrEqual(t, float64(f.exposed), 0.1*float64(f.total)+50)
}
