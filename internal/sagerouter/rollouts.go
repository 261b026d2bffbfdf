package sagerouter

import (
	"context"
	"math"
	"slices"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of rollouts.
const (
	// stepInterval is how often the controller issues plans, a tenth of their lease.
	stepInterval = 200 * time.Millisecond
	// statusTimeout limits one write of a status. Writes for the same order start at least statusTimeout plus
	// statusWriteDelay apart.
	statusTimeout    = time.Second
	statusWriteDelay = 500 * time.Millisecond
)

// applyRollouts applies changes of the rollout orders.
func (n *Node) applyRollouts(changes []sagefollow.Change, _ bool) {
	now := sageclock.Now()
	log := n.Log.Component("rollouts")
	for _, c := range changes {
		if c.Deleted {
			log.Info("Rollout order withdrawn.", "name", c.Object.Name, "revision", c.Object.Revision)
			n.fleet.rollouts.Delete(c.Object.Name)
			continue
		}
		o, err := n.Decoder.Rollout(c.Object, now)
		if err != nil {
			log.Error("Rollout order is invalid.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			n.fleet.rollouts.Delete(c.Object.Name)
			continue
		}
		o.Rewritten = c.Rewritten
		serving := n.view.upstreams.Load().ServingVersions(o.Service)
		o.HadBaseline = slices.ContainsFunc(serving, func(version string) bool { return version != o.Target })
		o.OnlyVersion = len(serving) > 0 && !o.HadBaseline
		if n.fleet.rollouts.Put(o) {
			log.Info("Rollout order received.", "name", o.Name, "rewritten", o.Rewritten, "service", o.Service, "target", o.Target, "state", string(o.State),
				"left_ms", o.Deadline.Sub(now).Milliseconds(), "revision", o.Revision)
		}
	}
}

// mergePlan merges a plan issued by this node or received from another.
func (n *Node) mergePlan(now sageclock.Instant, p sagerollout.Plan) {
	if n.fleet.rollouts.MergePlan(p) {
		n.Log.Component("rollouts").Info("Rollout phase.", "order", p.OrderID, "phase", p.Phase.String(), "share", p.Share,
			"version", p.Sequence, "by", p.Controller, "age_ms", now.Sub(p.IssuedAt).Milliseconds())
	}
}

// rolloutController advances the plans of rollouts while this node has rank 0 in the fleet.
type rolloutController struct {
	node       *Node
	controller sagerollout.Controller
	// statusWrittenAt is when the last write of a status started, by order.
	statusWrittenAt map[uint64]sageclock.Instant
}

// Run advances the plans until ctx ends.
func (c *rolloutController) Run(ctx context.Context) error {
	c.statusWrittenAt = make(map[uint64]sageclock.Instant)
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.step(ctx, sageclock.Now())
		}
	}
}

// step issues a new plan for each order that isn't in a final state.
//
// A node that can't reach the store advances plans only if no other node can reach it either, so that a bad
// version is rolled back during a store outage too.
func (c *rolloutController) step(ctx context.Context, now sageclock.Instant) {
	n := c.node
	entries := n.fleet.rollouts.Entries()
	if len(entries) == 0 || n.isLeaving() || n.mesh.Rank(n.copies[n.Kinds.Rollouts].Failing()) != 0 {
		return
	}
	live := make(map[uint64]bool, len(entries))
	for _, e := range entries {
		live[e.Order.ID] = true
		if !e.Order.State.Final() {
			c.stepOrder(ctx, now, e)
		}
	}
	c.controller.Retain(func(order uint64) bool { return live[order] })
}

func (c *rolloutController) stepOrder(ctx context.Context, now sageclock.Instant, e sagerollout.Entry) {
	n := c.node
	evidence := sagerollout.CollectEvidence(e.Order.ID, n.fleet.rolloutAnswers.Sum(now))
	load := n.fleet.serviceLoad(now, &e.Order)
	p := c.controller.Step(now, e.Order, e.Plan, evidence, load)
	if p.Phase != e.Plan.Phase {
		v, route := c.controller.Verdict(e.Order.ID)
		sum := evidence.Sum()
		n.Log.Component("rollouts").Info("Rollout decision.", "order", e.Order.ID, "service", e.Order.Service, "target", e.Order.Target,
			"phase", p.Phase.String(), "from", e.Plan.Phase.String(), "verdict", v.String(), "route", route,
			"target_bad", sum.Target.Bad, "target_answers", sum.Target.Total(), "baseline_bad", sum.Baseline.Bad,
			"baseline_answers", sum.Baseline.Total(), "target_slots", load.TargetSlots, "baseline_in_flight", load.BaselineInFlight,
			"left_ms", e.Order.Deadline.Sub(now).Milliseconds())
	}
	n.mergePlan(now, p)
	if p.Phase != e.Plan.Phase {
		n.mesh.TriggerHeartbeats(true)
	}
	c.updateStatus(ctx, now, e.Order, p.Phase)
}

