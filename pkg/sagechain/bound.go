package sagechain

import "time"

// Parameters of the load bound, in requests in flight.
const (
	// capSlack is the load that the platform tolerates above [BoundParams.CapFactor] times the mean. capMargin
	// is the part of it that the bound leaves free: one request that another node sends at the same moment, and
	// half a request for rounded counts.
	capSlack  = 3.0
	capMargin = 1.5
	// maxCountLag limits the lag that the bound compensates for. With older counts the bound would be so low
	// that all nodes spill at the same time, which puts more requests above the cap than it avoids.
	maxCountLag = 300 * time.Millisecond
	// meanSlack is how far an upstream may always exceed the candidates' mean load. Without it, no request
	// could be placed while most upstreams are excluded.
	meanSlack = 1.0
)

// DefaultCapFactor is used if [BoundParams.CapFactor] is 0.
const DefaultCapFactor = 2.0

// BoundParams describes the service and its upstreams that may not be chosen: cold or failed ones, and those in
// data centres that are out of service.
type BoundParams struct {
	// CapFactor is the greatest load that the platform tolerates at one upstream, as a multiple of the mean load
	// of all upstreams of the service; 0 means [DefaultCapFactor].
	CapFactor         float64
	ExcludedUpstreams int
	ExcludedLoad      int
	// CountLag is the interval at which the other nodes report their counts.
	CountLag time.Duration
	// MeanRunTime is the mean duration of a request. During CountLag an upstream receives about the mean load
	// times CountLag / MeanRunTime requests that are not in the counts.
	MeanRunTime time.Duration
	// MayDecline says that the caller has upstreams beside the candidates, and uses these if the choice is
	// [ReasonAllAtBound].
	MayDecline bool
}

// LoadBound returns the greatest load at which an upstream may still be chosen. Below the platform's cap, a cached
// chain outweighs an idle engine: each concurrent request slows a generation step by a few percent, while
// computing a typical chain again takes as long as a hundred steps.
//
// The mean includes the excluded upstreams, since the platform's cap does. An idle engine that is out of service
// lowers that mean, and the fewer engines are usable, the more evenly they have to be loaded to stay below the
// cap.
func LoadBound(cands []Candidate, params BoundParams) float64 {
	candidateLoad := 0
	for i := range cands {
		candidateLoad += cands[i].Load
	}
	candidateMean := float64(candidateLoad) / float64(max(1, len(cands)))
	serviceMean := float64(candidateLoad+params.ExcludedLoad) / float64(max(1, len(cands)+params.ExcludedUpstreams))
	factor := params.CapFactor
	if factor == 0 {
		factor = DefaultCapFactor
	}
	bound := factor*serviceMean + capSlack - capMargin
	lags := 0.0
	if params.MeanRunTime > 0 {
		lags = float64(min(params.CountLag, maxCountLag)) / float64(params.MeanRunTime)
	}
	if params.MayDecline {
		// Without the bound all requests of the service would go to the candidates, however few these are.
		return bound - lags*float64(candidateLoad+params.ExcludedLoad)/float64(max(1, len(cands)))
	}
	return max(bound-lags*serviceMean, candidateMean+meanSlack)
}
