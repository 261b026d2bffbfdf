package sagemeasure

import (
	"fmt"

	"sagestand.example/sagestand/pkg/sagemember"
)

// Parameters of the membership measurement.
const (
	memberBootRounds      = 60  // maximum rounds until all nodes know each other
	memberSteadyRounds    = 60  // rounds of steady state
	memberChangeRounds    = 120 // maximum rounds until a change is known everywhere
	memberLinkRounds      = 300 // rounds with a broken link
	controlBytesPerSecond = 19_000
)

// memberSize is the size of a fleet and the loss rates to measure it with.
type memberSize struct {
	nodes, dataCentres int
	losses             []float64
}

// Membership measures the member table and its exchange at several fleet sizes and loss rates: the
// bytes that a node sends and receives, the rounds until a join, a leave and a death are known
// everywhere, and the nodes wrongly considered dead, these under three policies with broken links too.
func Membership(seed uint64) ([]Sample, error) {
	var samples []Sample
	losses := []float64{0, 0.01, 0.1, 0.3}
	for _, size := range []memberSize{{8, 4, losses}, {50, 9, losses}, {150, 9, losses}, {400, 9, []float64{0}}} {
		for _, loss := range size.losses {
			s, err := measureMembership(seed, size, loss)
			if err != nil {
				return nil, fmt.Errorf("%d nodes: %w", size.nodes, err)
			}
			samples = append(samples, s...)
		}
	}
	for _, l := range brokenLinks {
		s, err := l.run(seed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", l.name, err)
		}
		samples = append(samples, s...)
	}
	return samples, nil
}

// measureMembership measures one fleet size at one loss rate.
func measureMembership(seed uint64, size memberSize, loss float64) ([]Sample, error) {
	f := NewMemberFleet(seed)
	f.LossRate = loss
	if err := f.AddNodes(size.nodes, size.dataCentres, sagemember.DefaultLimits()); err != nil {
		return nil, err
	}
	scenario := fmt.Sprintf("%d nodes, %g%% lost", size.nodes, loss*100)
	sample := func(metric, unit string, v float64, t *Target) Sample {
		return Sample{Scenario: scenario, Policy: "indirect check", Metric: metric, Unit: unit, Value: v, Target: t}
	}
	bootRounds := f.RunUntil(memberBootRounds, f.Converged)
	evictions, bytes := f.Evictions(), f.MessageBytes
	f.RunUntil(memberSteadyRounds, func() bool { return false })
	perNode := 2 * float64(f.MessageBytes-bytes) / memberSteadyRounds / float64(size.nodes)
	wrongEvictions := f.Evictions() - evictions
	join, leave, death, err := f.measureChanges()
	if err != nil {
		return nil, err
	}
	return []Sample{
		sample("rounds until all know each other", "s", float64(bootRounds), nil),
		sample("payload a node, both ways", "B/s", perNode, &Target{AtMost, controlBytesPerSecond}),
		sample("nodes wrongly taken for dead in 60 s", "", float64(wrongEvictions), &Target{AtMost, 0}),
		sample("rounds until a join is known", "s", float64(join), nil),
		sample("rounds until a leave is known", "s", float64(leave), nil),
		sample("rounds until a death is known", "s", float64(death), nil),
	}, nil
}

// measureChanges lets a node join, leave and die, and returns the rounds until each change is known
// everywhere.
func (f *MemberFleet) measureChanges() (join, leave, death int, err error) {
	n, err := f.StartNode("10.9.9.9:7000", "dc0", sagemember.DefaultLimits())
	if err != nil {
		return 0, 0, 0, err
	}
	id := n.Table.LocalNode().Incarnation
	knownEverywhere := func(ok func(sagemember.Node) bool) func() bool {
		return func() bool {
			for _, m := range f.Running() {
				if m != n && !m.knows(id, ok) {
					return false
				}
			}
			return true
		}
	}
	join = f.RunUntil(memberChangeRounds, knownEverywhere(func(x sagemember.Node) bool { return x.State == sagemember.Alive }))
	n.Table.AdvancePhase(sagemember.Leaving)
	leave = f.RunUntil(memberChangeRounds, knownEverywhere(func(x sagemember.Node) bool { return x.Phase == sagemember.Leaving }))
	n.Stopped = true
	death = f.RunUntil(memberChangeRounds, knownEverywhere(func(x sagemember.Node) bool { return x.State == sagemember.Dead }))
	return join, leave, death, nil
}

// knows reports whether the node knows an incarnation and its entry satisfies ok.
func (n *MemberNode) knows(id uint64, ok func(sagemember.Node) bool) bool {
	x, known := n.Table.Node(id)
	return known && ok(x)
}

// brokenLink is a scenario in which every node runs and some links are broken.
type brokenLink struct {
	name     string
	nodes    int
	lossRate float64
	linkDown func(f *MemberFleet) func(from, to *MemberNode) bool
}

var brokenLinks = []brokenLink{
	{name: "8 nodes, one link broken", nodes: 8, linkDown: func(f *MemberFleet) func(from, to *MemberNode) bool {
		a, b := f.Nodes[0], f.Nodes[4]
		return func(from, to *MemberNode) bool { return from == a && to == b || from == b && to == a }
	}},
	{name: "8 nodes, one link broken one way", nodes: 8, linkDown: func(f *MemberFleet) func(from, to *MemberNode) bool {
		a, b := f.Nodes[0], f.Nodes[4]
		return func(from, to *MemberNode) bool { return from == a && to == b }
	}},
	{name: "8 nodes, one reaches half of the others", nodes: 8, linkDown: func(f *MemberFleet) func(from, to *MemberNode) bool {
		unreachable := make(map[*MemberNode]bool)
		for _, n := range f.Nodes[4:] {
			unreachable[n] = true
		}
		a := f.Nodes[0]
		return func(from, to *MemberNode) bool { return from == a && unreachable[to] || to == a && unreachable[from] }
	}},
	{name: "24 nodes, 45% lost", nodes: 24, lossRate: 0.45},
}

// run counts the nodes wrongly considered dead under the table's rule, under the same rule without the
// indirect check, and under the baseline.
func (l *brokenLink) run(seed uint64) ([]Sample, error) {
	const metric = "nodes wrongly taken for dead in 300 s"
	var samples []Sample
	for _, checks := range []int{sagemember.DefaultLimits().IndirectChecks, 0} {
		limits := sagemember.DefaultLimits()
		limits.IndirectChecks = checks
		f := NewMemberFleet(seed)
		if err := f.AddNodes(l.nodes, 4, limits); err != nil {
			return nil, err
		}
		f.RunUntil(memberBootRounds, f.Converged)
		f.LossRate = l.lossRate
		if l.linkDown != nil {
			f.LinkDown = l.linkDown(f)
		}
		f.RunUntil(memberLinkRounds, func() bool { return false })
		policy, target := "indirect check", &Target{AtMost, 0}
		if checks == 0 {
			policy, target = "no check", nil
		}
		samples = append(samples, Sample{Scenario: l.name, Policy: policy, Metric: metric, Value: float64(f.Evictions()), Target: target})
		if checks > 0 {
			samples = append(samples, Sample{Scenario: l.name, Policy: "three failed calls", Metric: metric, Value: float64(f.BaselineEvictions)})
		}
	}
	return samples, nil
}
