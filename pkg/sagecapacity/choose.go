package sagecapacity

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// shiftTime is the time in which a queue drains because its upstream gets fewer requests. It is about the age of the
	// counts: a shorter time would make all nodes shift too many.
	shiftTime = 350 * time.Millisecond
	// minWeight is the least weight of an upstream with a queue, as a part of its weight without: the requests that find it
	// fast again.
	minWeight = 0.05
	// minLoadRatio and maxLoadRatio limit by how much an upstream's own figures, which may be false, change its weight.
	minLoadRatio, maxLoadRatio = 0.5, 1.5
)

// Candidate is an upstream that [Tracker.Choose] may choose.
type Candidate struct {
	ID string
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
	// InFlight is the number of requests there from all nodes, as last reported; Own of them are this node's, as of now.
	InFlight, Own int
}

// Choose returns the index of the candidate at which a request of a service is likely to be answered first, or -1 if there
// is no candidate.
//
// It has the fewest of this node's own requests relative to its weight: what it can run, less what lets its queue drain.
// Equals are drawn by weight. By the counts of other nodes, which are many runs old, all nodes would choose the same one.
func (t *Tracker) Choose(now sageclock.Instant, service string, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(now, service)
	usual, defaultSlots := s.usualRun(now), meanCandidateSlots(candidates)
	best, least, total := 0, 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		weight := s.upstream(now, c.ID).weigh(now, c, defaultSlots, usual)
		busy := float64(max(c.Own, 0)) / weight
		switch {
		case i == 0 || busy < least:
			best, least, total = i, busy, weight
		case busy == least:
			total += weight
			if t.random()*total < weight {
				best = i
			}
		}
	}
	return best
}

// weigh returns the weight of the upstream: the requests per second to give it.
func (u *upstream) weigh(now sageclock.Instant, c *Candidate, defaultSlots, usual float64) float64 {
	slots := float64(min(c.Slots, maxSlots))
	if slots <= 0 {
		slots = defaultSlots
	}
	run := u.choiceRun(now, usual)
	if run == 0 {
		run = 1 // no candidate has run anything
	}
	perSecond := slots / run
	weight := perSecond
	if c.Slots > 0 {
		queue := max(float64(min(c.InFlight, maxInFlight))-slots, 0)
		weight = drained(perSecond, queue)
	}
	if l, ok := u.freshLoad(now); ok {
		byLoad := drained(slots/l.run(run), float64(l.Waiting))
		weight = min(max(byLoad, minLoadRatio*weight), maxLoadRatio*weight)
	}
	return weight
}

// drained returns the requests per second to give to an upstream that can run perSecond, so that its queue drains.
func drained(perSecond, queue float64) float64 {
	return max(perSecond-queue/shiftTime.Seconds(), minWeight*perSecond)
}
