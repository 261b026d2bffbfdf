package sagerollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// simRollouts is the number of simulated rollouts of good and of bad versions each.
var simRollouts = flag.Int("rollouts", 40, "number of simulated rollouts of good and of bad versions each")

const (
	tick           = 100 * time.Millisecond
	exposedShare   = 0.1
	exposedSlack   = 50
	rollbackWithin = 5 * time.Second
	detectAfter    = 50 // bad answers of a version after which it must be rolled back within rollbackWithin
	maxAnswerTime  = 4 * time.Second
)

// simRoute is a route with its share of the requests and the rate of bad answers of any version.
type simRoute struct {
	name    string
	share   float64
	badRate float64
}

// scenario describes a simulated rollout.
type scenario struct {
	nodes, upstreams int
	rate             float64 // requests per second
	duration         time.Duration
	targetReady      time.Duration // time from the order until the target's upstreams are usable
	routes           []simRoute
	addedBadRate     float64       // additional rate of the target's bad answers; 0 for a good version
	badFrom          time.Duration // time from the order until they begin
	badAboveLoad     float64       // part of the full load on an upstream from which on they occur
	badRoute         string        // the only route on which they occur; empty for all
	// A shock adds bad answers of both arms at shockRate, for shockFor from shockAt on.
	shockRate float64
	shockAt   time.Duration
	shockFor  time.Duration
}

func randomScenario(rnd *rand.Rand, bad bool) scenario {
	between := func(low, high float64) float64 { return low + (high-low)*rnd.Float64() }
	s := scenario{
		nodes: []int{3, 8, 68, 300}[rnd.IntN(4)], rate: math.Exp(between(0, math.Log(1000))), duration: time.Duration(between(12, 30) * float64(time.Second)),
		targetReady: time.Duration(between(0.5, 4) * float64(time.Second)), upstreams: 3 + rnd.IntN(140),
	}
	remaining := 1.0
	for i := range 5 {
		share := remaining * between(0.2, 0.6)
		if i == 4 {
			share = remaining
		}
		remaining -= share
		s.routes = append(s.routes, simRoute{fmt.Sprint("r", i), share, []float64{0, 0.004, 0.14, 0.02, 0.01}[i]})
	}
	if rnd.IntN(2) == 0 {
		s.shockRate, s.shockAt, s.shockFor = between(0.05, 0.3), time.Duration(between(0, 20)*float64(time.Second)), time.Duration(between(1, 6)*float64(time.Second))
	}
	if !bad {
		return s
	}
	s.addedBadRate = between(0.3, 0.95)
	switch rnd.IntN(4) {
	case 0:
		s.badFrom = time.Duration(between(0, 0.4) * float64(s.duration))
	case 1:
		s.badAboveLoad = between(0.2, 0.8)
	case 2:
		s.badRoute = s.routes[rnd.IntN(3)].name
	}
	return s
}

// result is the result of a simulated rollout.
type result struct {
	exposed, total int
	phase          Phase
	// ended is the time from the order to the final phase; zero if it wasn't reached.
	ended time.Duration
	// late says that the version got requests more than rollbackWithin after detectAfter bad answers.
	late bool
}

// allowedExposure returns the number of requests that a bad version may get.
func (r result) allowedExposure() float64 { return exposedShare*float64(r.total) + exposedSlack }

// answer is the answer to a request in flight.
type answer struct {
	node    int
	version string
	route   string
	bad     bool
}

