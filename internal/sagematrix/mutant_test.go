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

// grantAllClaims grants every claim.
type grantAllClaims struct{ sageentry.Claims }

func (grantAllClaims) Claim(context.Context, *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	return &sageentry.Claim{}, nil, nil
}

// runWithoutStore runs requests whose claim was refused because the store is unavailable.
type runWithoutStore struct{ sageentry.Claims }

func (c runWithoutStore) Claim(ctx context.Context, r *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	claim, resp, refusal := c.Claims.Claim(ctx, r)
	if refusal != nil && refusal.Reason == sagewire.ReasonStoreUnavailable {
		return &sageentry.Claim{}, nil, nil
	}
	return claim, resp, refusal
}

// recordUnknownAsNotRun records an unknown outcome as "not run".
type recordUnknownAsNotRun struct{ sageentry.Claims }

func (c recordUnknownAsNotRun) Finish(ctx context.Context, claim *sageentry.Claim, res *sagedispatch.Result) {
	out := *res
	if out.Outcome == sagewire.Unknown {
		out.Outcome = sagewire.NotRun
	}
	c.Claims.Finish(ctx, claim, &out)
}

// discardResults records no results: responses of finished requests aren't stored, and the keys of requests
// that didn't run aren't released.
type discardResults struct{ sageentry.Claims }

func (discardResults) Finish(context.Context, *sageentry.Claim, *sagedispatch.Result) {}

// unconditionalPuts writes without checking the expected version.
type unconditionalPuts struct{ sageobject.Store }

func (s unconditionalPuts) Put(ctx context.Context, key string, value []byte, _ int64) (int64, error) {
	return s.Store.Put(ctx, key, value, sageobject.AnyVersion)
}

// lostAnswerAsFailure reports a write whose response was lost as a write without effect.
type lostAnswerAsFailure struct{ sageobject.Store }

func (s lostAnswerAsFailure) Put(ctx context.Context, key string, value []byte, want int64) (int64, error) {
	v, err := s.Store.Put(ctx, key, value, want)
	if errors.Is(err, sageobject.ErrUnknown) {
		return 0, sageobject.ErrUnavailable
	}
	return v, err
}

// resendUnknown sends a request a second time if its outcome is unknown.
type resendUnknown struct{ sageentry.Dispatch }

func (d resendUnknown) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := d.Dispatch.Do(ctx, w, a)
	if res.Outcome == sagewire.Unknown && !res.ResponseStarted {
		return d.Dispatch.Do(ctx, w, a)
	}
	return res
}

// reportUnknownAsNotRun reports an unknown outcome as "not run".
type reportUnknownAsNotRun struct{ sageentry.Dispatch }

func (d reportUnknownAsNotRun) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	res := d.Dispatch.Do(ctx, w, a)
	if res.Outcome == sagewire.Unknown {
		res.Outcome = sagewire.NotRun
	}
	return res
}

// uncheckedDispatch forwards any response without checking its request ID or length.
type uncheckedDispatch struct{ dispatcher *sagedispatch.Dispatcher }

func (n uncheckedDispatch) Do(ctx context.Context, w http.ResponseWriter, a *sagedispatch.Attempt) sagedispatch.Result {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.dispatcher.Dial(ctx, network, addr)
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

// Each guard is needed: for each there is a cell that passes with the guard and fails without it.
func TestGuardsAreNeeded(t *testing.T) {
	claims := func(f func(sageentry.Claims) sageentry.Claims) mutant { return mutant{claims: f} }
	store := func(f func(sageobject.Store) sageobject.Store) mutant { return mutant{store: f} }
	dispatch := func(f func(sageentry.Dispatch) sageentry.Dispatch) mutant { return mutant{dispatch: f} }
	unchecked := dispatch(func(d sageentry.Dispatch) sageentry.Dispatch {
		dispatcher, _ := d.(*sagedispatch.Dispatcher)
		return uncheckedDispatch{dispatcher}
	})
	for _, tt := range []struct {
		guard  string
		mutant mutant
		at     step
		faults []string
		want   string
	}{
		{"a claim before each run", claims(func(c sageentry.Claims) sageentry.Claims { return grantAllClaims{c} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"a claim before each run, duplicate", claims(func(c sageentry.Claims) sageentry.Claims { return grantAllClaims{c} }), stepHeaders, []string{"duplicate"}, "executed 2 times"},
		{"no run without the store", claims(func(c sageentry.Claims) sageentry.Claims { return runWithoutStore{c} }), stepFirstByte, []string{"store_outage_before_effect", "upstream_crash_after_effect"}, "executed 2 times"},
		{"unknown is not released", claims(func(c sageentry.Claims) sageentry.Claims { return recordUnknownAsNotRun{c} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"conditional updates", store(func(s sageobject.Store) sageobject.Store { return unconditionalPuts{s} }), stepClaimCommit, []string{"cut_peer", "duplicate"}, "executed 2 times"},
		{"no second attempt after unknown", dispatch(func(d sageentry.Dispatch) sageentry.Dispatch { return resendUnknown{d} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"unknown is not reported as not run", dispatch(func(d sageentry.Dispatch) sageentry.Dispatch { return reportUnknownAsNotRun{d} }), stepFirstByte, []string{"upstream_crash_after_effect"}, "executed 2 times"},
		{"the response's request id is checked", unchecked, stepFirstByte, []string{"crossed_answer"}, "bytes that differ from the expected body"},
		{"the response's length is checked", unchecked, stepMidStream, []string{"upstream_crash_after_effect"}, "bytes that differ from the expected body"},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			guarded := run(t, tt.at, tt.faults, mutant{})
			assert.Empty(t, guarded.violations, "%s with the guard", guarded.name())
			unguarded := run(t, tt.at, tt.faults, tt.mutant)
			assert.Contains(t, strings.Join(unguarded.violations, "; "), tt.want, "%s without the guard: executions %d, responses %s", unguarded.name(), unguarded.executions, unguarded.summary())
		})
	}
}

// Some guards prevent the needless refusal of a booking rather than a second execution: without them the
// booking never runs.
func TestGuardsAgainstLostBookings(t *testing.T) {
	for _, tt := range []struct {
		guard  string
		mutant mutant
		at     step
		faults []string
	}{
		{"a write with a lost response is read back", mutant{store: func(s sageobject.Store) sageobject.Store { return lostAnswerAsFailure{s} }}, stepClaimCommit, []string{"cut_peer", "lost_answer"}},
		{"the key of a request that didn't run is released", mutant{claims: func(c sageentry.Claims) sageentry.Claims { return discardResults{c} }}, stepDispatch, []string{"cut_upstream"}},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			guarded := run(t, tt.at, tt.faults, mutant{})
			assert.Equal(t, 1, guarded.executions, "%s with the guard, responses %s", guarded.name(), guarded.summary())
			unguarded := run(t, tt.at, tt.faults, tt.mutant)
			assert.Zero(t, unguarded.executions, "%s without the guard, responses %s", unguarded.name(), unguarded.summary())
		})
	}
}
