package sagemeasure

// PlacementAlternatives measures the ways that were weighed for placement under the same churn: how a returning chat
// finds its engine, how a hot context widens, which multiples of the mean bound the load, and how
// fresh the view of the load is.
func PlacementAlternatives(seed uint64) ([]Sample, error) {
	ways := []variant{
		{name: "place: hash only", policy: byLoad(1.35, 1.1)},
		{name: "place: router memory", memory: true, policy: byLoad(1.35, 1.1)},
		{name: "place: token", token: true, policy: byLoad(1.35, 1.1)},
		{name: "place: token and memory", token: true, memory: true, policy: byLoad(1.35, 1.1)},
		{name: "width: one", token: true, policy: narrow(1.35, 1.1)},
		{name: "width: by own share", token: true, policy: byShare(1.35, 1.1)},
		{name: "bound: 1.1, fresh 1.0", token: true, policy: byLoad(1.1, 1)},
		{name: "bound: 1.25, fresh 1.1", token: true, policy: byLoad(1.25, 1.1)},
		{name: "bound: 1.5, fresh 1.1", token: true, policy: byLoad(1.5, 1.1)},
		{name: "bound: 1.5, fresh 1.5", token: true, policy: byLoad(1.5, 1.5)},
		{name: "bound: 2, fresh 1.1", token: true, policy: byLoad(2, 1.1)},
		{name: "load: counts", token: true, feed: counts, policy: byLoad(1.35, 1.1)},
		{name: "allotments: two in advance, 1.5", token: true, feed: counts, allot: &allotRule{multiple: 1.5, headroom: 2}, policy: byLoad(1.35, 1.1)},
		{name: "allotments: one in advance, 2", token: true, feed: counts, allot: &allotRule{multiple: 2, headroom: 1, onDemand: true}, policy: byLoad(1.35, 1.1)},
		{name: "allotments: on demand, 1.3", token: true, feed: counts, allot: &allotRule{multiple: 1.3, onDemand: true}, policy: byLoad(1.3, 1.1)},
		{name: "allotments: on demand, 1.4", token: true, feed: counts, allot: &allotRule{multiple: 1.4, onDemand: true}, policy: byLoad(1.4, 1.1)},
		{name: "allotments: on demand, 1.5", token: true, feed: counts, allot: &allotRule{multiple: 1.5, onDemand: true}, policy: byLoad(1.5, 1.1)},
	}
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		trace := makeTrace(s, seed, warmUp+measure)
		for _, v := range ways {
			p := newReplay(s, v, trace, seed)
			p.churn()
			k := p.sampleSkew(warmUp, warmUp+measure)
			p.runUntil(warmUp + measure + tail)
			rows := append(k.samples(v),
				Sample{Metric: "cache reuse", Value: p.reuse(warmUp)},
				Sample{Metric: "refused", Unit: "%", Value: 100 * p.refused(warmUp)})
			for _, r := range rows {
				r.Scenario, r.Policy = s.name, v.name
				out = append(out, r)
			}
		}
	}
	return out, nil
}
