package sagechain

import "time"

// The bound on an upstream's load, in requests in flight.
const (
	// boundFactor and boundSlack set it from the mean of the candidates. Below it, holding a chain
	// counts more than an idle engine: a step takes 3 % longer for each run beside it, while reading
	// a usual chain again takes a hundred steps.
	boundFactor = 1.8
	boundSlack  = 2.5
	// capFactor and capSlack are what the platform tolerates, from the mean of all upstreams of the
	// service; capMargin covers what other nodes sent since they last told.
	capFactor = 2.0
	capSlack  = 3.0
	capMargin = 1.5
	// usualRun is how long a request usually runs. What an upstream got during the lag of the counts
	// is at most the mean load times half the lag over it; unseenPart halves that, since nodes spread
	// what they can't see of each other (measured in the model: 1.1 % above the cap at a lag of 0.9 s,
	// 1.5 % without the halving, which also moves 1.7 times as many tokens).
	usualRun   = time.Second
	unseenPart = 4
	// evenSlack is what an upstream may exceed the candidates' mean by in any case: without it,
	// nothing could be placed when most upstreams may not be used.
	evenSlack = 1.0
)

// Rest are the upstreams of the service that may not be chosen: cold ones, those of data centres out
// of service, those that failed.
type Rest struct {
	Upstreams int
	Load      int
	// Lag is the time between two statements of the other nodes' counts.
	Lag time.Duration
}

// Bound returns the greatest load at which an upstream may still be chosen.
//
// It guards against engines above the platform's cap when others may not be used: an idle engine that
// is out of service lowers the mean that the cap is taken from, and the fewer are left, the more
// evenly they have to be loaded.
func Bound(cands []Candidate, rest Rest) float64 {
	total := 0
	for i := range cands {
		total += cands[i].Load
	}
	mean := float64(total) / float64(max(1, len(cands)))
	all := float64(total+rest.Load) / float64(max(1, len(cands)+rest.Upstreams))
	unseen := all * float64(rest.Lag) / float64(unseenPart*usualRun)
	tolerated := max(capFactor*all+capSlack-capMargin-unseen, mean+evenSlack)
	return min(boundFactor*mean+boundSlack, tolerated)
}
