package sageload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is a scripted sequence of events with coordinators, allotments and an upstream of capacity
// ten.
type scenario struct {
	now       time.Time
	limits    Limits
	without   safeguard
	orphaned  int // requests in flight of routers that have died
	routers   []*Allotment
	voters    []string
	clockRate float64 // of the coordinator's clock, relative to the routers'
}

const scenarioCapacity = 10

func newScenario(without safeguard) *scenario {
	return &scenario{now: time.Unix(1e6, 0), without: without, voters: []string{"a", "b", "c"}, clockRate: 1,
		limits: Limits{GrantDuration: 1500 * time.Millisecond, PromiseDuration: 800 * time.Millisecond, RequestLifetime: time.Minute}}
}

func (s *scenario) router(node string) *Allotment {
	a := &Allotment{Upstream: "u", Holder: node + ".1", Node: node, Voter: node != "d", Limits: s.limits}
	s.routers = append(s.routers, a)
	return a
}

func (s *scenario) ledgerOf(node string) *Ledger {
	return &Ledger{Coordinator: node + ".1", Voters: s.voters, Limits: s.limits}
}

// clock returns the coordinator's clock, which may run faster than the routers'.
func (s *scenario) clock() time.Time {
	start := time.Unix(1e6, 0)
	return start.Add(time.Duration(float64(s.now.Sub(start)) * s.clockRate))
}

func (s *scenario) inFlight() int {
	n := s.orphaned
	for _, a := range s.routers {
		n += a.InUse()
	}
	return n
}

// exchange lets the routers send requests to the coordinator ten times a second for d; only the first
// router wants units.
func (s *scenario) exchange(d time.Duration, l *Ledger, node string, units int, routers ...*Allotment) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		l.RecordReport(s.clock(), s.clock(), Report{BootID: "e1", InFlight: s.inFlight()}, scenarioCapacity)
		for i, a := range routers {
			n := 0
			if i == 0 {
				n = units
			}
			if r, ok := a.Request(s.now, node, n); ok {
				a.ApplyGrant(l.HandleRequest(s.clock(), r))
			}
			s.removeSafeguard(l)
		}
	}
}

// removeSafeguard undoes the effect of the safeguard that this scenario runs without.
func (s *scenario) removeSafeguard(l *Ledger) {
	switch s.without {
	case waitForOldGrants:
		l.grantFrom, l.inherited.noStartsAfter = s.clock(), s.clock().Add(-time.Hour)
	case inheritedCount:
		l.inherited.units = 0
	case tailCount:
		for _, a := range l.holders {
			if !s.clock().Before(a.usableUntil()) {
				a.excessInFlight = 0
			}
		}
	}
}

// acquireAll starts as many requests as the allotment allows at the given instant and returns their
// number.
func (s *scenario) acquireAll(a *Allotment, at time.Time) int {
	n := 0
	for ; n < 2*scenarioCapacity; n++ {
		if !a.Acquire(at) {
			break
		}
	}
	return n
}

// requireSafeguard runs a scenario with every safeguard, where the bound must hold, and without one,
// where it must be exceeded.
func requireSafeguard(t *testing.T, g safeguard, play func(s *scenario)) {
	t.Helper()
	with := newScenario("")
	play(with)
	require.LessOrEqual(t, with.inFlight(), scenarioCapacity, "with every safeguard")
	without := newScenario(g)
	play(without)
	require.Greater(t, without.inFlight(), scenarioCapacity, "without the safeguard: %s", g)
}

// Guards against an overload after a change of coordinator. Router d has ten unused units of the old
// coordinator; if the new one granted ten more immediately, d's units would add to them.
func TestNewCoordinatorWaitsForOldGrants(t *testing.T) {
	requireSafeguard(t, waitForOldGrants, func(s *scenario) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		s.exchange(5*time.Second, s.ledgerOf("a"), "a", scenarioCapacity, d, a, b, c)
		s.exchange(1300*time.Millisecond, s.ledgerOf("b"), "b", scenarioCapacity, c, a, b)
		s.acquireAll(c, s.now)
		s.acquireAll(d, s.now)
	})
}

// Guards against an overload when a router's VM resumes after a stall. Its grant has expired and its
// units have gone to router c; with the time from before the stall it would still send ten requests.
func TestResumedRouterChecksItsDeadline(t *testing.T) {
	requireSafeguard(t, deadlineRecheck, func(s *scenario) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		ledger := s.ledgerOf("a")
		s.exchange(5*time.Second, ledger, "a", scenarioCapacity, d, a, b, c)
		sendTime := s.now
		s.exchange(4*time.Second, ledger, "a", scenarioCapacity, c, a, b)
		require.Equal(t, scenarioCapacity, s.acquireAll(c, s.now), "the units of the stalled router are used by others")
		if s.without != deadlineRecheck {
			sendTime = s.now
		}
		s.acquireAll(d, sendTime)
	})
}

