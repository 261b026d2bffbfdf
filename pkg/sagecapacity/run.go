package sagecapacity

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// sumWindow is how long reported sums determine the mean run, besides the second for which runs are counted. Requests in
	// flight are few and counted at an instant: a single count would be noise.
	sumWindow = 700 * time.Millisecond
	// priorInFlight is the weight of the prior mean run, in requests in flight.
	priorInFlight = 0.5
	// manySamples is the number of a node's own recent samples that weigh as much as the reported sums.
	manySamples = 10
	// fullPart is the part of an upstream's slots in use from which its runs per second are all that it can run.
	fullPart = 0.9
	// minRun and maxRun limit a mean run, in seconds.
	minRun = 1e-4
	maxRun = 3600
)

// crowding returns by how much waiting makes a response at the upstream longer than the run.
func (u *upstream) crowding(now sageclock.Instant) float64 {
	if u.slots == 0 || now.Sub(u.inFlight.at) > maxUpdateAge {
		return 1
	}
	return max(1, u.inFlight.value/float64(u.slots))
}

// priorRun returns the mean run in seconds by the node's own samples, and the part by which they are many. usual is the mean
// run of the service, which is used the more the fewer samples there are. The result is 0 if both are unknown.
func (u *upstream) priorRun(now sageclock.Instant, usual float64) (run, many float64) {
	many = min(u.own.count.value(now, sampleWindow)/manySamples, 1)
	switch {
	case u.own.mean == 0:
		return usual, 0
	case usual == 0:
		return u.own.mean, many
	}
	return usual + (u.own.mean-usual)*many, many
}

// capacityRun returns the mean run in seconds that determines the capacity, or 0 if it is unknown. usual is the service's mean run by
// the sums, own that by the node's own samples. While slots are free, own samples limit the run: sums overestimate it as the
// load grows, since they count the runs of the last second.
func (u *upstream) capacityRun(now sageclock.Instant, usual, own, slots float64) float64 {
	prior, _ := u.priorRun(now, usual)
	run := u.runBySums(now, prior, priorInFlight)
	if ownRun, _ := u.priorRun(now, own); ownRun > 0 && u.busy.value < fullPart*slots {
		run = min(run, ownRun)
	}
	return limitRun(run)
}

// choiceRun returns the mean run in seconds by which candidates are compared, or 0 if it is unknown. Many own samples weigh
// as much as the sums, because they are fresh.
func (u *upstream) choiceRun(now sageclock.Instant, usual float64) float64 {
	prior, many := u.priorRun(now, usual)
	return u.runBySums(now, prior, priorInFlight+u.busy.value*many)
}

// runBySums returns the mean run in seconds. By Little's law it is the number of slots in use, divided by the runs per
// second. The prior counts as weight further requests in flight. It is 0 if the run is unknown.
func (u *upstream) runBySums(now sageclock.Instant, prior, weight float64) float64 {
	if u.runs.at == 0 || now.Sub(u.runs.at) > maxUpdateAge {
		return limitRun(prior)
	}
	if prior > 0 {
		return limitRun((u.busy.value + weight) / (u.runs.value + weight/prior))
	}
	if u.runs.value == 0 {
		return 0
	}
	return limitRun(u.busy.value / u.runs.value)
}

func limitRun(seconds float64) float64 {
	if seconds == 0 {
		return 0
	}
	return min(max(seconds, minRun), maxRun)
}

// usualRun returns the mean run in seconds, or 0 if it is unknown.
func (s *service) usualRun(now sageclock.Instant) float64 {
	if s.usual == 0 || now.Sub(s.estimate.At) > maxUpdateAge {
		return limitRun(s.own.mean)
	}
	return s.usual
}

// reportedRun returns the mean run at the reported upstreams in seconds, or 0 if it is unknown.
func (s *service) reportedRun(now sageclock.Instant, upstreams []Upstream) float64 {
	busy, runs := 0.0, 0.0
	for i := range upstreams {
		u := s.upstreams[upstreams[i].ID]
		if u.runs.at != 0 && now.Sub(u.runs.at) <= maxUpdateAge {
			busy += u.busy.value
			runs += u.runs.value
		}
	}
	if s.own.mean > 0 {
		busy += priorInFlight
		runs += priorInFlight / s.own.mean
	}
	if runs == 0 || busy == 0 {
		return 0
	}
	return limitRun(busy / runs)
}
