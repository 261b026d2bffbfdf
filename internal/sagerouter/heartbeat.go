package sagerouter

import (
	"context"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagedemand"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagereach"
)

// Limits and delays of the content of heartbeats.
const (
	// coveredProofDelay is the part of the propagation delay of freshness proofs that a follower's own threshold
	// already allows for: two of the shortest heartbeat intervals.
	coveredProofDelay = 400 * time.Millisecond
	// sumDelay is the mean delay of the sums of counts: they pass two or three nodes, each of which waits up to
	// 200 ms, half of it on average.
	sumDelay = 300 * time.Millisecond
	// maxObservedParts is how many cached prompt parts one heartbeat reports, 7 KB at most.
	maxObservedParts = 400
	// maxListedParts is the same for the parts that upstreams listed themselves, 4 KB at most.
	maxListedParts = 1000
)

// fillHeartbeat sets this node's state in a heartbeat.
func (n *Node) fillHeartbeat(h *sagemesh.Heartbeat) {
	h.Ready, h.Leaving, h.Synced = n.Ready(), n.isLeaving(), n.cacheResync.synced.Load()
	h.Copies = make(map[string]sagefollow.Position, len(n.copies))
	for kind, f := range n.copies {
		h.Copies[kind] = f.Position()
		h.StoreUnreachable = h.StoreUnreachable || f.Failing()
	}
	h.InFlight = n.fleet.inFlight.Report()
	h.Broken, h.Unanswered = n.fleet.reportableBroken(sageclock.Now())
	h.Unreachable = n.fleet.reach.Services(sagereach.Lost)
	n.fleet.brokenNodes.Set(onePerUpstream(h.Broken))
	n.fleet.brokenNodes.Report()
	h.Answered = n.fleet.reach.Contradicted(sageclock.Now())
	n.fleet.answeredNodes.Set(onePerUpstream(h.Answered))
	n.fleet.answeredNodes.Report()
	h.Brittle, h.Limits = n.fleet.brittle.limits.Reports(sageclock.Now())
	n.fillCrashes(h)
	h.Demand = n.fleet.reportDemand(sageclock.Now())
	if n.fleet.rollouts != nil {
		n.fleet.rolloutAnswers.Set(n.fleet.rollouts.Counts())
		h.Answers, h.Plans = n.fleet.rolloutAnswers.Report(), n.fleet.rollouts.Plans()
	}
}

// fillUpdates adds the cached prompt parts that have not been sent to the other nodes yet.
func (n *Node) fillUpdates(h *sagemesh.Heartbeat) {
	h.Held, h.Listed = n.fleet.placer.TakeUpdates(maxObservedParts), n.fleet.placer.TakeListedUpdates(maxListedParts)
}

// fillSum adds the sums of the counts of this data centre's nodes, or of all nodes.
func (n *Node) fillSum(h *sagemesh.Heartbeat, fleetWide bool) {
	now := sageclock.Now()
	sumOf := func(c *sageflight.Counter) sageflight.Counts {
		if fleetWide {
			return c.Sum(now)
		}
		return c.SumGroup(now, n.Settings.DataCentre)
	}
	h.Sum = &sagemesh.Sum{
		FleetWide: fleetWide, InFlight: sumOf(&n.fleet.inFlight), Broken: sumOf(&n.fleet.brokenNodes), Answered: sumOf(&n.fleet.answeredNodes),
		Answers: sumOf(&n.fleet.rolloutAnswers), Demand: sagedemand.Truncate(sumOf(&n.fleet.demand.counts)),
	}
}

