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
	exitEnd  = warmUp + measure
	// exitUse makes the engines that stay busy: a policy that wastes their caches runs out of slots.
	exitUse = 0.9
)

// DataCentreExit measures service while a data centre is taken out and brought back. Its engines come back
// cold.
func DataCentreExit(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		s.use = exitUse
		trace := makeTrace(s, seed, exitEnd)
		for _, v := range all() {
			p := newReplay(s, v, trace, seed)
			w := p.watchReturn()
			p.exit(0)
			p.runUntil(exitEnd + patience[sagewire.Bulk])
			for _, r := range append(p.exitSamples(v), w.sample(v)) {
				r.Scenario, r.Policy = s.name, v.name
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// exit takes a data centre out of service and back.
func (p *replay) exit(dataCentre int) {
	p.after(exitAt, func() {
		p.inService[dataCentre] = false
		p.announceAll(dataCentre, false)
	})
	p.after(returnAt, func() {
		for _, e := range p.engines {
			if e.dataCentre == dataCentre {
				e.crash()
				e.up = true
			}
		}
		p.inService[dataCentre] = true
		p.announceAll(dataCentre, true)
	})
}

// announceAll tells each router of a change that touches all engines of a data centre at once.
func (p *replay) announceAll(dataCentre int, candidate bool) {
	for _, r := range p.routers {
		delay := time.Duration(p.rand.Int64N(int64(changeDelay)))
		for i, e := range p.engines {
			if e.dataCentre == dataCentre {
				p.see(r, i, candidate, delay)
			}
		}
	}
}

func (p *replay) exitSamples(v variant) []Sample {
	var out []Sample
	for c := range sagewire.Priority(sagewire.NumPriorities) {
		part, refused := p.inTime(exitAt, exitEnd, c)
		in := Sample{Metric: c.String() + " within deadline", Unit: "%", Value: 100 * part}
		no := Sample{Metric: c.String() + " refused", Value: float64(refused)}
		if own(v) && c == sagewire.Urgent {
			in.Target, no.Target = &Target{AtLeast, 99}, &Target{AtMost, 0}
		}
		out = append(out, in, no)
	}
	late := Sample{Metric: "new work in the left data centre after 4 s", Value: float64(p.lateWork(0))}
	if own(v) {
		late.Target = &Target{AtMost, 0}
	}
	return append(out,
		Sample{Metric: "urgent within deadline, worst second", Unit: "%", Value: 100 * p.worstSecond()},
		Sample{Metric: "answer times settled after exit", Unit: "s", Value: p.settle(exitAt, returnAt)},
		Sample{Metric: "answer times settled after return", Unit: "s", Value: p.settle(returnAt, exitEnd)},
		Sample{Metric: "cache reuse in 30 s after exit", Value: p.reuseBetween(exitAt, exitAt+30*time.Second)},
		late)
}

// worstSecond returns the least part of a second's urgent requests that completed within deadline.
func (p *replay) worstSecond() float64 {
	worst := 1.0
	for t := exitAt; t < exitEnd; t += time.Second {
		if part, _ := p.inTime(t, t+time.Second, sagewire.Urgent); part < worst && p.urgentAt(t) > 0 {
			worst = part
		}
	}
	return worst
}

func (p *replay) urgentAt(t time.Duration) int {
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
func (p *replay) settle(from, to time.Duration) float64 {
	const window = 5 * time.Second
	want := 1.15 * p.meanTime(warmUp, exitAt)
	for t := from; t+2*window <= to; t += time.Second {
		if p.meanTime(t, t+window) <= want && p.meanTime(t+window, t+2*window) <= want {
			return (t - from).Seconds()
		}
	}
	return (to - from).Seconds()
}

// meanTime returns the mean seconds from arrival to the end of the answer of completed requests.
func (p *replay) meanTime(from, to time.Duration) float64 {
	n, sum := 0, 0.0
	for i := range p.trace {
		if q, r := &p.trace[i], &p.results[i]; r.done && q.at >= from && q.at < to {
			n++
			sum += (r.at - q.at).Seconds()
		}
	}
	return sum / float64(max(n, 1))
}

// lateWork counts requests that arrived more than changeDelay after the exit and began in that data
// centre before its return.
func (p *replay) lateWork(dataCentre int) int {
	n := 0
	for i := range p.trace {
		q, r := &p.trace[i], &p.results[i]
		if r.done && r.engine.dataCentre == dataCentre && q.at > exitAt+changeDelay && r.started < returnAt {
			n++
		}
	}
	return n
}

// returnWatch looks at the load of engines that have come back cold, against what they bear.
type returnWatch struct{ worst float64 }

func (p *replay) watchReturn() *returnWatch {
	w := new(returnWatch)
	p.every(returnAt, 100*time.Millisecond, func() {
		for _, e := range p.engines {
			if e.dataCentre == 0 && e.completed < 2*engineSlots*rampWork {
				w.worst = max(w.worst, float64(e.inFlight())/float64(e.bears()))
			}
		}
	})
	return w
}

func (w *returnWatch) sample(v variant) Sample {
	s := Sample{Metric: "greatest load of a returning engine / what it bears", Value: w.worst}
	if own(v) {
		s.Target = &Target{AtMost, 1}
	}
	return s
}