// simulate runs one rollout in virtual time. Evidence reaches the controller with a delay, and plans reach each
// node with a delay of its own.
func simulate(rnd *rand.Rand, s scenario, evaluate func(Evidence) (Verdict, string)) result {
	var out result
	instant := func(at time.Duration) sageclock.Instant { return sageclock.Instant(at + time.Hour) }
	o := Order{ID: 7, Name: "s", Service: "s", Target: "v2", FirstSeen: instant(0), Deadline: instant(s.duration), State: StateRunning}
	trackers := make([]*Tracker, s.nodes)
	delay := make([]time.Duration, s.nodes)
	for i := range trackers {
		trackers[i] = &Tracker{Rand: rnd.Float64}
		trackers[i].Put(o)
		delay[i] = time.Duration(rnd.IntN(500)) * time.Millisecond
	}
	c := &Controller{Self: "vm", Bounds: Bounds{ExposedShare: exposedShare, ExposedSlack: exposedSlack}, Evaluate: evaluate}
	var plan Plan
	var plans []Plan // by tick
	var counts []map[string]int
	pending := make(map[int][]answer) // by tick
	sum := make(map[string]int)
	inFlight := make(map[string]int)
	badAnswers, detectedAt := 0, time.Duration(-1)
	for k := 0; time.Duration(k)*tick < s.duration+5*time.Second; k++ {
		at := time.Duration(k) * tick
		for i, tr := range trackers {
			if j := k - int(delay[i]/tick) - 1; j >= 0 {
				tr.MergePlan(plans[j])
			}
		}
		for _, a := range pending[k] {
			inFlight[a.version]--
			trackers[a.node].RecordAnswer("s", a.version, a.route, a.bad)
			arm := ArmBaseline
			if a.version == "v2" {
				arm = ArmTarget
			}
			sum[CountKey{OrderID: o.ID, Arm: arm, Bad: a.bad, Route: a.route}.String()]++
			if a.bad && arm == ArmTarget {
				if badAnswers++; badAnswers == detectAfter {
					detectedAt = at
				}
			}
		}
		delete(pending, k)
		for range poisson(rnd, s.rate*tick.Seconds()) {
			route, node := s.randomRoute(rnd), rnd.IntN(s.nodes)
			arm := trackers[node].Arm(instant(at), "s", route.name)
			version := "v1"
			if arm == ArmTarget && at >= s.targetReady {
				version = "v2"
			}
			if at < s.duration {
				out.total++
			}
			bad := rnd.Float64() < route.badRate || at >= s.shockAt && at < s.shockAt+s.shockFor && rnd.Float64() < s.shockRate
			if version == "v2" {
				if at < s.duration {
					out.exposed++
				}
				out.late = out.late || detectedAt >= 0 && at > detectedAt+rollbackWithin
				bad = bad || s.active(at, plan, route.name) && rnd.Float64() < s.addedBadRate
			}
			answerTime := min(time.Duration(rnd.ExpFloat64()*float64(700*time.Millisecond)), maxAnswerTime)
			inFlight[version]++
			due := k + 1 + int(answerTime/tick)
			pending[due] = append(pending[due], answer{node: node, version: version, route: route.name, bad: bad})
		}
		snapshot := make(map[string]int, len(sum))
		for key, n := range sum {
			snapshot[key] = n
		}
		counts = append(counts, snapshot)
		if k%2 == 0 && k >= 5 {
			load := ServiceLoad{InFlight: inFlight["v1"] + inFlight["v2"], BaselineInFlight: inFlight["v1"], BaselineSlots: 1000, TargetSlots: 100000}
			if at < s.targetReady {
				load.TargetSlots = 0
			}
			previous := plan.Phase
			plan = c.Step(instant(at), o, plan, CollectEvidence(o.ID, counts[k-5]), load)
			if plan.Phase != previous && plan.Phase.Final() {
				out.ended = at
			}
		}
		plans = append(plans, plan)
	}
	out.phase = plan.Phase
	return out
}

// active reports whether the target gives additional bad answers.
func (s *scenario) active(at time.Duration, p Plan, route string) bool {
	usedPart := 1.0
	if p.Phase == PhaseCanary {
		usedPart = math.Max(minCanaryUpstreams, math.Ceil(p.Share*float64(s.upstreams))) / float64(s.upstreams)
	}
	return s.addedBadRate > 0 && at >= s.badFrom && (s.badRoute == "" || s.badRoute == route) && p.Share/usedPart >= s.badAboveLoad
}

// minCanaryUpstreams is the minimum number of upstreams that a canary uses.
const minCanaryUpstreams = 2

func (s *scenario) randomRoute(rnd *rand.Rand) simRoute {
	x := rnd.Float64()
	for _, r := range s.routes {
		if x < r.share {
			return r
		}
		x -= r.share
	}
	return s.routes[len(s.routes)-1]
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for x := rnd.ExpFloat64(); x < mean; x += rnd.ExpFloat64() {
		n++
	}
	return n
}

// summary aggregates the results of many simulated rollouts.
type summary struct {
	overExposed, late, rolledBack, completed, n int
	meanExposure, maxExposure                   float64 // exposure as a part of what is allowed
}

