package sagemeasure

import (
	"math"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
)

// variant is one way to place requests.
type variant struct {
	name   string
	policy func(p *replay) sageplace.Policy
	// token lets callers send placement tokens; routerMemory lets each router remember the chats that
	// it served.
	token, routerMemory bool
	// headroom makes less urgent requests leave capacity for urgent ones.
	headroom bool
	// allotments, if set, bounds the requests in flight by allotments that the engines' coordinators
	// grant.
	allotments *allotmentRule
	// loadFeed is reportFeed if it is zero.
	loadFeed loadFeed
}

// sagestand is what the daemon does: placement by the engines' lagging reports and the router's own
// requests since, with allotments of each engine's capacity.
var sagestand = variant{
	name: "sagestand", token: true, headroom: true,
	allotments: &allotmentRule{meanMultiple: unlimitedMultiple, headroom: 1, onDemand: true}, policy: widthByLoad(sageplace.LoadBounds(maxLoadMultiple)),
}

// unlimitedMultiple leaves an engine's capacity as the only limit of its allotments.
const unlimitedMultiple = 1e6

// sagestandCounts is sagestand if coordinators also sent the routers' counts with each grant, which the
// daemon doesn't do.
var sagestandCounts = variant{name: "sagestand, counts", token: true, headroom: true, loadFeed: countFeed, allotments: sagestand.allotments, policy: sagestand.policy}

// sagestandAllotted is sagestandCounts if coordinators also granted at most 1.4 x mean, each unit on
// demand, which the daemon doesn't do.
var sagestandAllotted = variant{
	name: "sagestand, mean allotted", token: true, headroom: true, loadFeed: countFeed,
	allotments: &allotmentRule{meanMultiple: 1.4, onDemand: true}, policy: widthByLoad(1.4, 1.1),
}

// estimatesOnly is sagestand without allotments.
var estimatesOnly = variant{name: "estimates alone", token: true, headroom: true, policy: sagestand.policy}

// isSagestand reports whether v is one of the project's own variants, which have targets.
func isSagestand(v variant) bool {
	return v.name == sagestand.name || v.name == sagestandCounts.name || v.name == sagestandAllotted.name
}

// firstVersion is bounded placement in hash order alone, the project's first policy.
var firstVersion = variant{name: "first version", policy: noWidening(1.25, 1.25)}

// widthByLoad returns a policy that widens a hot context by load.
func widthByLoad(bound, uncachedBound float64) func(*replay) sageplace.Policy {
	return func(*replay) sageplace.Policy {
		return &sageplace.Placer[*sageplace.WidthByLoad]{LoadBound: bound, UncachedLoadBound: uncachedBound, WidthPolicy: sageplace.NewWidthByLoad(1024)}
	}
}

// widthByShare returns a policy that widens a hot context by its share of the router's own requests.
func widthByShare(bound, uncachedBound float64) func(*replay) sageplace.Policy {
	return func(*replay) sageplace.Policy {
		return &sageplace.Placer[*sageplace.WidthByShare]{LoadBound: bound, UncachedLoadBound: uncachedBound, WidthPolicy: sageplace.NewWidthByShare(1024)}
	}
}

// noWidening returns a policy that keeps each context on one engine.
func noWidening(bound, uncachedBound float64) func(*replay) sageplace.Policy {
	return func(*replay) sageplace.Policy {
		return &sageplace.Placer[sageplace.NoWidening]{LoadBound: bound, UncachedLoadBound: uncachedBound}
	}
}

var oracle = variant{name: "oracle", policy: func(p *replay) sageplace.Policy { return &oraclePolicy{p} }}

var baselines = []variant{
	{name: "random", policy: func(p *replay) sageplace.Policy { return &sageplace.Random{Rand: p.rand} }},
	{name: "round robin", policy: func(*replay) sageplace.Policy { return &sageplace.RoundRobin{} }},
	{name: "least loaded", policy: func(*replay) sageplace.Policy { return sageplace.LeastLoaded{} }},
	{name: "two choices", policy: func(p *replay) sageplace.Policy { return &sageplace.TwoChoices{Rand: p.rand} }},
	{name: "plain hash", policy: func(*replay) sageplace.Policy { return sageplace.PlainHash{} }},
}

// oracleBound is the load bound of the oracle, the same as that of sagestand.
var oracleBound, _ = sageplace.LoadBounds(maxLoadMultiple)

// oraclePolicy is the reference for the other policies: it knows the true caches and loads of all
// engines without lag. Of the engines below the bound it chooses the one that holds most of the prompt,
// and among equals the least loaded.
type oraclePolicy struct{ p *replay }

// Choose implements [sageplace.Policy].
func (s *oraclePolicy) Choose(_ time.Time, _ *sageplace.Table, _ *sageplace.Loads, q *sageplace.Query) sageplace.Choice {
	p := s.p
	r := &request{context: q.Context, contextTokens: 1 << 20, chat: q.Chat, historyTokens: 1 << 20}
	totalLoad, totalCapacity := 1, 0
	for _, e := range p.engines {
		if p.usable(e) {
			totalLoad += e.inFlight()
			totalCapacity += e.capacity()
		}
	}
	best, cached, load := -1, -1, 0
	for i, e := range p.engines {
		if !p.usable(e) || e.inFlight()+1 > min(e.capacity(), loadLimit(oracleBound, totalLoad, totalCapacity, e.capacity())) {
			continue
		}
		c := e.cache.cached(r)
		if c > cached || c == cached && e.inFlight() < load {
			best, cached, load = i, c, e.inFlight()
		}
	}
	if best < 0 {
		return sageplace.Choice{Index: -1, Reason: sageplace.ReasonAllAtBound}
	}
	return sageplace.Choice{Index: best, Reason: sageplace.ReasonHashOrder}
}

// usable reports whether an engine is in fact a candidate.
func (p *replay) usable(e *engine) bool { return e.up && !e.leaving && p.inService[e.dataCentre] }

// loadLimit returns ceil(multiple x mean) for an engine with a part engineCapacity of the total
// capacity.
func loadLimit(multiple float64, totalLoad, totalCapacity, engineCapacity int) int {
	return int(math.Ceil(multiple * float64(totalLoad) * float64(engineCapacity) / float64(max(totalCapacity, 1))))
}

// allVariants returns all variants that the tables compare.
func allVariants() []variant {
	return slices.Concat([]variant{oracle, sagestand, sagestandCounts, sagestandAllotted, estimatesOnly, firstVersion}, baselines)
}
