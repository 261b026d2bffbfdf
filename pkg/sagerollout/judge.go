package sagerollout

import (
	"maps"
	"math"
	"slices"
)

// The test of a target against its baseline.
const (
	// excess is the rate of bad answers beyond the baseline's, as a part of what is left to all, at which a
	// version is bad.
	excess = 0.25
	// priorBad and priorAnswers stand for the baseline before it has answered much.
	priorBad     = 0.5
	priorAnswers = 25
	// recentKeeps is the part of the baseline's recent answers that stays from one step to the next, but no more
	// of them than came in this step, or recentLeast: they have to be of the same moment as the target's.
	// usualWeight is how many answers the baseline's rate since the order weighs beside them.
	recentKeeps = 0.5
	recentLeast = 40
	usualWeight = 10
	// usualLeast is the least rate that is taken for the baseline's: some answers of any version are bad.
	usualLeast = 0.03
	// rejectAt is the log likelihood ratio from which on a version is bad, suspectAt that from which on it is
	// not promoted.
	rejectAt  = 5.0
	suspectAt = 2.5
	// floor is the least ratio: a version that was sound for long and turns bad is found out as soon as another.
	floor = -3
	// leastAnswers is the number of answers of the target without which nothing is known of it.
	leastAnswers = 8
)

// Verdict is what the evidence says of a target.
type Verdict int

// The verdicts.
const (
	// VerdictUnknown says that the target has answered too little.
	VerdictUnknown Verdict = iota
	// VerdictSound says that nothing speaks against the target.
	VerdictSound
	// VerdictSuspect says that a route may be worse than its baseline.
	VerdictSuspect
	// VerdictBad says that a route, or all together, are worse than their baseline.
	VerdictBad
)

// String returns the verdict's name for the log.
func (v Verdict) String() string { return [...]string{"unknown", "sound", "suspect", "bad"}[v] }

// SequentialTest is a cumulative sum test of a target against its baseline by route, with the log likelihood ratios of
// the answers since the last step. The zero value is ready; it is not safe for concurrent use.
//
// It compares what came in the same seconds. Were all answers since the order compared, a moment that is bad
// for both arms would count against the one that got most of its requests in it, which is the target when it
// is promoted.
type SequentialTest struct {
	last   Evidence
	recent map[string]*recent
	ratios map[string]float64
	all    float64
}

// recent are the baseline's answers of the last steps, the older ones with less weight.
type recent struct{ bad, total float64 }

// Add takes in the evidence on an order as it is now.
func (j *SequentialTest) Add(e Evidence) {
	if j.ratios == nil {
		j.ratios, j.recent = make(map[string]float64), make(map[string]*recent)
	}
	sum := 0.0
	for _, route := range slices.Sorted(maps.Keys(e)) {
		x := j.step(route, e[route])
		j.ratios[route] = max(floor, j.ratios[route]+x)
		sum += x
	}
	j.all = max(floor, j.all+sum)
	j.last = e
}

// step returns the log likelihood ratio of a route's new answers.
func (j *SequentialTest) step(route string, p ArmCounts) float64 {
	was := j.last[route]
	r := j.recent[route]
	if r == nil {
		r = new(recent)
		j.recent[route] = r
	}
	base := p.Baseline.since(was.Baseline)
	r.add(base)
	usual := (float64(p.Baseline.Bad) + priorBad) / (float64(p.Baseline.Total()) + priorAnswers)
	usual = max(usualLeast, (r.bad+usualWeight*usual)/(r.total+usualWeight))
	worse := usual + excess*(1-usual)
	fresh := p.Target.since(was.Target)
	return float64(fresh.Bad)*math.Log(worse/usual) + float64(fresh.Good)*math.Log((1-worse)/(1-usual))
}

// add takes in the answers of one step.
func (r *recent) add(c Count) {
	keep := recentKeeps
	if most := max(recentLeast, float64(c.Total())); r.total*keep > most {
		keep = most / r.total
	}
	r.bad = r.bad*keep + float64(c.Bad)
	r.total = r.total*keep + float64(c.Total())
}

// since returns the answers that came after others; counts of nodes that are gone may make it fewer.
func (c Count) since(o Count) Count { return Count{max(0, c.Good-o.Good), max(0, c.Bad-o.Bad)} }

// Verdict returns what the evidence says, and the route that decided it; empty for all together.
func (j *SequentialTest) Verdict() (Verdict, string) {
	worst, route := j.all, ""
	for _, r := range slices.Sorted(maps.Keys(j.ratios)) {
		if j.ratios[r] > worst {
			worst, route = j.ratios[r], r
		}
	}
	switch {
	case worst >= rejectAt:
		return VerdictBad, route
	case worst >= suspectAt:
		return VerdictSuspect, route
	case j.last.Sum().Target.Total() < leastAnswers:
		return VerdictUnknown, ""
	}
	return VerdictSound, ""
}