// mergeSum updates the counters from the sum in an aggregator's heartbeat. Totals of the fleet are used only from
// this data centre, and sums of a data centre only from other ones.
func (n *Node) mergeSum(now sageclock.Instant, h *sagemesh.Heartbeat) {
	m := h.Member()
	local := h.DataCentre == n.Settings.DataCentre
	switch {
	case h.Sum == nil || !n.mesh.IsAggregator(&m):
	case h.Sum.FleetWide && local:
		n.fleet.inFlight.UpdateTotal(now, h.Sum.InFlight)
		n.fleet.brokenNodes.UpdateTotal(now, h.Sum.Broken)
		n.fleet.answeredNodes.UpdateTotal(now, h.Sum.Answered)
		n.fleet.rolloutAnswers.UpdateTotal(now, h.Sum.Answers)
		n.fleet.demand.updateTotal(now, h.Sum.Demand)
	case !h.Sum.FleetWide && !local:
		n.fleet.inFlight.UpdateGroup(now, h.DataCentre, h.Sum.InFlight)
		n.fleet.brokenNodes.UpdateGroup(now, h.DataCentre, h.Sum.Broken)
		n.fleet.answeredNodes.UpdateGroup(now, h.DataCentre, h.Sum.Answered)
		n.fleet.rolloutAnswers.UpdateGroup(now, h.DataCentre, h.Sum.Answers)
		n.fleet.demand.updateGroup(now, h.DataCentre, h.Sum.Demand)
	}
}

// handleHeartbeat merges a heartbeat from another node. stamp is this node's stamp that the sender echoed, or 0;
// without it the ages of the sender's copies prove nothing.
func (n *Node) handleHeartbeat(h *sagemesh.Heartbeat, stamp sageclock.Instant) {
	now := sageclock.Now()
	n.fleet.inFlight.UpdateNode(now, h.Node, h.DataCentre, h.InFlight)
	n.fleet.brokenNodes.UpdateNode(now, h.Node, h.DataCentre, onePerUpstream(h.Broken))
	n.fleet.answeredNodes.UpdateNode(now, h.Node, h.DataCentre, onePerUpstream(h.Answered))
	n.fleet.demand.updateNode(now, h.Node, h.DataCentre, h.Demand)
	n.fleet.recordReports(now, h)
	if n.fleet.rollouts != nil {
		n.fleet.rolloutAnswers.UpdateNode(now, h.Node, h.DataCentre, h.Answers)
		for _, p := range h.Plans {
			n.mergePlan(now, p)
		}
	}
	n.mergeBrittle(now, h)
	n.mergeCrashes(now, h)
	n.mergeSum(now, h)
	if len(h.Broken) > 0 || h.Sum != nil {
		n.fleet.applyPeerReports(now)
	}
	n.fleet.placer.Merge(now, h.Held)
	n.fleet.placer.MergeListed(now, h.Listed)
	if stamp == 0 {
		return
	}
	m := h.Member()
	fetchNow := n.mesh.FetchesForDataCentre() || h.DataCentre == n.Settings.DataCentre && n.mesh.IsAggregator(&m)
	for kind, p := range h.Copies {
		if f := n.copies[kind]; f != nil {
			f.HandlePosition(context.Background(), h.Address, p, stamp, fetchNow)
		}
	}
}

// onePerUpstream returns a count of one for each upstream.
func onePerUpstream(upstreams []string) sageflight.Counts {
	out := make(sageflight.Counts, len(upstreams))
	for _, u := range upstreams {
		out[u] = 1
	}
	return out
}

// countLag returns the delay of the other nodes' counts.
func (n *Node) countLag() time.Duration {
	if n.fleet.inFlight.HasFreshSums(sageclock.Now()) {
		return sumDelay
	}
	return n.mesh.Interval()
}

// contentChanged sends heartbeats after a copy changed: to all peers if this node read the change from the store
// (fromStore is true), or to those of this data centre if it came from a peer and this node fetches for them.
func (n *Node) contentChanged(fromStore bool) {
	if fromStore || n.mesh.FetchesForDataCentre() {
		n.mesh.TriggerHeartbeats(fromStore)
	}
}

// peerProofDelay returns the part of the propagation delay of freshness proofs that exceeds the follower's
// allowance.
func (n *Node) peerProofDelay() time.Duration {
	if n.mesh.IsStandby() {
		return 0
	}
	return max(0, n.mesh.PropagationDelay()-coveredProofDelay)
}
