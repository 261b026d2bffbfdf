package sagetrace

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sagestand.example/sagestand/internal/sagecaller"
	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sageworkload"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Result is the result of a replay.
type Result struct {
	Trace string `json:"trace"`
	sageworkload.Tally
	CacheReuse float64 `json:"cache_reuse"`
	// Mismatches lists the differences from the expected outcomes.
	Mismatches []string `json:"mismatches"`
}

// Replay plays a trace on a system in this process and compares the outcomes with the expected ones.
func Replay(ctx context.Context, t *Trace) (Result, error) {
	e := &sagefleet.Embedded{Layout: sagefleet.NewLayout(t.Layout.Routers, t.Layout.Engines, t.Layout.DataCentres)}
	if err := e.Start(ctx); err != nil {
		return Result{}, fmt.Errorf("replay %s: %w", t.Name, err)
	}
	p := newPlayer(t, e.Layout, e)
	err := p.play(ctx)
	res := p.compare(e.Executions())
	if serr := e.Stop(); err == nil {
		err = serr
	}
	if err != nil {
		return res, fmt.Errorf("replay %s: %w", t.Name, err)
	}
	return res, nil
}

// compare compares the results of all requests with the expectations of the trace.
func (p *player) compare(executions map[string]int) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Result{Trace: p.trace.Name, Mismatches: []string{}}
	for _, e := range p.trace.Events {
		if e.Request == nil {
			continue
		}
		result := p.results[e.Request.ID]
		r.Tally.Add(result)
		if m := mismatch(e.Request, &result); m != "" {
			r.Mismatches = append(r.Mismatches, m)
		}
		if dc := p.outOfServiceDataCentre(&e, &result); dc != "" {
			r.Mismatches = append(r.Mismatches, fmt.Sprintf("%s: served by %s in %s, which was out of service", e.Request.ID, result.Upstream, dc))
		}
	}
	for name, key := range p.keys {
		n := executions[key]
		want, ok := p.trace.Expect.Executions[name]
		if (ok && !slices.Contains(want, n)) || n > 1 {
			r.Mismatches = append(r.Mismatches, fmt.Sprintf("key %s ran %d times, want %v", name, n, want))
		}
	}
	r.CacheReuse = r.Tally.CacheReuse()
	if r.CacheReuse < p.trace.Expect.MinCacheReuse {
		r.Mismatches = append(r.Mismatches, fmt.Sprintf("cache reuse %.3f, want at least %.3f", r.CacheReuse, p.trace.Expect.MinCacheReuse))
	}
	slices.Sort(r.Mismatches)
	return r
}

// outOfServiceDataCentre returns the data centre that served a request while it was out of service, or "" if
// there is none. A request counts only if it was both sent and answered within the span: a request that waits
// for an earlier one of its chat is sent later than its event, and may correctly be served after the span.
func (p *player) outOfServiceDataCentre(e *Event, result *sagecaller.Result) string {
	sent, ended := p.sentAt[e.Request.ID].Sub(p.start), result.EndedAt.Sub(p.start)
	for _, u := range p.layout.Upstreams {
		for _, n := range p.trace.Expect.OutOfService {
			if u.Name == result.Upstream && u.DataCentre == n.DataCentre && sent >= fromMillis(n.FromMillis) && ended < fromMillis(n.ToMillis) {
				return u.DataCentre
			}
		}
	}
	return ""
}

func fromMillis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// mismatch describes how the result of a request differs from the expected outcomes. It returns "" if they
// agree.
func mismatch(r *Request, result *sagecaller.Result) string {
	switch {
	case result.Err != nil:
		return fmt.Sprintf("%s: no outcome: %v", r.ID, result.Err)
	case result.Mismatch != "":
		return fmt.Sprintf("%s: wrong answer: %s", r.ID, result.Mismatch)
	case !slices.Contains(r.Outcomes, result.Outcome):
		return fmt.Sprintf("%s: %s, want %v (%v)", r.ID, result.Outcome, r.Outcomes, result.Refusal)
	case result.Outcome == sagewire.NotRun && result.Refusal != nil && result.Refusal.Reason != sagewire.ReasonNoRoute && result.Refusal.RetryAt.IsZero():
		return fmt.Sprintf("%s: refused without a retry time: %v", r.ID, result.Refusal)
	}
	return ""
}