// Guards against an overload caused by clock drift. The coordinator's clock runs fast, so it gives the
// units of the unreachable router d to others while they are still valid by d's own clock.
func TestBoundHoldsUnderClockDrift(t *testing.T) {
	requireSafeguard(t, driftMargin, func(s *scenario) {
		s.clockRate = 1.3
		if s.without != driftMargin {
			s.limits.MaxClockDrift = 0.14 // (1+0.14)/(1-0.14) > 1.3
		}
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		ledger := s.ledgerOf("a")
		s.exchange(5*time.Second, ledger, "a", scenarioCapacity, d, a, b, c)
		s.exchange(1300*time.Millisecond, ledger, "a", scenarioCapacity, c, a, b)
		s.acquireAll(c, s.now)
		s.acquireAll(d, s.now)
	})
}

// Guards against two coordinators at the same time. Voter b restarts and loses its promise to a; with c
// it would elect b immediately, while a still counts b's promise and renews d's grant.
func TestRestartedVoterAbstains(t *testing.T) {
	requireSafeguard(t, voterAbstention, func(s *scenario) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		old, next := s.ledgerOf("a"), s.ledgerOf("b")
		s.exchange(5*time.Second, old, "a", scenarioCapacity, d, a, b)
		b.Holder = "b.2"
		b.promisedTo = ""
		if s.without != voterAbstention {
			b.AbstainUntil = s.now.Add(s.limits.stretch(s.limits.PromiseDuration))
		}
		for range 7 { // d can reach a; b and c can reach each other
			s.exchange(100*time.Millisecond, next, "b", scenarioCapacity, c, b)
			s.now = s.now.Add(-100 * time.Millisecond)
			s.exchange(100*time.Millisecond, old, "a", scenarioCapacity, d, a)
		}
		s.exchange(1200*time.Millisecond, next, "b", scenarioCapacity, c, b)
		s.acquireAll(c, s.now)
		s.acquireAll(d, s.now)
	})
}

// Guards against two coordinators on both sides of a partition. Router d can reach only a, router c
// only b and the majority; if a minority could grant, each coordinator would grant the whole cap.
func TestOnlyMajorityGrants(t *testing.T) {
	requireSafeguard(t, majorityOnly, func(s *scenario) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		minority, majority := s.ledgerOf("a"), s.ledgerOf("b")
		if s.without == majorityOnly {
			minority.Voters = []string{"a"}
		}
		for range 50 {
			s.exchange(100*time.Millisecond, minority, "a", scenarioCapacity, d, a)
			s.now = s.now.Add(-100 * time.Millisecond)
			s.exchange(100*time.Millisecond, majority, "b", scenarioCapacity, c, b)
		}
		s.acquireAll(c, s.now)
		s.acquireAll(d, s.now)
	})
}

// Guards against a restarted router that uses its guaranteed share twice. Router b dies with two
// requests of its share in flight; its successor would send two more on the same share while the others
// use all other units.
func TestRestartedRouterDelaysGuaranteedShare(t *testing.T) {
	requireSafeguard(t, shareDelay, func(s *scenario) {
		a, b, c := s.router("a"), s.router("b"), s.router("c")
		ledger := s.ledgerOf("a")
		ledger.Floor, b.Guaranteed = 2, 2
		s.exchange(5*time.Second, ledger, "a", scenarioCapacity, c, a, b)
		s.orphaned = s.acquireAll(b, s.now)
		s.routers = []*Allotment{a, c}
		restarted := s.router("b")
		restarted.Holder, restarted.Guaranteed = "b.2", 2
		if s.without != shareDelay {
			restarted.GuaranteedFrom = s.now.Add(s.limits.RequestLifetime)
		}
		s.exchange(time.Second, ledger, "a", scenarioCapacity, c, a, restarted)
		s.acquireAll(c, s.now)
		s.acquireAll(restarted, s.now)
	})
}

// Guards against a new coordinator that grants units that dead routers still use. The VM of a
// coordinator that is also a router dies; its ten requests continue at the engine, and no router
// reports them.
func TestNewCoordinatorCountsRequestsOfDeadRouters(t *testing.T) {
	requireSafeguard(t, inheritedCount, func(s *scenario) {
		a, b, c := s.router("a"), s.router("b"), s.router("c")
		s.exchange(5*time.Second, s.ledgerOf("a"), "a", scenarioCapacity, a, b, c)
		s.orphaned = s.acquireAll(a, s.now)
		require.Equal(t, scenarioCapacity, s.orphaned)
		s.routers = s.routers[1:]
		s.exchange(6*time.Second, s.ledgerOf("b"), "b", scenarioCapacity, c, b)
		s.acquireAll(c, s.now)
	})
}

// Guards against a coordinator that grants the units of requests that outlive their grant. Router d
// dies with ten long requests in flight; its grant expires after 1.5 seconds, the requests don't.
func TestRequestsOutlivingGrantAreCounted(t *testing.T) {
	requireSafeguard(t, tailCount, func(s *scenario) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		ledger := s.ledgerOf("a")
		s.exchange(5*time.Second, ledger, "a", scenarioCapacity, d, a, b, c)
		s.orphaned = s.acquireAll(d, s.now)
		s.routers = s.routers[:3]
		s.exchange(4*time.Second, ledger, "a", scenarioCapacity, c, a, b)
		s.acquireAll(c, s.now)
	})
}
