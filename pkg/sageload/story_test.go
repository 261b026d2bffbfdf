package sageload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stage plays one story by hand: homes, holdings and an upstream that bears ten requests.
type stage struct {
	now     time.Time
	limits  Limits
	without guard
	dead    int // in flight at the upstream for routers that are gone
	routers []*Allotment
	voters  []string
	rate    float64 // of the home's clock
}

const bearsTen = 10

func newStage(without guard) *stage {
	return &stage{now: time.Unix(1e6, 0), without: without, voters: []string{"a", "b", "c"}, rate: 1,
		limits: Limits{GrantDuration: 1500 * time.Millisecond, PromiseDuration: 800 * time.Millisecond, RequestLifetime: time.Minute}}
}

func (s *stage) router(node string) *Allotment {
	h := &Allotment{Upstream: "u", Holder: node + ".1", Node: node, Voter: node != "d", Limits: s.limits}
	s.routers = append(s.routers, h)
	return h
}

func (s *stage) homeOf(node string) *Ledger {
	return &Ledger{Coordinator: node + ".1", Voters: s.voters, Limits: s.limits}
}

// clock is the home's clock, which may run faster than the routers'.
func (s *stage) clock() time.Time {
	start := time.Unix(1e6, 0)
	return start.Add(time.Duration(float64(s.now.Sub(start)) * s.rate))
}

func (s *stage) inFlight() int {
	n := s.dead
	for _, h := range s.routers {
		n += h.InUse()
	}
	return n
}

// run lets the routers ask the home ten times a second for d; units are wanted by the first one.
func (s *stage) run(d time.Duration, l *Ledger, node string, units int, asking ...*Allotment) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		l.RecordReport(s.clock(), s.clock(), Report{BootID: "e1", InFlight: s.inFlight()}, bearsTen)
		for i, h := range asking {
			n := 0
			if i == 0 {
				n = units
			}
			if w, ok := h.Request(s.now, node, n); ok {
				h.ApplyGrant(l.HandleRequest(s.clock(), w))
			}
			s.remove(l)
		}
	}
}

// remove takes away the guard that this story is played without.
func (s *stage) remove(l *Ledger) {
	switch s.without {
	case withWaitOut:
		l.grantFrom, l.carried.from = s.clock(), s.clock().Add(-time.Hour)
	case withCarried:
		l.carried.units = 0
	case withTail:
		for _, h := range l.holders {
			if !s.clock().Before(h.until()) {
				h.over = 0
			}
		}
	}
}

// take starts as many requests as the holding allows at that instant.
func (s *stage) take(h *Allotment, at time.Time) int {
	n := 0
	for ; n < 2*bearsTen; n++ {
		if !h.Acquire(at) {
			break
		}
	}
	return n
}

// bothWays plays a story with every guard, where the bound must hold, and without one, where it
// must break.
func bothWays(t *testing.T, g guard, story func(s *stage)) {
	t.Helper()
	with := newStage("")
	story(with)
	require.LessOrEqual(t, with.inFlight(), bearsTen, "with every guard")
	without := newStage(g)
	story(without)
	require.Greater(t, without.inFlight(), bearsTen, "without the guard: %s", g)
}

// Story: users of one engine see it drown right after its home moved. Router d had ten units of
// the old home and used none; the new home granted ten more at once; then d used its own.
func TestNewHomeWaitsForOldGrants(t *testing.T) {
	bothWays(t, withWaitOut, func(s *stage) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		s.run(5*time.Second, s.homeOf("a"), "a", bearsTen, d, a, b, c)
		s.run(1300*time.Millisecond, s.homeOf("b"), "b", bearsTen, c, a, b)
		s.take(c, s.now)
		s.take(d, s.now)
	})
}

// Story: an engine drowns when a router's VM resumes after a stall. While it stood still its grant
// ran out and its units went to router c; it then sent ten requests on the clock of before.
func TestResumedRouterChecksItsDeadline(t *testing.T) {
	bothWays(t, withRecheck, func(s *stage) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		home := s.homeOf("a")
		s.run(5*time.Second, home, "a", bearsTen, d, a, b, c)
		stalled := s.now
		s.run(4*time.Second, home, "a", bearsTen, c, a, b)
		require.Equal(t, bearsTen, s.take(c, s.now), "the units of the silent router are used by others")
		if s.without != withRecheck {
			stalled = s.now
		}
		s.take(d, stalled)
	})
}

