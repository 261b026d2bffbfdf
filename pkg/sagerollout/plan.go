package sagerollout

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// planLease is how long a plan that sends requests to the target is valid after the controller issued it. Without
// it, a node that is cut off while the fleet rolls back a bad version would continue to send the version its share
// of the requests, or all of them.
const planLease = 2 * time.Second

// Phase is a step of a rollout.
type Phase uint8

// The phases, in order.
const (
	// PhasePending waits until upstreams of the target have capacity for the traffic.
	PhasePending Phase = iota
	// PhaseCanary sends a small share to a few upstreams of the target.
	PhaseCanary
	// PhaseRamp sends a larger share to all of them.
	PhaseRamp
	// PhaseFull sends all requests to the target and waits until the baseline is idle.
	PhaseFull
	// PhaseDone continues PhaseFull after the baseline has become idle: the order can be completed.
	PhaseDone
	// PhaseRolledBack sends no requests to the target. It is logged as "undone".
	PhaseRolledBack
)

// String returns the phase's name for the log.
func (p Phase) String() string {
	names := [...]string{"pending", "canary", "ramp", "full", "done", "undone"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Final reports whether no other phase follows.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseRolledBack }

// Plan is the controller's instruction for an order to all nodes.
type Plan struct {
	// OrderID is the ID of the order.
	OrderID uint64
	Phase   Phase
	// Share is the share of the requests that goes to the target, from 0 to 1.
	Share float64
	// Sequence counts the plans of the order, including those of earlier controllers. Controller is the name of
	// the node that issued the plan; of two plans with the same sequence, the one with the greater name
	// supersedes.
	Sequence   uint64
	Controller string
	// IssuedAt is when the plan was issued, PhaseSince is when its phase began.
	IssuedAt, PhaseSince sageclock.Instant
}

// supersedes reports whether a plan replaces another one of the same order.
//
// A final phase is never superseded by another phase, whatever the sequence, except that a rollback supersedes a
// completion. Two nodes may both act as the controller, and one that hasn't received the other's rollback must not
// send requests to that version again.
func (p *Plan) supersedes(o *Plan) bool {
	switch {
	case p.Phase.Final() != o.Phase.Final():
		return p.Phase.Final()
	case p.Phase.Final() && p.Phase != o.Phase:
		return p.Phase == PhaseRolledBack
	case p.Sequence != o.Sequence:
		return p.Sequence > o.Sequence
	}
	return p.Controller > o.Controller
}

// share returns the share of the requests that goes to the target now.
func (p *Plan) share(now sageclock.Instant) float64 {
	switch {
	case p.Phase == PhaseRolledBack:
		return 0
	case p.Phase == PhaseDone:
		return 1
	case now.Sub(p.IssuedAt) > planLease:
		return 0
	}
	return p.Share
}
