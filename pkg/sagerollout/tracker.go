package sagerollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Tracker holds the orders and plans that a node knows, and counts answers. It is safe for concurrent use.
type Tracker struct {
	// Rand returns a random number in [0, 1); nil means [rand.Float64]. It is set before use.
	Rand func() float64

	mu       sync.Mutex
	services map[string]*rollout
	// retired contains, by service, the targets of orders that ended without being completed.
	retired map[string]map[string]bool
}

type rollout struct {
	order    Order
	plan     Plan
	splitter Splitter
	counts   map[CountKey]int
}

// Put stores an order as read from the store, and reports whether the order or its state is new. If it replaces an
// order that was not completed, the earlier target gets no more requests.
func (t *Tracker) Put(o Order) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[o.Service]
	if r != nil && o.Rewritten && r.order.Name == o.Name && r.order.Target == o.Target {
		r.rename(o.ID)
	}
	if r == nil || r.order.ID != o.ID {
		t.retire(o.Service)
		if t.services == nil {
			t.services = make(map[string]*rollout)
		}
		delete(t.retired[o.Service], o.Target)
		t.services[o.Service] = &rollout{order: o, splitter: Splitter{InitialCredit: t.random()}, counts: make(map[CountKey]int)}
		return true
	}
	o.FirstSeen, o.Deadline = r.order.FirstSeen, r.order.Deadline
	o.OnlyVersion, o.HadBaseline = r.order.OnlyVersion, r.order.HadBaseline
	changed = o.State != r.order.State
	if r.order.State.Final() && !o.State.Final() {
		r.recoverOutcome()
	}
	r.order = o
	return changed
}

// rename continues the rollout under another ID. Its answers are counted anew, as other nodes count them by ID.
func (r *rollout) rename(id uint64) {
	if r.order.ID == id {
		return
	}
	r.order.ID, r.plan.OrderID = id, id
	r.counts = make(map[CountKey]int)
}

// recoverOutcome makes the plan end as the order's final state says, which the store has lost. The controller writes it
// again.
func (r *rollout) recoverOutcome() {
	if r.plan.Phase.Final() {
		return
	}
	r.plan.OrderID = r.order.ID
	r.plan.Sequence++
	r.plan.enter(PhaseRolledBack, 0, r.order.FirstSeen)
	if r.order.State == StateCompleted {
		r.plan.enter(PhaseDone, 1, r.order.FirstSeen)
	}
}

func (t *Tracker) random() float64 {
	if t.Rand != nil {
		return t.Rand()
	}
	return rand.Float64()
}

// Delete drops the order with a name. If it was not completed, its target gets no more requests.
func (t *Tracker) Delete(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range t.services {
		if r.order.Name == name {
			t.retire(service)
		}
	}
}

// retire drops the order of a service and retires its target unless the order was completed or had nothing to move. mu is
// held.
func (t *Tracker) retire(service string) {
	r := t.services[service]
	if r == nil {
		return
	}
	delete(t.services, service)
	if r.state() == StateCompleted || r.order.OnlyVersion {
		return
	}
	if t.retired == nil {
		t.retired = make(map[string]map[string]bool)
	}
	if t.retired[service] == nil {
		t.retired[service] = make(map[string]bool)
	}
	t.retired[service][r.order.Target] = true
}

// state returns the state of the order. The store takes precedence over the plan, since upstreams act on it.
func (r *rollout) state() State {
	switch {
	case r.order.State.Final():
		return r.order.State
	case r.plan.Phase == PhaseRolledBack:
		return StateRolledBack
	}
	return StateRunning
}

// Arm returns the arm for the first attempt of a service's next request on a route. For retries, see
// [Tracker.RetryArm].
func (t *Tracker) Arm(now sageclock.Instant, service, route string) Arm {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	switch {
	case r == nil:
		return ArmAny
	case r.state() == StateCompleted:
		return ArmTarget
	case r.state() == StateRolledBack || !r.splitter.Next(route, r.plan.share(now)):
		return ArmBaseline
	}
	return ArmTarget
}

// RetryArm returns the arm for the retry of a request.
func (t *Tracker) RetryArm(now sageclock.Instant, service string) Arm {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	switch {
	case r == nil:
		return ArmAny
	case r.state() == StateCompleted || r.state() == StateRunning && r.plan.share(now) >= 1:
		return ArmTarget
	}
	return ArmBaseline
}

