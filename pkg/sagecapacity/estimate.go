package sagecapacity

import (
	"math"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// drainTime is the time in which a queue that is too long should drain.
	drainTime = 500 * time.Millisecond
	// allowedQueue is the queue that needn't shrink, as a part of the slots: it keeps the slots in use and makes a
	// request wait for as large a part of a run.
	allowedQueue = 0.3
	// minTarget and maxTarget limit the target, as parts of what the upstreams can run.
	minTarget = 0.1
	maxTarget = 1.1
	// declineWindow is how long a decline reduces the target.
	declineWindow = 500 * time.Millisecond
	// maxDeclinedPart limits by how much declines reduce the target.
	maxDeclinedPart = 0.5
	// maxLoadWait limits by how much an upstream's own figures, which may be false, change its wait, in runs.
	maxLoadWait = 1
)

// Estimate is what the upstreams of a service can take.
type Estimate struct {
	// PerSecond is the number of requests that they can run in a second; 0 if unknown.
	PerSecond float64
	// Target is the number of requests per second to admit. It is below PerSecond while a queue has to shrink.
	Target float64
	// Wait is the expected wait of a new request at the upstream where it is shortest, Run the mean run.
	Wait, Run time.Duration
	// At is the time of the estimate.
	At sageclock.Instant
}

// newEstimate estimates the capacity of the reported upstreams, and sets which part of their slots is in use.
func (s *service) newEstimate(now sageclock.Instant, upstreams []Upstream, defaultSlots float64) Estimate {
	e := Estimate{At: now}
	s.busy = 0
	slots, queue, spare, wait := 0.0, 0.0, 0.0, math.Inf(1)
	for i := range upstreams {
		u := s.upstreams[upstreams[i].ID]
		n := u.slotsOr(defaultSlots)
		run := u.capacityRun(now, s.usual, s.own.mean, n)
		if run == 0 || n == 0 {
			continue
		}
		e.PerSecond += n / run
		slots += n
		queue += max(u.inFlight.value-n, 0)
		spare += max(n-u.inFlight.value, 0)
		wait = min(wait, u.wait(now, n, run))
	}
	if e.PerSecond == 0 {
		return e
	}
	e.Run = seconds(slots / e.PerSecond)
	e.Wait = seconds(wait)
	e.Target = s.target(now, e.PerSecond, slots, queue, spare)
	s.busy = 1 - spare/slots
	return e
}

// wait returns how long a new request waits at the upstream, in seconds.
func (u *upstream) wait(now sageclock.Instant, slots, run float64) float64 {
	wait := 0.0
	if u.inFlight.value >= slots {
		wait = (u.inFlight.value - slots + 1) / slots * run
	}
	if l, ok := u.freshLoad(now); ok {
		limit := maxLoadWait * run
		wait = min(max(l.wait(run), wait-limit), wait+limit)
	}
	return wait
}

// target returns how many requests per second to admit. Above the allowed queue it is less than perSecond by what makes the
// rest of the queue drain. Below, it is more than perSecond the more slots are spare: requests on their way count as in
// flight, so the estimate is too low while the upstreams aren't full.
func (s *service) target(now sageclock.Instant, perSecond, slots, queue, spare float64) float64 {
	allowed := allowedQueue * slots
	target := perSecond - (queue-allowed)/drainTime.Seconds()
	if queue < allowed {
		unused := (allowed - queue + spare) / (allowed + slots)
		target = perSecond * (1 + (maxTarget-1)*unused)
	}
	target *= 1 - min(s.declinedPart(now), maxDeclinedPart)
	return min(max(target, minTarget*perSecond), maxTarget*perSecond)
}

// declinedPart returns which part of this node's recent requests upstreams declined.
func (s *service) declinedPart(now sageclock.Instant) float64 {
	declines := s.declines.value(now, declineWindow)
	if declines == 0 {
		return 0
	}
	return declines / (declines + s.runs.value(now, declineWindow) + 1)
}

// seconds returns s seconds, or an hour if it is more.
func seconds(s float64) time.Duration { return sageclock.DurationOf(min(s, maxRun), time.Second) }
