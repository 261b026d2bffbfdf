package sagemeasure

import (
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

// result is the end of one request of the trace.
type result struct {
	done          bool
	refusalReason sageplace.Reason
	endedAt       time.Duration // when it ended
	cached        int
	engine        *engine
	started       time.Duration
	attempts      int
}

// reuse returns cached prompt tokens / prompt tokens of the requests from an instant on.
func (p *replay) cacheReuse(from time.Duration) float64 { return p.cacheReuseBetween(from, p.now) }

func (p *replay) cacheReuseBetween(from, to time.Duration) float64 {
	cached, prompt := 0, 0
	for i := range p.trace {
		if q := &p.trace[i]; q.at >= from && q.at < to && p.results[i].done {
			cached += p.results[i].cached
			prompt += q.prompt()
		}
	}
	return float64(cached) / float64(max(prompt, 1))
}

// inTime returns the part of the requests of a priority from an instant on that completed within
// their deadline, and how many were refused.
func (p *replay) withinDeadline(from, to time.Duration, priority sagewire.Priority) (fraction float64, refused int) {
	total, inTime := 0, 0
	for i := range p.trace {
		q, res := &p.trace[i], &p.results[i]
		if q.at < from || q.at >= to || q.priority != priority {
			continue
		}
		total++
		switch {
		case !res.done:
			refused++
		case res.endedAt <= q.deadline:
			inTime++
		}
	}
	return float64(inTime) / float64(max(total, 1)), refused
}

// refused returns the part of the requests from an instant on that were refused.
func (p *replay) refusedShare(from time.Duration) float64 {
	total, refused := 0, 0
	for i := range p.trace {
		if p.trace[i].at >= from {
			total++
			if !p.results[i].done {
				refused++
			}
		}
	}
	return float64(refused) / float64(max(total, 1))
}