// VersionFilter returns a function that reports whether upstreams of a version may get requests of an arm; nil if
// all may.
func (t *Tracker) VersionFilter(service string, arm Arm) func(version string) bool {
	if arm == ArmLast {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	retired := t.retired[service]
	r := t.services[service]
	if r == nil || arm == ArmAny {
		if len(retired) == 0 {
			return nil
		}
		retired = maps.Clone(retired)
		return func(version string) bool { return !retired[version] }
	}
	retired, target := maps.Clone(retired), r.order.Target
	return func(version string) bool { return !retired[version] && (version == target) == (arm == ArmTarget) }
}

// OtherArm returns the arm to use when one has no upstream left for a request, or false if the request has to be refused.
// serving are the versions of the service that can serve. The target replaces the baseline only while its order isn't rolled
// back; while the orders admit none of the serving versions, they exclude none.
func (t *Tracker) OtherArm(service string, arm Arm, serving []string) (other Arm, ok bool) {
	usual := t.usualArm(service, serving)
	return usual, usual != arm && len(serving) > 0
}

// usualArm returns the first arm that has one of the serving versions.
func (t *Tracker) usualArm(service string, serving []string) Arm {
	arms := []Arm{ArmAny}
	if state, ok := t.stateOf(service); ok {
		arms = []Arm{ArmBaseline, ArmTarget}
		if state == StateRolledBack {
			arms = arms[:1]
		}
	}
	for _, arm := range arms {
		admits := t.VersionFilter(service, arm)
		if len(serving) == 0 || admits == nil || slices.ContainsFunc(serving, admits) {
			return arm
		}
	}
	return ArmLast
}

// stateOf returns the state of a service's order, or false if there is none.
func (t *Tracker) stateOf(service string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil {
		return "", false
	}
	return r.state(), true
}

// CanaryFraction returns the fraction of the target's upstreams that get requests: less than 1 during the canary
// phase.
//
// The canary is concentrated on a few upstreams to find versions that are bad only under load. Spread over all
// upstreams of the target, it would load none of them as much as the full traffic does.
func (t *Tracker) CanaryFraction(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.services[service]; r != nil && r.plan.Phase == PhaseCanary {
		return r.plan.Share
	}
	return 1
}

// Running reports whether an order for a service is running.
func (t *Tracker) Running(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	return r != nil && r.state() == StateRunning
}

// IsTarget reports whether a version is the target of a service's order.
func (t *Tracker) IsTarget(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	return r != nil && version == r.order.Target
}

// Withdrawn reports whether a version was the target of an order that was rolled back, replaced or deleted, and another
// one of the serving versions replaces it.
func (t *Tracker) Withdrawn(service, version string, serving []string) bool {
	return t.excludes(service, version) && t.usualArm(service, serving) != ArmLast
}

func (t *Tracker) excludes(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	return t.retired[service][version] || r != nil && version == r.order.Target && r.state() == StateRolledBack
}

// RecordAnswer counts an upstream's answer if an order for its service is running.
func (t *Tracker) RecordAnswer(service, version, route string, bad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil || r.state() != StateRunning {
		return
	}
	k := CountKey{OrderID: r.order.ID, Arm: ArmBaseline, Bad: bad, Route: route}
	if version == r.order.Target {
		k.Arm = ArmTarget
	}
	r.counts[k]++
}

// Counts returns this node's counts for the peers, by the text of their [CountKey].
func (t *Tracker) Counts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int)
	for _, r := range t.services {
		if r.state() != StateRunning {
			continue
		}
		for k, n := range r.counts {
			out[k.String()] = n
		}
	}
	return out
}

// MergePlan stores a plan that supersedes the known one, and reports whether its phase is new.
func (t *Tracker) MergePlan(p Plan) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.services {
		if r.order.ID == p.OrderID && p.supersedes(&r.plan) {
			changed = r.plan.Sequence == 0 || p.Phase != r.plan.Phase
			r.plan = p
		}
	}
	return changed
}

// Plans returns the plans of the orders that have no final state in the store, sorted by order ID.
func (t *Tracker) Plans() []Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Plan
	for _, r := range t.services {
		if r.plan.Sequence > 0 && !r.order.State.Final() {
			out = append(out, r.plan)
		}
	}
	slices.SortFunc(out, func(x, y Plan) int {
		if x.OrderID < y.OrderID {
			return -1
		}
		return 1
	})
	return out
}

// Entry is an order with its plan.
type Entry struct {
	Order Order
	Plan  Plan
}

// Entries returns all orders, sorted by service.
func (t *Tracker) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, s := range slices.Sorted(maps.Keys(t.services)) {
		r := t.services[s]
		out = append(out, Entry{Order: r.order, Plan: r.plan})
	}
	return out
}
