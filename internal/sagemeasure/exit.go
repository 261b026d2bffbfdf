package sagemeasure

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Times at which a data centre leaves and returns in an exit replay. Each router applies the ticket
// within maxChangeDelay.
const (
	exitAt   = warmUp + 40*time.Second
	returnAt = warmUp + 130*time.Second
	exitEnd  = warmUp + measureTime
	// exitUtilisation keeps the remaining engines busy, so that a policy that wastes their caches runs
	// out of slots.
	exitUtilisation = 0.9
)

// DataCentreExit measures the service while a data centre is taken out of service and returned. Its
// engines return with empty caches.
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

// scheduleExit takes a data centre out of service at exitAt and returns it at returnAt.
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

// announceDataCentre sends each router a change that affects all engines of a data centre at the same
// time.
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

// exitSamples returns the figures of a replay with an exit.
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

// worstUrgentSecond returns the smallest fraction of urgent requests of one second that completed
// within their deadline.
func (p *replay) worstUrgentSecond() float64 {
	worst := 1.0
	for t := exitAt; t < exitEnd; t += time.Second {
		if fraction, _ := p.withinDeadline(t, t+time.Second, sagewire.Urgent); fraction < worst && p.urgentInSecond(t) > 0 {
			worst = fraction
		}
	}
	return worst
}

// urgentInSecond returns the number of urgent requests that arrive in the second after t.
func (p *replay) urgentInSecond(t time.Duration) int {
	n := 0
	for i := range p.trace {
		if q := &p.trace[i]; q.at >= t && q.at < t+time.Second && q.priority == sagewire.Urgent {
			n++
		}
	}
	return n
}

// settleTime returns the seconds after from until the mean response time over five seconds is at most
// 1.15 times that of the 40 s before the exit, and stays so for another five seconds. It returns the
// whole interval if that doesn't happen.
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

// meanResponseTime returns the mean time from arrival to the end of the response of the completed
// requests, in seconds.
func (p *replay) meanResponseTime(from, to time.Duration) float64 {
	n, sum := 0, 0.0
	for i := range p.trace {
		if q, r := &p.trace[i], &p.results[i]; r.completed && q.at >= from && q.at < to {
			n++
			sum += (r.endedAt - q.at).Seconds()
		}
	}
	return sum / float64(max(n, 1))
}

// lateRequests counts requests that arrived more than maxChangeDelay after the exit and nevertheless
// started in the data centre before its return.
func (p *replay) lateRequests(dataCentre int) int {
	n := 0
	for i := range p.trace {
		q, r := &p.trace[i], &p.results[i]
		if r.completed && r.engine.dataCentre == dataCentre && q.at > exitAt+maxChangeDelay && r.started < returnAt {
			n++
		}
	}
	return n
}

// returnedLoad records the worst load of engines that returned cold, relative to their capacity.
type returnedLoad struct{ worst float64 }

// watchReturnedEngines observes the engines of the returned data centre until they are warm.
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
