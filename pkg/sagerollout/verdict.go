package sagerollout

import (
	"maps"
	"math"
	"slices"
)

// Parameters of the test.
const (
	// excessRate determines the rate of bad answers of a bad version: the baseline's rate plus excessRate times
	// the baseline's rate of good answers.
	excessRate = 0.25
	// priorBad and priorAnswers are added to the baseline's counts, which are too few to estimate a rate at first.
	priorBad     = 0.5
	priorAnswers = 25
	// recentDecay is the part of the baseline's recent answers that is kept from one step to the next. No more are
	// kept than came in this step, or minRecentAnswers, since they have to be from the same time as the target's.
	// overallWeight is the weight, in answers, of the baseline's rate since the order beside its recent answers.
	recentDecay      = 0.5
	minRecentAnswers = 40
	overallWeight    = 10
	// minBaselineRate is the lower bound of the baseline's rate, since some answers of any version are bad.
	minBaselineRate = 0.03
	// badThreshold is the log likelihood ratio from which on a version is bad, suspectThreshold the one from which
	// on it isn't promoted.
	badThreshold     = 5.0
	suspectThreshold = 2.5
	// minRatio is the lower bound of the log likelihood ratio. Without it, a version that turns bad after a long
	// time would be detected late.
	minRatio = -3
	// minTargetAnswers is the number of answers of the target below which its verdict is unknown.
	minTargetAnswers = 8
)

// Verdict is the result of comparing a target with its baseline.
type Verdict int

// The verdicts.
const (
	// VerdictUnknown means that the target has given too few answers.
	VerdictUnknown Verdict = iota
	// VerdictSound means that there is no evidence against the target.
	VerdictSound
	// VerdictSuspect means that the target may be worse than the baseline, on a route or overall.
	VerdictSuspect
	// VerdictBad means that the target is worse than the baseline, on a route or overall.
	VerdictBad
)

// String returns the verdict's name for the log.
func (v Verdict) String() string { return [...]string{"unknown", "sound", "suspect", "bad"}[v] }

// SequentialTest is a cumulative sum test of a target against its baseline by route. It sums the log likelihood
// ratios of the answers of each step. The zero value is ready for use; it is not safe for concurrent use.
//
// It compares answers of the same few seconds. If it compared all answers since the order, a fault that affects
// both arms would count against the arm that got most of its requests during the fault, which is the target once
// it is promoted.
type SequentialTest struct {
	previous Evidence
	recent   map[string]*recentAnswers
	ratios   map[string]float64
	total    float64
}

// recentAnswers counts the baseline's answers of the last steps with exponentially decreasing weights.
type recentAnswers struct{ bad, total float64 }

// Add updates the test with the current evidence on an order.
func (t *SequentialTest) Add(e Evidence) {
	if t.ratios == nil {
		t.ratios, t.recent = make(map[string]float64), make(map[string]*recentAnswers)
	}
	sum := 0.0
	for _, route := range slices.Sorted(maps.Keys(e)) {
		ratio := t.step(route, e[route])
		t.ratios[route] = max(minRatio, t.ratios[route]+ratio)
		sum += ratio
	}
	t.total = max(minRatio, t.total+sum)
	t.previous = e
}

// step returns the log likelihood ratio of a route's new answers.
func (t *SequentialTest) step(route string, p ArmCounts) float64 {
	previous := t.previous[route]
	r := t.recent[route]
	if r == nil {
		r = new(recentAnswers)
		t.recent[route] = r
	}
	newBaseline := p.Baseline.newSince(previous.Baseline)
	r.add(newBaseline)
	baselineRate := (float64(p.Baseline.Bad) + priorBad) / (float64(p.Baseline.Total()) + priorAnswers)
	baselineRate = max(minBaselineRate, (r.bad+overallWeight*baselineRate)/(r.total+overallWeight))
	badRate := baselineRate + excessRate*(1-baselineRate)
	newTarget := p.Target.newSince(previous.Target)
	return float64(newTarget.Bad)*math.Log(badRate/baselineRate) + float64(newTarget.Good)*math.Log((1-badRate)/(1-baselineRate))
}

// add adds the answers of one step.
func (r *recentAnswers) add(c Count) {
	decay := recentDecay
	if limit := max(minRecentAnswers, float64(c.Total())); r.total*decay > limit {
		decay = limit / r.total
	}
	r.bad = r.bad*decay + float64(c.Bad)
	r.total = r.total*decay + float64(c.Total())
}

// newSince returns the answers that were added since an earlier count. It is at least 0: counts decrease when
// nodes disappear.
func (c Count) newSince(o Count) Count { return Count{max(0, c.Good-o.Good), max(0, c.Bad-o.Bad)} }

// Verdict returns the verdict and the route that decided it, which is empty if all routes together did.
func (t *SequentialTest) Verdict() (Verdict, string) {
	worst, route := t.total, ""
	for _, r := range slices.Sorted(maps.Keys(t.ratios)) {
		if t.ratios[r] > worst {
			worst, route = t.ratios[r], r
		}
	}
	switch {
	case worst >= badThreshold:
		return VerdictBad, route
	case worst >= suspectThreshold:
		return VerdictSuspect, route
	case t.previous.Sum().Target.Total() < minTargetAnswers:
		return VerdictUnknown, ""
	}
	return VerdictSound, ""
}
