package sagechain

import "time"

// The bound on an upstream's load, in requests in flight.
const (
	// capSlack is what the platform tolerates beyond [Rest.CapFactor] times the mean; capMargin covers one request
	// that another node sends at the same moment, and half of one for counts that are rounded.
	capSlack  = 3.0
	capMargin = 1.5
	// mostLag is the lag that is allowed for. With older counts a lower bound makes all nodes spill at
	// once, which takes more requests above the cap than it keeps below.
	mostLag = 300 * time.Millisecond
	// evenSlack is what an upstream may exceed the candidates' mean by in any case: without it,
	// nothing could be placed when most upstreams may not be used.
	evenSlack = 1.0
)

// DefaultCapFactor is the cap of the known platforms.
const DefaultCapFactor = 2.0

// BoundParams are the upstreams of the service that may not be chosen: cold ones, those of data centres out
// of service, those that failed.
type BoundParams struct {
	// Cap is how many times the mean load of all upstreams of the service the platform tolerates at one;
	// 0 means [DefaultCapFactor].
	CapFactor         float64
	ExcludedUpstreams int
	ExcludedLoad      int
	// Lag is the time between two statements of the other nodes' counts.
	CountLag time.Duration
	// Run is how long a request runs in the mean. What an upstream got during the lag is the mean load
	// times the lag over it.
	MeanRunTime time.Duration
}

// LoadBound returns the greatest load at which an upstream may still be chosen. Below the cap, holding a chain
// counts more than an idle engine: a step takes some hundredths longer for each run beside it, while reading
// a usual chain again takes a hundred steps.
//
// It guards against engines above the platform's cap when others may not be used: an idle engine that
// is out of service lowers the mean that the cap is taken from, and the fewer are left, the more
// evenly they have to be loaded.
func LoadBound(cands []Candidate, rest BoundParams) float64 {
	total := 0
	for i := range cands {
		total += cands[i].Load
	}
	mean := float64(total) / float64(max(1, len(cands)))
	all := float64(total+rest.ExcludedLoad) / float64(max(1, len(cands)+rest.ExcludedUpstreams))
	unseen := 0.0
	if rest.MeanRunTime > 0 {
		unseen = all * float64(min(rest.CountLag, mostLag)) / float64(rest.MeanRunTime)
	}
	factor := rest.CapFactor
	if factor == 0 {
		factor = DefaultCapFactor
	}
	return max(factor*all+capSlack-capMargin-unseen, mean+evenSlack)
}