// updateStatus writes the state of an order to the store if it changed.
func (c *rolloutController) updateStatus(ctx context.Context, now sageclock.Instant, o sagerollout.Order, p sagerollout.Phase) {
	state := sagerollout.StateRunning
	switch p {
	case sagerollout.PhaseDone:
		state = sagerollout.StateCompleted
	case sagerollout.PhaseRolledBack:
		state = sagerollout.StateRolledBack
	}
	if o.State == state || now.Sub(c.statusWrittenAt[o.ID]) < statusTimeout+statusWriteDelay {
		return
	}
	c.statusWrittenAt[o.ID] = now
	go c.node.writeStatus(ctx, o, state)
}

// writeStatus writes one status. It is conditional on the revision, so that two controllers can't write different
// final states.
func (n *Node) writeStatus(ctx context.Context, o sagerollout.Order, state sagerollout.State) {
	log := n.Log.Component("rollouts")
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := n.Decoder.RolloutStatus(state, o.Target)
	if err != nil {
		log.Error("Rollout status can't be encoded.", "name", o.Name, "err", err)
		return
	}
	if err := n.Store.SetStatus(ctx, n.Kinds.Rollouts, o.Name, o.Revision, status); err != nil {
		log.Limited(sagelog.KindStateChange, "Rollout status not written.", "name", o.Name, "state", string(state), "revision", o.Revision, "err", err)
		return
	}
	log.Info("Rollout status written.", "name", o.Name, "state", string(state), "revision", o.Revision)
}

// serviceLoad returns the slots and the requests in flight of an order's service by version.
func (f *fleet) serviceLoad(now sageclock.Instant, o *sagerollout.Order) sagerollout.ServiceLoad {
	set := f.view.upstreams.Load()
	loads := f.inFlight.Sum(now)
	var out sagerollout.ServiceLoad
	for _, e := range set.Available(o.Service) {
		switch {
		case e.Version != o.Target:
			out.BaselineSlots += e.Slots
		case e.ColdUntil <= now:
			out.TargetUpstreams++
			out.TargetSlots += e.Slots
		}
	}
	for _, e := range set.All(o.Service) {
		out.InFlight += loads[e.ID]
		if e.Version != o.Target {
			out.BaselineUpstreams++
			out.BaselineInFlight += loads[e.ID]
		}
	}
	return out
}

// armUpstreams returns the available upstreams of a service that an arm of its rollout may use.
func (f *fleet) armUpstreams(set *sageupstream.Set, service string, arm sagerollout.Arm) []*sageupstream.Entry {
	all := set.Available(service)
	if f.rollouts == nil {
		return all
	}
	admits := f.rollouts.VersionFilter(service, arm)
	if admits == nil {
		return all
	}
	out := make([]*sageupstream.Entry, 0, len(all))
	for _, e := range all {
		if admits(e.Version) {
			out = append(out, e)
		}
	}
	return out
}

// armFor returns the arm for the first send of a request, or for a retry.
func (f *fleet) armFor(now sageclock.Instant, service, route string, firstSend bool) sagerollout.Arm {
	switch {
	case f.rollouts == nil:
		return sagerollout.ArmAny
	case firstSend:
		return f.rollouts.Arm(now, service, route)
	}
	return f.rollouts.RetryArm(now, service)
}

// otherArm returns the arm to use when one has no upstream left, or false if the request has to be refused.
func (f *fleet) otherArm(set *sageupstream.Set, service string, arm sagerollout.Arm) (sagerollout.Arm, bool) {
	if f.rollouts == nil {
		return arm, false
	}
	return f.rollouts.OtherArm(service, arm, set.ServingVersions(service))
}

// withdrawn reports whether a version gets no requests because of an order, while another version can serve.
func (f *fleet) withdrawn(set *sageupstream.Set, service, version string) bool {
	return f.rollouts != nil && f.rollouts.Withdrawn(service, version, set.ServingVersions(service))
}

// minCanaryUpstreams is two, since a single upstream may fail for reasons other than its version.
const minCanaryUpstreams = 2

// canaryUpstreams returns the upstreams of the target that the canary uses, the same ones on all nodes.
func (f *fleet) canaryUpstreams(service string, es []*sageupstream.Entry) []*sageupstream.Entry {
	n := int(math.Ceil(f.rollouts.CanaryFraction(service) * float64(len(es))))
	return es[:min(len(es), max(minCanaryUpstreams, n))]
}

// RecordResponse implements [sagerelay.Fleet].
//
// Responses of cold upstreams are slow whatever their version, and count only if they failed.
func (f *fleet) RecordResponse(p *sagerelay.Pick, route string, a sagerelay.ResponseResult) {
	if f.rollouts == nil {
		return
	}
	u := p.Upstream
	t := sagerollout.Latencies{EventInterval: a.MeanEventGap, Total: a.Duration}
	if a.TimeToFirstEvent > 0 {
		t.FirstEvent = max(1, a.TimeToFirstEvent-f.PrefillTime(u.Service, p.UncachedTokens))
	}
	cold := u.ColdUntil > sageclock.Now()
	if cold && !a.Failed {
		return
	}
	slow := !a.Failed && f.rolloutLatencies.IsSlow(route, t)
	f.rollouts.RecordAnswer(u.Service, u.Version, route, a.Failed || slow)
	if !a.Failed && !f.rollouts.IsTarget(u.Service, u.Version) {
		f.rolloutLatencies.Add(route, t)
	}
}