// Story: as above, but nobody stalls. The clock of the home runs fast and gives the units of the
// unreachable router d away while d's own clock says that it still has them.
func TestDriftingClocksKeepTheBound(t *testing.T) {
	bothWays(t, withMargin, func(s *stage) {
		s.rate = 1.3
		if s.without != withMargin {
			s.limits.MaxClockDrift = 0.14 // (1+0.14)/(1-0.14) > 1.3
		}
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		home := s.homeOf("a")
		s.run(5*time.Second, home, "a", bearsTen, d, a, b, c)
		s.run(1300*time.Millisecond, home, "a", bearsTen, c, a, b)
		s.take(c, s.now)
		s.take(d, s.now)
	})
}

// Story: voter b restarts and forgets that it recognised a. With c it makes b home at once, while
// a still counts b's promise and renews d's grant; both homes' units are used together.
func TestRestartedVoterAbstains(t *testing.T) {
	bothWays(t, withAbstain, func(s *stage) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		old, next := s.homeOf("a"), s.homeOf("b")
		s.run(5*time.Second, old, "a", bearsTen, d, a, b)
		b.Holder = "b.2"
		b.promised = ""
		if s.without != withAbstain {
			b.AbstainUntil = s.now.Add(s.limits.long(s.limits.PromiseDuration))
		}
		for range 7 { // d reaches a, and b and c reach each other
			s.run(100*time.Millisecond, next, "b", bearsTen, c, b)
			s.now = s.now.Add(-100 * time.Millisecond)
			s.run(100*time.Millisecond, old, "a", bearsTen, d, a)
		}
		s.run(1200*time.Millisecond, next, "b", bearsTen, c, b)
		s.take(c, s.now)
		s.take(d, s.now)
	})
}

// Story: the network splits, and routers on both sides find their own home. Router d is with a, which
// nobody else can reach; c is with b and the majority. Each home gives out the whole cap.
func TestOnlyAMajorityGrants(t *testing.T) {
	bothWays(t, withMajority, func(s *stage) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		minority, majority := s.homeOf("a"), s.homeOf("b")
		if s.without == withMajority {
			minority.Voters = []string{"a"}
		}
		for range 50 {
			s.run(100*time.Millisecond, minority, "a", bearsTen, d, a)
			s.now = s.now.Add(-100 * time.Millisecond)
			s.run(100*time.Millisecond, majority, "b", bearsTen, c, b)
		}
		s.take(c, s.now)
		s.take(d, s.now)
	})
}

// Story: router b dies with two requests of its guaranteed share in flight, and its VM's successor
// sends two more on the same share, while the others use all the rest.
func TestRestartedRouterLeavesItsGuaranteedShare(t *testing.T) {
	bothWays(t, withOwn, func(s *stage) {
		a, b, c := s.router("a"), s.router("b"), s.router("c")
		home := s.homeOf("a")
		home.Floor, b.Guaranteed = 2, 2
		s.run(5*time.Second, home, "a", bearsTen, c, a, b)
		s.dead = s.take(b, s.now)
		s.routers = []*Allotment{a, c}
		again := s.router("b")
		again.Holder, again.Guaranteed = "b.2", 2
		if s.without != withOwn {
			again.GuaranteedFrom = s.now.Add(s.limits.RequestLifetime)
		}
		s.run(time.Second, home, "a", bearsTen, c, a, again)
		s.take(c, s.now)
		s.take(again, s.now)
	})
}

// Story: the VM of a router and home dies. The ten requests it had sent run on at the engine, and
// no router reports them; the next home hands out the whole cap again.
func TestNewHomeCountsRequestsOfDeadRouters(t *testing.T) {
	bothWays(t, withCarried, func(s *stage) {
		a, b, c := s.router("a"), s.router("b"), s.router("c")
		s.run(5*time.Second, s.homeOf("a"), "a", bearsTen, a, b, c)
		s.dead = s.take(a, s.now)
		require.Equal(t, bearsTen, s.dead)
		s.routers = s.routers[1:]
		s.run(6*time.Second, s.homeOf("b"), "b", bearsTen, c, b)
		s.take(c, s.now)
	})
}

// Story: router d dies with ten long requests in flight. Its grant runs out after a second and a
// half, the requests don't; the home gives the units away while they are in use.
func TestRequestsOutliveTheGrant(t *testing.T) {
	bothWays(t, withTail, func(s *stage) {
		a, b, c, d := s.router("a"), s.router("b"), s.router("c"), s.router("d")
		home := s.homeOf("a")
		s.run(5*time.Second, home, "a", bearsTen, d, a, b, c)
		s.dead = s.take(d, s.now)
		s.routers = s.routers[:3]
		s.run(4*time.Second, home, "a", bearsTen, c, a, b)
		s.take(c, s.now)
	})
}
