package sagemeasure

// PlacementAlternatives compares alternatives for placement under the same churn: how a returning chat
// finds its engine, how a hot context is spread over more engines, which multiples of the mean limit
// the load, and how current the view of the load is.
func PlacementAlternatives(seed uint64) ([]Sample, error) {
	variants := []variant{
		{name: "place: hash only", policy: widthByLoad(1.35, 1.1)},
		{name: "place: router memory", routerMemory: true, policy: widthByLoad(1.35, 1.1)},
		{name: "place: token", token: true, policy: widthByLoad(1.35, 1.1)},
		{name: "place: token and memory", token: true, routerMemory: true, policy: widthByLoad(1.35, 1.1)},
		{name: "width: one", token: true, policy: noWidening(1.35, 1.1)},
		{name: "width: by own share", token: true, policy: widthByShare(1.35, 1.1)},
		{name: "bound: 1.1, fresh 1.0", token: true, policy: widthByLoad(1.1, 1)},
		{name: "bound: 1.25, fresh 1.1", token: true, policy: widthByLoad(1.25, 1.1)},
		{name: "bound: 1.5, fresh 1.1", token: true, policy: widthByLoad(1.5, 1.1)},
		{name: "bound: 1.5, fresh 1.5", token: true, policy: widthByLoad(1.5, 1.5)},
		{name: "bound: 2, fresh 1.1", token: true, policy: widthByLoad(2, 1.1)},
		{name: "load: counts", token: true, loadFeed: countFeed, policy: widthByLoad(1.35, 1.1)},
		{name: "allotments: two in advance, 1.5", token: true, loadFeed: countFeed, allotments: &allotmentRule{meanMultiple: 1.5, headroom: 2}, policy: widthByLoad(1.35, 1.1)},
		{name: "allotments: one in advance, 2", token: true, loadFeed: countFeed, allotments: &allotmentRule{meanMultiple: 2, headroom: 1, onDemand: true}, policy: widthByLoad(1.35, 1.1)},
		{name: "allotments: on demand, 1.3", token: true, loadFeed: countFeed, allotments: &allotmentRule{meanMultiple: 1.3, onDemand: true}, policy: widthByLoad(1.3, 1.1)},
		{name: "allotments: on demand, 1.4", token: true, loadFeed: countFeed, allotments: &allotmentRule{meanMultiple: 1.4, onDemand: true}, policy: widthByLoad(1.4, 1.1)},
		{name: "allotments: on demand, 1.5", token: true, loadFeed: countFeed, allotments: &allotmentRule{meanMultiple: 1.5, onDemand: true}, policy: widthByLoad(1.5, 1.1)},
	}
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		trace := makeTrace(s, seed, warmUp+measureTime)
		for _, v := range variants {
			p := newReplay(s, v, trace, seed)
			p.scheduleChurn()
			sampler := p.sampleSkew(warmUp, warmUp+measureTime)
			p.runUntil(warmUp + measureTime + drainTime)
			rows := append(sampler.samples(v),
				Sample{Metric: "cache reuse", Value: p.cacheReuse(warmUp)},
				Sample{Metric: "refused", Unit: "%", Value: 100 * p.refusedShare(warmUp)})
			for _, r := range rows {
				r.Scenario, r.Policy = s.name, v.name
				out = append(out, r)
			}
		}
	}
	return out, nil
}
