package sagemeasure

import (
	"fmt"
	"time"
)

// Scaling measures how cache reuse and skew change with the number of engines, under the load of the
// site haller: 18 engines and 8 routers, then more of both.
func Scaling(seed uint64) ([]Sample, error) {
	const start, end = 60 * time.Second, 100 * time.Second
	var out []Sample
	for _, n := range []int{18, 36, 72} {
		s := haller
		s.name, s.engines, s.routers = fmt.Sprintf("%d engines", n), n, 8*n/18
		trace := makeTrace(s, seed, end)
		for _, v := range []variant{oracle, sagestand, sagestandCounts} {
			p := newReplay(s, v, trace, seed)
			sampler := p.sampleSkew(start, end)
			p.runUntil(end + drainTime)
			for _, r := range append(sampler.samples(v), Sample{Metric: "cache reuse", Value: p.cacheReuse(start)}) {
				r.Scenario, r.Policy, r.Target = s.name, v.name, nil
				out = append(out, r)
			}
		}
	}
	return out, nil
}