func simulateMany(n int, bad bool, evaluate func(Evidence) (Verdict, string)) summary {
	out := summary{n: n}
	for i := range n {
		rnd := rand.New(rand.NewPCG(uint64(i), 11))
		s := randomScenario(rnd, bad)
		r := simulate(rnd, s, evaluate)
		exposure := float64(r.exposed) / r.allowedExposure()
		out.meanExposure += exposure / float64(n)
		out.maxExposure = max(out.maxExposure, exposure)
		if bad && exposure > 1 {
			out.overExposed++
		}
		if r.late {
			out.late++
		}
		switch {
		case r.phase == PhaseRolledBack && r.ended <= s.duration:
			out.rolledBack++
		case r.phase == PhaseDone && r.ended <= s.duration:
			out.completed++
		}
	}
	return out
}

// Prevents overexposure of the service to versions that fail some requests, immediately, later, under load or on
// one route, and rollbacks of good versions during faults that affect both versions.
func TestSimulatedRollouts(t *testing.T) {
	bad, good := simulateMany(*simRollouts, true, nil), simulateMany(*simRollouts, false, nil)
	t.Logf("bad: %+v", bad)
	t.Logf("good: %+v", good)
	require.Greater(t, good.completed, *simRollouts*3/4, "good versions are completed in time")
	require.Zero(t, bad.overExposed, "bad versions above the bound")
	require.Zero(t, bad.late, "bad versions that got requests too long")
}

// evaluateThresholds is an evaluation with fixed thresholds: a target is bad if its rate of bad answers exceeds
// the baseline's by 0.1.
func evaluateThresholds(e Evidence) (Verdict, string) {
	s := e.Sum()
	if s.Target.Total() < 20 {
		return VerdictUnknown, ""
	}
	if rateOf(s.Target) > rateOf(s.Baseline)+0.1 {
		return VerdictBad, ""
	}
	return VerdictSound, ""
}

// evaluatePosterior is an evaluation with posterior distributions of the rates: a target is bad if its rate
// exceeds the baseline's by 0.1 with a probability of 99.9 %, on any route or overall.
func evaluatePosterior(e Evidence) (Verdict, string) {
	worst, route := zScore(e.Sum()), ""
	for r, p := range e {
		if z := zScore(p); z > worst {
			worst, route = z, r
		}
	}
	switch {
	case worst > 3.1:
		return VerdictBad, route
	case worst > 1:
		return VerdictSuspect, route
	case e.Sum().Target.Total() < minTargetAnswers:
		return VerdictUnknown, ""
	}
	return VerdictSound, ""
}

// zScore returns by how many standard deviations the target's rate exceeds the baseline's rate plus 0.1.
func zScore(p ArmCounts) float64 {
	mean := func(c Count) (m, v float64) {
		a, b := float64(c.Bad)+0.5, float64(c.Good)+10
		n := a + b
		return a / n, a * b / (n * n * (n + 1))
	}
	tm, tv := mean(p.Target)
	bm, bv := mean(p.Baseline)
	return (tm - bm - 0.1) / math.Sqrt(tv+bv)
}

func rateOf(c Count) float64 { return float64(c.Bad) / float64(max(1, c.Total())) }

// BenchmarkEvaluators simulates the same rollouts with each evaluation, and reports the percentages of bad
// versions that exceed the bound, of bad versions completed, and of good ones rolled back and completed.
func BenchmarkEvaluators(b *testing.B) {
	for _, w := range []struct {
		name     string
		evaluate func(Evidence) (Verdict, string)
	}{{"cumulative_sums_by_route", nil}, {"thresholds", evaluateThresholds}, {"posterior_by_route", evaluatePosterior}} {
		b.Run(w.name, func(b *testing.B) {
			var bad, good summary
			for b.Loop() {
				bad, good = simulateMany(*simRollouts, true, w.evaluate), simulateMany(*simRollouts, false, w.evaluate)
			}
			in100 := func(n int) float64 { return 100 * float64(n) / float64(*simRollouts) }
			b.ReportMetric(in100(bad.overExposed), "over_exposed_%")
			b.ReportMetric(in100(bad.completed), "bad_completed_%")
			b.ReportMetric(in100(good.rolledBack), "good_undone_%")
			b.ReportMetric(in100(good.completed), "good_completed_%")
		})
	}
}
