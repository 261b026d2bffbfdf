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

// Result is what came of a replay.
type Result struct {
	Trace string `json:"trace"`
	sageworkload.Tally
	CacheReuse float64 `json:"cache_reuse"`
	// Mismatches lists what differs from the stated outcomes.
	Mismatches []string `json:"mismatches"`
}

// Replay plays a trace on a system in this process and compares the outcomes.
func Replay(ctx context.Context, t *Trace) (Result, error) {
	e := &sagefleet.Embedded{Layout: sagefleet.NewLayout(t.Layout.Routers, t.Layout.Engines, t.Layout.DataCentres)}
	if err := e.Start(ctx); err != nil {
		return Result{}, fmt.Errorf("replay %s: %w", t.Name, err)
	}
	p := newPlayer(t, e.Layout, e)
	err := p.play(ctx)
	res := p.result(e.Executions())
	if serr := e.Stop(); err == nil {
		err = serr
	}
	if err != nil {
		return res, fmt.Errorf("replay %s: %w", t.Name, err)
	}
	return res, nil
}

// result compares the ends of all requests with the stated outcomes.
func (p *player) result(executions map[string]int) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Result{Trace: p.trace.Name, Mismatches: []string{}}
	for _, e := range p.trace.Events {
		if e.Request == nil {
			continue
		}
		end := p.ends[e.Request.ID]
		r.Tally.Add(end)
		if m := mismatch(e.Request, &end); m != "" {
			r.Mismatches = append(r.Mismatches, m)
		}
		if dc := p.forbidden(&e, &end); dc != "" {
			r.Mismatches = append(r.Mismatches, fmt.Sprintf("%s: served by %s in %s, which was out", e.Request.ID, end.Upstream, dc))
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

// forbidden returns the data centre that served a request although it must not have, or "". A request
// counts if it was sent and answered within the span: one that waits for an earlier one of its chat is
// sent later than its event, and may then be served rightly after the span.
func (p *player) forbidden(e *Event, end *sagecaller.Result) string {
	sent, ended := p.sent[e.Request.ID].Sub(p.start), end.EndedAt.Sub(p.start)
	for _, u := range p.layout.Upstreams {
		for _, n := range p.trace.Expect.OutOfService {
			if u.Name == end.Upstream && u.DataCentre == n.DataCentre && sent >= millis(n.FromMillis) && ended < millis(n.ToMillis) {
				return u.DataCentre
			}
		}
	}
	return ""
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// mismatch says how the end of a request differs from what its trace states.
func mismatch(r *Request, e *sagecaller.Result) string {
	switch {
	case e.Err != nil:
		return fmt.Sprintf("%s: no outcome: %v", r.ID, e.Err)
	case e.Mismatch != "":
		return fmt.Sprintf("%s: wrong answer: %s", r.ID, e.Mismatch)
	case !slices.Contains(r.Outcomes, e.Outcome):
		return fmt.Sprintf("%s: %s, want %v (%v)", r.ID, e.Outcome, r.Outcomes, e.Refusal)
	case e.Outcome == sagewire.NotRun && e.Refusal != nil && e.Refusal.Reason != sagewire.ReasonNoRoute && e.Refusal.RetryAt.IsZero():
		return fmt.Sprintf("%s: refused without a time to come back: %v", r.ID, e.Refusal)
	}
	return ""
}
