package sagemeasure

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// When a data centre leaves and returns in an exit replay. The ticket is in force at each router
// within changeDelay.
const (
	exitAt   = warmUp + 40*time.Second
	returnAt = warmUp + 130*time.Second
	exitEnd  = warmUp + measureTime
	// exitUtilisation makes the engines that stay busy: a policy that wastes their caches runs out of slots.
	exitUtilisation = 0.9
)

// DataCentreExit measures service while a data centre is taken out and brought back. Its engines come back
// cold.
func DataCentreExit(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		s.utilisation = exitUtilisation
		trace := makeTrace(s, seed, exitEnd)
		for _, v := range allVariants() {
			p := newReplay(s, v, trace, seed)
			returned := p.watchReturnedEngines()
			p.scheduleExit(0)
			p.runUntil(exitEnd + deadlineAfter[sagewire.Bulk])
			for _, r := range append(p.exitSamples(v), returned.sample(v)) {
				r.Scenario, r.Policy = s.name, v.name
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// exit takes a data centre out of service and back.
func (p *replay) scheduleExit(dataCentre int) {
	p.after(exitAt, func() {
		p.inService[dataCentre] = false
		p.announceDataCentre(dataCentre, false)
	})
	p.after(returnAt, func() {
		for _, e := range p.engines {
			if e.dataCentre == dataCentre {
				e.crash()
				e.up = true
			}
		}
		p.inService[dataCentre] = true
		p.announceDataCentre(dataCentre, true)
	})
}

// announceAll tells each router of a change that touches all engines of a data centre at once.
func (p *replay) announceDataCentre(dataCentre int, candidate bool) {
	for _, r := range p.routers {
		delay := time.Duration(p.rand.Int64N(int64(maxChangeDelay)))
		for i, e := range p.engines {
			if e.dataCentre == dataCentre {
				p.setCandidate(r, i, candidate, delay)
			}
		}
	}
}

func (p *replay) exitSamples(v variant) []Sample {
	var out []Sample
	for c := range sagewire.Priority(sagewire.NumPriorities) {
		fraction, refused := p.withinDeadline(exitAt, exitEnd, c)
		inTime := Sample{Metric: c.String() + " within deadline", Unit: "%", Value: 100 * fraction}
		refusals := Sample{Metric: c.String() + " refused", Value: float64(refused)}
		if isSagestand(v) && c == sagewire.Urgent {
			inTime.Target, refusals.Target = &Target{AtLeast, 99}, &Target{AtMost, 0}
		}
		out = append(out, inTime, refusals)
	}
	late := Sample{Metric: "new work in the left data centre after 4 s", Value: float64(p.lateRequests(0))}
	if isSagestand(v) {
		late.Target = &Target{AtMost, 0}
	}
	return append(out,
		Sample{Metric: "urgent within deadline, worst second", Unit: "%", Value: 100 * p.worstUrgentSecond()},
		Sample{Metric: "answer times settled after exit", Unit: "s", Value: p.settleTime(exitAt, returnAt)},
		Sample{Metric: "answer times settled after return", Unit: "s", Value: p.settleTime(returnAt, exitEnd)},
		Sample{Metric: "cache reuse in 30 s after exit", Value: p.cacheReuseBetween(exitAt, exitAt+30*time.Second)},
		late)
}

// worstSecond returns the least part of a second's urgent requests that completed within deadline.
func (p *replay) worstUrgentSecond() float64 {
	worst := 1.0
	for t := exitAt; t < exitEnd; t += time.Second {
		if fraction, _ := p.withinDeadline(t, t+time.Second, sagewire.Urgent); fraction < worst && p.urgentInSecond(t) > 0 {
			worst = fraction
		}
	}
	return worst
}

func (p *replay) urgentInSecond(t time.Duration) int {
	n := 0
	for i := range p.trace {
		if q := &p.trace[i]; q.at >= t && q.at < t+time.Second && q.priority == sagewire.Urgent {
			n++
		}
	}
	return n
}

// settle returns how long after an instant it takes until the mean time of an answer, over five
// seconds, is at most 1.15 times what it was in the 40 seconds before the exit, and stays so for five
// seconds more; the whole time if it never does.
func (p *replay) settleTime(from, until time.Duration) float64 {
	const window = 5 * time.Second
	limit := 1.15 * p.meanResponseTime(warmUp, exitAt)
	for t := from; t+2*window <= until; t += time.Second {
		if p.meanResponseTime(t, t+window) <= limit && p.meanResponseTime(t+window, t+2*window) <= limit {
			return (t - from).Seconds()
		}
	}
	return (until - from).Seconds()
}

// meanTime returns the mean seconds from arrival to the end of the answer of completed requests.
func (p *replay) meanResponseTime(from, to time.Duration) float64 {
	n, sum := 0, 0.0
	for i := range p.trace {
		if q, r := &p.trace[i], &p.results[i]; r.done && q.at >= from && q.at < to {
			n++
			sum += (r.endedAt - q.at).Seconds()
		}
	}
	return sum / float64(max(n, 1))
}

// lateWork counts requests that arrived more than changeDelay after the exit and began in that data
// centre before its return.
func (p *replay) lateRequests(dataCentre int) int {
	n := 0
	for i := range p.trace {
		q, r := &p.trace[i], &p.results[i]
		if r.done && r.engine.dataCentre == dataCentre && q.at > exitAt+maxChangeDelay && r.started < returnAt {
			n++
		}
	}
	return n
}

// returnedLoad looks at the load of engines that have come back cold, against what they bear.
type returnedLoad struct{ worst float64 }

func (p *replay) watchReturnedEngines() *returnedLoad {
	w := new(returnedLoad)
	p.every(returnAt, 100*time.Millisecond, func() {
		for _, e := range p.engines {
			if e.dataCentre == 0 && e.completed < 2*engineSlots*completionsPerUnit {
				w.worst = max(w.worst, float64(e.inFlight())/float64(e.capacity()))
			}
		}
	})
	return w
}

func (w *returnedLoad) sample(v variant) Sample {
	s := Sample{Metric: "greatest load of a returning engine / what it bears", Value: w.worst}
	if isSagestand(v) {
		s.Target = &Target{AtMost, 1}
	}
	return s
}
