package sagemesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// rolloutNode is what a node of a virtual fleet knows of a rollout.
type rolloutNode struct {
	book    sagerollout.Tracker
	answers sageflight.Counter
}

// rolloutFleet is a virtual fleet that carries a rollout out, its first node being the controller.
type rolloutFleet struct {
	*virtual
	order sagerollout.Order
	parts []*rolloutNode
	bad   bool // the target fails half of its requests
	// exposed are the requests that the target got, total all requests.
	exposed, total int
}

// stepEvery is how often the controller issues plans, and nodes get requests.
const stepEvery = 200 * time.Millisecond

func newRolloutFleet(t *testing.T, seed uint64, nodes, centres int) *rolloutFleet {
	f := &rolloutFleet{virtual: newVirtual(t, seed, nodes, centres)}
	for _, n := range f.nodes {
		p := &rolloutNode{book: sagerollout.Tracker{Rand: f.rnd.Float64}}
		f.parts = append(f.parts, p)
		n.Fill = func(h *Heartbeat) {
			h.Ready = true
			p.answers.Set(p.book.Counts())
			h.Answers, h.Plans = p.answers.Report(), p.book.Plans()
		}
		n.FillSum = func(h *Heartbeat, all bool) {
			h.Sum = &Sum{FleetWide: all, Answers: p.answers.SumGroup(f.now, n.DataCentre)}
			if all {
				h.Sum.Answers = p.answers.Sum(f.now)
			}
		}
		n.OnHeartbeat = func(h *Heartbeat, _ sageclock.Instant) { p.learn(f.now, n.Service, h) }
	}
	f.play(4 * time.Second)
	f.order = sagerollout.Order{ID: 1, Name: "s", Service: "s", Target: "v2", FirstSeen: f.now, Deadline: f.now.Add(20 * time.Second)}
	for _, p := range f.parts {
		p.book.Put(f.order)
	}
	c := &sagerollout.Controller{Self: f.nodes[0].Name, Bounds: sagerollout.Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
	f.after(0, func() { f.step(c) })
	return f
}

// learn takes in what a heartbeat says of rollouts, as a node does.
func (p *rolloutNode) learn(now sageclock.Instant, s *Service, h *Heartbeat) {
	p.answers.UpdateNode(now, h.Node, h.DataCentre, h.Answers)
	for _, plan := range h.Plans {
		p.book.MergePlan(plan)
	}
	m := h.Member()
	switch near := h.DataCentre == s.DataCentre; {
	case h.Sum == nil || !s.IsAggregator(&m):
	case h.Sum.FleetWide && near:
		p.answers.UpdateTotal(now, h.Sum.Answers)
	case !h.Sum.FleetWide && !near:
		p.answers.UpdateGroup(now, h.DataCentre, h.Sum.Answers)
	}
}

// step has each node serve its requests and the controller issue a plan.
func (f *rolloutFleet) step(c *sagerollout.Controller) {
	for i, p := range f.parts {
		if f.nodes[i].dark {
			continue
		}
		f.total++
		if p.book.Arm(f.now, "s", "r") != sagerollout.ArmTarget {
			p.book.RecordAnswer("s", "v1", "r", false)
			continue
		}
		f.exposed++
		p.book.RecordAnswer("s", "v2", "r", f.bad && f.rnd.IntN(2) == 0)
	}
	first := f.parts[0]
	e := first.book.Entries()[0]
	evidence := sagerollout.CollectEvidence(e.Order.ID, first.answers.Sum(f.now))
	first.book.MergePlan(c.Step(f.now, e.Order, e.Plan, evidence, sagerollout.ServiceLoad{TargetSlots: 1000, BaselineSlots: 1000, InFlight: 10, BaselineInFlight: 10}))
	f.after(stepEvery, func() { f.step(c) })
}

// in returns how many living nodes have a plan in a phase.
func (f *rolloutFleet) in(phase sagerollout.Phase) int {
	n := 0
	for i, p := range f.parts {
		if !f.nodes[i].dark && p.book.Entries()[0].Plan.Phase == phase {
			n++
		}
	}
	return n
}

// Guards against a version that turns bad at full share and goes on getting requests of a large fleet.
func TestBadVersionIsUndoneByAllNodesOfALargeFleet(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, manyNodes, manyCentres)
	f.until(20*time.Second, func() bool { return f.in(sagerollout.PhaseFull) == manyNodes })
	f.bad = true
	took := f.until(5*time.Second, func() bool { return f.in(sagerollout.PhaseRolledBack) == manyNodes })
	t.Log("undone by all nodes after", took)
	exposed := f.exposed
	f.play(2 * time.Second)
	require.Equal(t, exposed, f.exposed)
}

// Guards against nodes that miss the canary's share because half of the hubs are lost in the middle.
func TestRolloutGoesOnWithoutHubs(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 4, manyNodes, manyCentres)
	f.until(10*time.Second, func() bool { return f.in(sagerollout.PhaseCanary) == manyNodes })
	hubs := f.nodes[0].hubs()
	for _, n := range f.nodes[1:] {
		n.dark = n.DataCentre < "dc3" && hubs[n.DataCentre].first == n.Address
	}
	f.bad = true
	living := 0
	for _, n := range f.nodes {
		if !n.dark {
			living++
		}
	}
	f.until(10*time.Second, func() bool { return f.in(sagerollout.PhaseRolledBack) == living })
	require.LessOrEqual(t, float64(f.exposed), 0.1*float64(f.total)+50)
}
