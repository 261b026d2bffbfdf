package sagematrix

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// unclaimed grants every claim.
type unclaimed struct{ sageentry.Claims }

func (unclaimed) Claim(context.Context, *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	return &sageentry.Claim{}, nil, nil
}

// impatient runs a request whose claim was refused because the store is down.
type impatient struct{ sageentry.Claims }

func (c impatient) Claim(ctx context.Context, r *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	cl, ans, ref := c.Claims.Claim(ctx, r)
	if ref != nil && ref.Reason == sagewire.ReasonStoreUnavailable {
		return &sageentry.Claim{}, nil, nil
	}
	return cl, ans, ref
}

// forgetful takes an unknown outcome for "not run" when it records it.
type forgetful struct{ sageentry.Claims }

func (c forgetful) Finish(ctx context.Context, cl *sageentry.Claim, res *sagedispatch.Result) {
	out := *res
	if out.Outcome == sagewire.Unknown {
		out.Outcome = sagewire.NotRun
	}
	c.Claims.Finish(ctx, cl, &out)
}

// silent records no end, as if a finished request's answer weren't kept and a refused claim's key
// weren't released.
type silent struct{ sageentry.Claims }

func (silent) Finish(context.Context, *sageentry.Claim, *sagedispatch.Result) {}

// anyVersion makes conditional updates unconditional.
type anyVersion struct{ sageobject.Store }

func (s anyVersion) Put(ctx context.Context, key string, value []byte, _ int64) (int64, error) {
	return s.Store.Put(ctx, key, value, sageobject.AnyVersion)
}

// lostIsFailed takes a lost answer for a write that had no effect.
type lostIsFailed struct{ sageobject.Store }

func (s lostIsFailed) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	v, err := s.Store.Put(ctx, key, value, want)
	if errors.Is(err, sageobject.ErrUnknown) {
		return 0, sageobject.ErrUnavailable
	}
	return v, err
}

// again sends a request once more when its outcome is unknown.
type again struct{ sageentry.Dispatch }

func (d again) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := d.Dispatch.Do(ctx, w, a)
	if res.Outcome == sagewire.Unknown && !res.ResponseStarted {
		return d.Dispatch.Do(ctx, w, a)
	}
	return res
}

// falseNotRun tells an unknown outcome as "not run".
type falseNotRun struct{ sageentry.Dispatch }

func (d falseNotRun) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := d.Dispatch.Do(ctx, w, a)
	if res.Outcome == sagewire.Unknown {
		res.Outcome = sagewire.NotRun
	}
	return res
}

// naive passes on whatever comes: it looks at neither ids nor lengths.
type naive struct{ d *sagedispatch.Dispatcher }

func (n naive) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.d.Dial(ctx, network, addr)
	}}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, strings.NewReader(string(a.Body)))
	if err != nil {
		return sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonInternal}
	}
	req.Header = a.Header.Clone()
	req.Header.Set(sagewire.HeaderRequestID, a.RequestID)
	res, err := tr.RoundTrip(req)
	if err != nil {
		return sagedispatch.Result{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost}
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	w.Header().Set(sagewire.HeaderOutcome, string(sagewire.Complete))
	_, _ = w.Write(body)
	return sagedispatch.Result{Outcome: sagewire.Complete, ResponseStarted: true, Status: res.StatusCode}
}

// TestGuardsAreNeeded switches off one guard after another and names a cell that fails without it.
func TestGuardsAreNeeded(t *testing.T) {
	claims := func(f func(sageentry.Claims) sageentry.Claims) mutant { return mutant{claims: f} }
	store := func(f func(sageobject.Store) sageobject.Store) mutant { return mutant{store: f} }
	dispatch := func(f func(sageentry.Dispatch) sageentry.Dispatch) mutant { return mutant{dispatch: f} }
	blind := dispatch(func(d sageentry.Dispatch) sageentry.Dispatch {
		real, _ := d.(*sagedispatch.Dispatcher)
		return naive{real}
	})
	for _, tt := range []struct {
		guard  string
		m      mutant
		at     step
		faults []string
		want   string
	}{
		{"a claim before each run", claims(func(c sageentry.Claims) sageentry.Claims { return unclaimed{c} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"a claim before each run, duplicate", claims(func(c sageentry.Claims) sageentry.Claims { return unclaimed{c} }), stepHeaders, []string{"duplicate"}, "executed 2 times"},
		{"no run without the store", claims(func(c sageentry.Claims) sageentry.Claims { return impatient{c} }), stepFirstByte, []string{"store_outage_before_effect", "upstream_crash_after_effect"}, "executed 2 times"},
		{"unknown is not released", claims(func(c sageentry.Claims) sageentry.Claims { return forgetful{c} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"conditional updates", store(func(s sageobject.Store) sageobject.Store { return anyVersion{s} }), stepClaimCommit, []string{"cut_peer", "duplicate"}, "executed 2 times"},
		{"no second attempt after unknown", dispatch(func(d sageentry.Dispatch) sageentry.Dispatch { return again{d} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"unknown is not told as not run", dispatch(func(d sageentry.Dispatch) sageentry.Dispatch { return falseNotRun{d} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"the answer's id is checked", blind, stepFirstByte, []string{"crossed_answer"}, "of another answer"},
		{"the answer's length is checked", blind, stepMidStream, []string{"upstream_crash_after_effect"}, "of another answer"},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			with := run(t, tt.at, tt.faults, mutant{})
			assert.Empty(t, with.bad, "%s with the guard", with.name())
			without := run(t, tt.at, tt.faults, tt.m)
			assert.Contains(t, strings.Join(without.bad, "; "), tt.want, "%s without the guard: executions %d, told %s", without.name(), without.executions, without.words())
		})
	}
}

// Two guards keep a booking from being refused for nothing rather than from running twice.
func TestGuardsAgainstLostBookings(t *testing.T) {
	for _, tt := range []struct {
		guard  string
		m      mutant
		at     step
		faults []string
	}{
		{"a lost answer is read back", mutant{store: func(s sageobject.Store) sageobject.Store { return lostIsFailed{s} }}, stepClaimCommit, []string{"cut_peer", "lost_answer"}},
		{"what didn't run is released", mutant{claims: func(c sageentry.Claims) sageentry.Claims { return silent{c} }}, stepDispatch, []string{"cut_upstream"}},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			with := run(t, tt.at, tt.faults, mutant{})
			assert.Equal(t, 1, with.executions, "%s with the guard, told %s", with.name(), with.words())
			without := run(t, tt.at, tt.faults, tt.m)
			assert.Zero(t, without.executions, "%s without the guard, told %s", without.name(), without.words())
		})
	}
}
