package sagemeasure

import (
	"sort"
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
)

// maxLoadMultiple is the multiple of the mean load that no engine should exceed.
const maxLoadMultiple = sageplace.DefaultLoadBound

// Skew measures how unevenly the engines are loaded. Accounts follow Zipf's law, and three of ten chats
// at the site haller share one context. Every 15 s a router loses an engine from its view for 10 s.
func Skew(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		trace := makeTrace(s, seed, warmUp+measureTime)
		for _, v := range allVariants() {
			p := newReplay(s, v, trace, seed)
			p.scheduleDisagreement()
			sampler := p.sampleSkew(warmUp, warmUp+measureTime)
			p.runUntil(warmUp + measureTime + drainTime)
			rows := sampler.samples(v)
			rows = append(rows,
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

// scheduleDisagreement makes routers disagree about which engines are candidates.
func (p *replay) scheduleDisagreement() {
	p.every(warmUp/2, 15*time.Second, func() {
		r, i := p.routers[p.rand.IntN(len(p.routers))], p.rand.IntN(len(p.engines))
		p.setCandidate(r, i, false, 0)
		p.setCandidate(r, i, true, 10*time.Second)
	})
}

// samples returns the figures of s. The project's own policies have maxLoadMultiple as target.
func (s *skewSampler) samples(v variant) []Sample {
	over := Sample{Metric: "samples over 1.5 x mean", Unit: "%", Value: 100 * float64(s.overSamples) / float64(max(1, len(s.maxOverMean)))}
	if isSagestand(v) {
		over.Target = &Target{AtMost, 0}
	}
	return []Sample{
		{Metric: "max/mean, median sample", Value: quantile(s.maxOverMean, 0.5)},
		{Metric: "max/mean, worst sample", Value: quantile(s.maxOverMean, 1)},
		{Metric: "p99/mean, median sample", Value: quantile(s.p99OverMean, 0.5)},
		over,
	}
}

// skewSampler samples the true loads of all usable engines. Loads are compared relative to each
// engine's capacity, so that an engine in cold start, which may carry only four requests, doesn't count
// as idle.
type skewSampler struct {
	maxOverMean []float64
	p99OverMean []float64
	// overSamples counts the samples in which an engine carried more than ceil(maxLoadMultiple x mean).
	overSamples int
}

// sampleSkew samples every 100 ms in [from, to).
func (p *replay) sampleSkew(from, to time.Duration) *skewSampler {
	s := new(skewSampler)
	p.every(from, 100*time.Millisecond, func() {
		if p.now < to {
			s.sample(p)
		}
	})
	return s
}

func (s *skewSampler) sample(p *replay) {
	totalLoad, totalCapacity := 0, 0
	for _, e := range p.engines {
		if p.usable(e) {
			totalLoad += e.inFlight()
			totalCapacity += e.capacity()
		}
	}
	if totalLoad == 0 {
		return
	}
	var relative []float64
	over := false
	for _, e := range p.engines {
		if p.usable(e) {
			relative = append(relative, float64(e.inFlight()*totalCapacity)/float64(e.capacity()*totalLoad))
			over = over || e.inFlight() > loadLimit(maxLoadMultiple, totalLoad, totalCapacity, e.capacity())
		}
	}
	sort.Float64s(relative)
	s.maxOverMean = append(s.maxOverMean, relative[len(relative)-1])
	s.p99OverMean = append(s.p99OverMean, relative[(len(relative)*99+99)/100-1])
	if over {
		s.overSamples++
	}
}

// quantile returns the q-quantile of v, or 0 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
