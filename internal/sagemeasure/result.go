package sagemeasure

import (
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

// result is the outcome of one request of the trace.
type result struct {
	completed     bool
	refusalReason sageplace.Reason
	endedAt       time.Duration
	cachedTokens  int
	engine        *engine
	started       time.Duration
	attempts      int
}

// cacheReuse returns cached prompt tokens / prompt tokens of the completed requests that arrived at or
// after from.
func (p *replay) cacheReuse(from time.Duration) float64 { return p.cacheReuseBetween(from, p.now) }

// cacheReuseBetween returns cached prompt tokens / prompt tokens of the completed requests that arrived
// in [from, to).
func (p *replay) cacheReuseBetween(from, to time.Duration) float64 {
	cached, prompt := 0, 0
	for i := range p.trace {
		if q := &p.trace[i]; q.at >= from && q.at < to && p.results[i].completed {
			cached += p.results[i].cachedTokens
			prompt += q.promptTokens()
		}
	}
	return float64(cached) / float64(max(prompt, 1))
}

// withinDeadline returns the fraction of the requests of a priority that arrived in [from, to) and
// completed within their deadline, and the number that were refused.
func (p *replay) withinDeadline(from, to time.Duration, priority sagewire.Priority) (fraction float64, refused int) {
	total, inTime := 0, 0
	for i := range p.trace {
		q, res := &p.trace[i], &p.results[i]
		if q.at < from || q.at >= to || q.priority != priority {
			continue
		}
		total++
		switch {
		case !res.completed:
			refused++
		case res.endedAt <= q.deadline:
			inTime++
		}
	}
	return float64(inTime) / float64(max(total, 1)), refused
}

// refusedShare returns the fraction of the requests that arrived at or after from and were refused.
func (p *replay) refusedShare(from time.Duration) float64 {
	total, refused := 0, 0
	for i := range p.trace {
		if p.trace[i].at >= from {
			total++
			if !p.results[i].completed {
				refused++
			}
		}
	}
	return float64(refused) / float64(max(total, 1))
}
