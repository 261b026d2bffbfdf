package sagemeasure

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagesync"
)

// Fleet of the isolation measurement: three regions of three data centres with two nodes each. Data
// centre d is in region d/3, the store in region 0.
const (
	isoDataCentres = 9
	isoRegions     = 3
	isoNodes       = 18
	isoRounds      = 300
	isoExitRound   = 30
	// isoGraceRounds is the time after an accepted exit in which nodes may still send work to the data
	// centre.
	isoGraceRounds = 8
	// isoBookingShare is the fraction of requests that aren't idempotent.
	isoBookingShare = 0.3
)

// isolationFault is a fault that lasts for the whole measurement: which nodes reach each other, and
// which the store.
type isolationFault struct {
	name         string
	reachable    func(a, b *configNode) bool
	reachesStore func(n *configNode) bool
	// exitDataCentre is the data centre that operators take out of service through exitNode, or -1.
	exitDataCentre, exitNode int
}

// region returns the region of a node.
func region(n *configNode) int { return n.index % isoDataCentres / isoRegions }

func anyLink(_, _ *configNode) bool { return true }

func sameRegion(a, b *configNode) bool { return region(a) == region(b) }

// isolationFaults returns the cases. The exit is in a region that is cut off from the store: nodes
// there go on sending work to the data centre if they don't know of the exit.
func isolationFaults() []isolationFault {
	cutOff := func(n *configNode) bool { return n.index == 8 }
	return []isolationFault{
		{"store out", anyLink, func(*configNode) bool { return false }, -1, 0},
		{"one node cut off, exit", func(a, b *configNode) bool { return cutOff(a) == cutOff(b) }, func(n *configNode) bool { return !cutOff(n) }, 8, 0},
		{
			"far region cut off, exit",
			func(a, b *configNode) bool { return (region(a) == 2) == (region(b) == 2) },
			func(n *configNode) bool { return region(n) != 2 },
			8, 0,
		},
		{
			"region of the store cut off, exit",
			func(a, b *configNode) bool { return (region(a) == 0) == (region(b) == 0) },
			func(n *configNode) bool { return region(n) == 0 },
			8, 0,
		},
		{"far region cut off and store out", func(a, b *configNode) bool { return (region(a) == 2) == (region(b) == 2) }, func(*configNode) bool { return false }, -1, 0},
		{"all regions lose each other, exit", sameRegion, func(n *configNode) bool { return region(n) == 0 }, 8, 0},
	}
}

// Isolation measures how much service each rule for isolated nodes costs, and how much work still goes
// to a data centre that operators took out of service.
func Isolation(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, t := range isolationFaults() {
		for _, policy := range []sagesync.IsolationPolicy{sagesync.IsolatedServe, sagesync.IsolatedIdempotent, sagesync.IsolatedFence, sagesync.IsolatedQuorum} {
			s, err := measureIsolation(seed, t, sagesync.Rule{Isolated: policy, MaxEvidenceAge: sagesync.DefaultMaxEvidenceAge, CatchUpTimeout: sagesync.DefaultCatchUpTimeout})
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", t.name, policy, err)
			}
			for i := range s {
				s[i].Scenario, s[i].Policy = t.name, string(policy)
			}
			out = append(out, s...)
		}
	}
	return out, nil
}

// measureIsolation runs one fault under one rule. Each node gets the same load per round and spreads it
// over the data centres that it reaches and that are in service by its own state.
func measureIsolation(seed uint64, t isolationFault, rule sagesync.Rule) ([]Sample, error) {
	f, err := newConfigFleet(seed, isoNodes, isoDataCentres, true)
	if err != nil {
		return nil, err
	}
	for d := range isoDataCentres {
		if err := f.submitTicket(f.nodes[0], fmt.Sprintf("dc%d", d), true); err != nil {
			return nil, err
		}
	}
	for range convergeRounds {
		f.step()
	}
	byMember := make(map[*MemberNode]*configNode)
	for _, n := range f.nodes {
		byMember[n.MemberNode] = n
	}
	f.LinkDown = func(from, to *MemberNode) bool { return !t.reachable(byMember[from], byMember[to]) }
	f.reachesStore = t.reachesStore
	var lostWork, sentToExited, offeredWork float64
	accepted := t.exitDataCentre < 0
	exitRound := 0
	for round := 1; round <= isoRounds; round++ {
		f.step()
		for _, n := range f.nodes {
			n.recordQuorum(f.Now)
		}
		if round >= isoExitRound && !accepted && rule.MayAccept(f.Now, f.nodes[t.exitNode].replica.Status()) {
			if err := f.submitTicket(f.nodes[t.exitNode], fmt.Sprintf("dc%d", t.exitDataCentre), false); err != nil {
				return nil, err
			}
			accepted, exitRound = true, round
		}
		for _, n := range f.nodes {
			share, exitedShare := n.workShare(f, t, exitRound > 0 && round > exitRound+isoGraceRounds)
			served := servedShare(rule.Evaluate(f.Now, n.replica.Status()).Level)
			offeredWork++
			lostWork += 1 - served
			sentToExited += served * share * exitedShare
		}
	}
	acceptedPercent := 0.0
	if accepted {
		acceptedPercent = 100
	}
	out := []Sample{
		{Metric: "service lost", Unit: "%", Value: 100 * lostWork / offeredWork},
		{Metric: "work sent to the data centre that was out", Unit: "%", Value: 100 * sentToExited / offeredWork},
	}
	if t.exitDataCentre >= 0 {
		out = append(out, Sample{Metric: "exit accepted", Unit: "%", Value: acceptedPercent})
	}
	return out, nil
}

// servedShare returns the fraction of the requests that a node serves at a service level.
func servedShare(m sagesync.ServiceLevel) float64 {
	switch m {
	case sagesync.ServeAll:
		return 1
	case sagesync.ServeIdempotent:
		return 1 - isoBookingShare
	}
	return 0
}

// workShare returns the fraction of n's work that each data centre gets. exitedShare is 1 if n still
// uses the data centre that must no longer receive work, otherwise 0.
func (n *configNode) workShare(f *configFleet, t isolationFault, afterExit bool) (share, exitedShare float64) {
	usedDataCentres := 0
	for _, o := range f.nodes[:isoDataCentres] {
		dc, ok := n.replica.Current().State.DataCentre(o.Table.Self.DataCentre)
		if !ok || !dc.InService || !t.reachable(n, o) && n.index%isoDataCentres != o.index {
			continue
		}
		usedDataCentres++
		if afterExit && o.index == t.exitDataCentre {
			exitedShare = 1
		}
	}
	if usedDataCentres == 0 {
		return 0, 0
	}
	return 1 / float64(usedDataCentres), exitedShare
}

// recordQuorum sets the time of the replica's latest contact with a majority of the roster. The roster
// is all nodes of the fleet, which works because the table keeps dead nodes for longer than the
// measurement runs.
func (n *configNode) recordQuorum(now time.Time) {
	contacts := []time.Time{now}
	for _, m := range n.Table.All() {
		if m.Incarnation != n.Table.LocalNode().Incarnation && m.Phase != sagemember.Gone {
			contacts = append(contacts, m.LastContact)
		}
	}
	n.replica.RecordQuorum(sagesync.QuorumAt(now, contacts))
}
