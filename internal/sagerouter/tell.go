package sagerouter

import (
	"context"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
)

// What heartbeats carry, and how old it gets on its way.
const (
	// mostLag is the part of the age that proofs get by heartbeats which a follower's own threshold covers: two of the shortest
	// intervals.
	mostLag = 400 * time.Millisecond
	// sumLag is how far sums of counts lag: they pass two or three nodes that each wait up to 200 ms,
	// half of it on average.
	sumLag = 300 * time.Millisecond
	// heldNotes is how many facts on prompt parts ride on one heartbeat, 7 KB at most.
	heldNotes = 400
	// listedNotes is the same for parts that upstreams listed, 4 KB at most.
	listedNotes = 1000
)

// fill completes a heartbeat.
func (n *Node) fill(h *sagemesh.Heartbeat) {
	h.Ready, h.Leaving, h.Synced = n.Ready(), n.leaving.Load(), n.recall.informed.Load()
	h.Copies = make(map[string]sagefollow.Position, len(n.copies))
	for kind, f := range n.copies {
		h.Copies[kind] = f.Position()
		h.StoreUnreachable = h.StoreUnreachable || f.Failing()
	}
	h.InFlight = n.fleet.flights.Report()
	h.Broken = n.fleet.health.RecentlyBroken(sageclock.Now())
	n.fleet.broken.Set(ones(h.Broken))
	n.fleet.broken.Report()
	n.fillCrashes(h)
	if n.fleet.rollouts != nil {
		n.fleet.answers.Set(n.fleet.rollouts.Counts())
		h.Answers, h.Plans = n.fleet.answers.Report(), n.fleet.rollouts.Plans()
	}
}

// fillNews adds what the other nodes have not been told.
func (n *Node) fillNews(h *sagemesh.Heartbeat) {
	h.Held, h.Listed = n.fleet.placer.TakeUpdates(heldNotes), n.fleet.placer.TakeListedUpdates(listedNotes)
}

// fillSum adds what this data centre's nodes count, or what all do.
func (n *Node) fillSum(h *sagemesh.Heartbeat, all bool) {
	now := sageclock.Now()
	of := func(c *sageflight.Counter) sageflight.Counts {
		if all {
			return c.Sum(now)
		}
		return c.SumGroup(now, n.Settings.DataCentre)
	}
	h.Sum = &sagemesh.Sum{FleetWide: all, InFlight: of(&n.fleet.flights), Broken: of(&n.fleet.broken), Answers: of(&n.fleet.answers)}
}

// hearSum takes the sum in that comes with a heartbeat, if its sender is the one to make it.
func (n *Node) hearSum(now sageclock.Instant, h *sagemesh.Heartbeat) {
	m := h.Member()
	near := h.DataCentre == n.Settings.DataCentre
	switch {
	case h.Sum == nil || !n.mesh.IsAggregator(&m):
	case h.Sum.FleetWide && near:
		n.fleet.flights.UpdateTotal(now, h.Sum.InFlight)
		n.fleet.broken.UpdateTotal(now, h.Sum.Broken)
		n.fleet.answers.UpdateTotal(now, h.Sum.Answers)
	case !h.Sum.FleetWide && !near:
		n.fleet.flights.UpdateGroup(now, h.DataCentre, h.Sum.InFlight)
		n.fleet.broken.UpdateGroup(now, h.DataCentre, h.Sum.Broken)
		n.fleet.answers.UpdateGroup(now, h.DataCentre, h.Sum.Answers)
	}
}

// heard takes a heartbeat in.
func (n *Node) heard(h *sagemesh.Heartbeat, stamp sageclock.Instant) {
	now := sageclock.Now()
	n.fleet.flights.UpdateNode(now, h.Node, h.DataCentre, h.InFlight)
	n.fleet.broken.UpdateNode(now, h.Node, h.DataCentre, ones(h.Broken))
	if n.fleet.rollouts != nil {
		n.fleet.answers.UpdateNode(now, h.Node, h.DataCentre, h.Answers)
		for _, p := range h.Plans {
			n.learnPlan(now, p)
		}
	}
	n.learnCrashes(now, h)
	n.hearSum(now, h)
	if len(h.Broken) > 0 || h.Sum != nil {
		n.fleet.told(now)
	}
	n.fleet.placer.Merge(now, h.Held)
	n.fleet.placer.MergeListed(now, h.Listed)
	if stamp == 0 {
		return
	}
	near := h.DataCentre == n.Settings.DataCentre || n.mesh.IsFirstInDataCentre()
	for kind, p := range h.Copies {
		if f := n.copies[kind]; f != nil {
			f.HandlePosition(context.Background(), h.Address, p, stamp, near)
		}
	}
}

// ones counts each upstream once.
func ones(upstreams []string) sageflight.Counts {
	out := make(sageflight.Counts, len(upstreams))
	for _, u := range upstreams {
		out[u] = 1
	}
	return out
}

// countsLag is the time between two statements of the other nodes' counts.
func (n *Node) countsLag() time.Duration {
	if n.fleet.flights.HasFreshSums(sageclock.Now()) {
		return sumLag
	}
	return n.mesh.Interval()
}

// changed tells the peers of changed content: all of them if the store told this node, those of its
// data centre if this node fetched it for them.
func (n *Node) changed(own bool) {
	if own || n.mesh.IsFirstInDataCentre() {
		n.mesh.TriggerHeartbeats(own)
	}
}

// lag is the age that a proof gets by heartbeats: the peer's own and the stamp that it echoes.
func (n *Node) lag() time.Duration {
	if n.mesh.IsStandby() {
		return 0
	}
	return max(0, n.mesh.PropagationDelay()-mostLag)
}
