package sageentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagewire"
)

// defaultRetryDelay is how long a caller should wait before it retries after a failure, if there is no
// better estimate.
const defaultRetryDelay = time.Second

// finishTimeout limits the time for recording an outcome after the response.
const finishTimeout = 2 * time.Second

func (s *Service) chat(w http.ResponseWriter, r *http.Request) {
	req := new(Request)
	if ref := s.decode(w, r, req, func() *sagewire.Refusal { return decodeChat(req) }); ref != nil {
		s.refuse(w, req, ref, 0)
		return
	}
	s.serve(w, r, req)
}

func (s *Service) service(w http.ResponseWriter, r *http.Request) {
	req := new(Request)
	if ref := s.decode(w, r, req, func() *sagewire.Refusal { return s.decodeService(r, req) }); ref != nil {
		s.refuse(w, req, ref, 0)
		return
	}
	s.serve(w, r, req)
}

// decode runs the common decoding and decodeKind, and identifies the account.
func (s *Service) decode(w http.ResponseWriter, r *http.Request, req *Request, decodeKind func() *sagewire.Refusal) *sagewire.Refusal {
	if ref := s.decodeCommon(w, r, req); ref != nil {
		return ref
	}
	if ref := s.Config.Serving(time.Now(), true); ref != nil {
		return ref
	}
	account, ok := s.accounts.find(s.Config.State(), bearer(r.Header))
	if !ok {
		return sagewire.Refuse(sagewire.ReasonUnauthorized, "no client account has this key", time.Time{})
	}
	req.Account = account
	return decodeKind()
}

// decodeService reads the route of a service call.
func (s *Service) decodeService(r *http.Request, req *Request) *sagewire.Refusal {
	req.Route, req.Kind = r.PathValue("route"), sageconfig.RouteService
	req.Path = "/" + r.PathValue("rest")
	if q := r.URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	route, ok := s.Config.State().Route(req.Route)
	if !ok || route.Kind != sageconfig.RouteService {
		return sagewire.Refuse(sagewire.ReasonNoRoute, "no service route "+strconv.Quote(req.Route), time.Time{})
	}
	req.Idempotent = route.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead
	return nil
}

// serve passes a decoded request through admission, claim and attempts.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, req *Request) {
	w.Header().Set(sagewire.HeaderRequestID, req.ID)
	if ref := s.Config.Serving(time.Now(), req.Idempotent); ref != nil {
		s.refuse(w, req, ref, 0)
		return
	}
	if ref := s.leaving(w, req); ref != nil {
		s.refuse(w, req, ref, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	release, ref := s.Admission.Admit(ctx, req)
	if ref != nil {
		s.refuse(w, req, ref, 0)
		return
	}
	defer release()
	if ref := s.leaving(w, req); ref != nil { // it may have waited
		s.refuse(w, req, ref, 0)
		return
	}
	claim, storedResponse, ref := s.claim(ctx, req)
	if ref != nil {
		s.refuseClaim(w, req, storedResponse, ref)
		return
	}
	s.sent.add(req)
	defer s.sent.remove(req)
	complete := false
	defer func() { s.recordDuration(req, complete) }()
	res, pick, attempts := s.runAttempts(ctx, w, req)
	complete = res.Outcome == sagewire.Complete && !res.Abort
	if claim != nil {
		s.finish(ctx, claim, &res)
	}
	s.respond(w, req, &res, pick, attempts)
}

// claim claims the idempotency key of a request that must not run twice.
func (s *Service) claim(ctx context.Context, req *Request) (*Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	if req.Idempotent || req.IdempotencyKey == "" {
		return nil, nil, nil
	}
	return s.Claims.Claim(ctx, req)
}

// finish records the outcome of a claimed request, even if its caller has disconnected.
func (s *Service) finish(ctx context.Context, c *Claim, res *sagedispatch.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	s.Claims.Finish(ctx, c, res)
}

// runAttempts tries upstreams until one has responded, no further attempt is allowed or the caller has
// left.
//
// A second attempt of a request that must run only once could duplicate a booking. It is made only
// after a result that proves that the first attempt did not run.
func (s *Service) runAttempts(ctx context.Context, w http.ResponseWriter, req *Request) (res sagedispatch.Result, pick *Pick, n int) {
	var tried []string
	var lastUnknown *sagedispatch.Result
	s.Retries.RecordFirstAttempt(time.Now())
	for {
		p, ref := s.Placement.Pick(ctx, req, tried)
		if ref != nil {
			return finalResult(resultWithoutPick(res, ref, n), lastUnknown), pick, n
		}
		n++
		pick = p
		if p.PlacementToken != "" {
			w.Header().Set(sagewire.HeaderPlacement, p.PlacementToken)
		}
		w.Header().Set(sagewire.HeaderUpstream, p.Upstream)
		res = s.Dispatch.Do(ctx, w, newAttempt(req, p, n))
		p.Release(&res)
		tried = append(tried, p.Upstream)
		if !s.awaitRetry(ctx, req, &res, tried) {
			return finalResult(res, lastUnknown), pick, n
		}
		if res.Outcome == sagewire.Unknown {
			resCopy := res
			lastUnknown = &resCopy
		}
	}
}

// awaitRetry reports whether another attempt may follow res, after waiting until the instant for it.
func (s *Service) awaitRetry(ctx context.Context, req *Request, res *sagedispatch.Result, tried []string) bool {
	if res.Outcome == sagewire.Complete || res.ResponseStarted || res.CallerGone || ctx.Err() != nil {
		return false
	}
	if res.Outcome != sagewire.NotRun && !req.Idempotent {
		return false
	}
	now := time.Now()
	retryAt, ok := s.Retries.Allow(now, req, tried, res.Outcome == sagewire.NotRun)
	if !ok {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryAt.Sub(now)):
		return s.mayRetry(req)
	}
}

// finalResult returns the result to report after all attempts.
//
// It prevents a false "not run": the last upstream may have refused a request that an earlier one
// accepted without its response arriving. The request may have run, so its outcome is unknown.
func finalResult(last sagedispatch.Result, lastUnknown *sagedispatch.Result) sagedispatch.Result {
	if last.Outcome != sagewire.NotRun || lastUnknown == nil {
		return last
	}
	out := *lastUnknown
	if out.RetryAt.IsZero() {
		out.RetryAt = last.RetryAt
	}
	return out
}

// resultWithoutPick returns the result when no upstream was left to try: that of the last attempt, if
// there was one.
func resultWithoutPick(last sagedispatch.Result, ref *sagewire.Refusal, n int) sagedispatch.Result {
	if n == 0 {
		return sagedispatch.Result{Outcome: ref.Outcome, Reason: ref.Reason, Detail: ref.Detail, RetryAt: ref.RetryAt}
	}
	if last.RetryAt.IsZero() {
		last.RetryAt = ref.RetryAt
	}
	return last
}

// newAttempt returns the n-th attempt of a request, at the picked upstream.
func newAttempt(req *Request, p *Pick, n int) *sagedispatch.Attempt {
	return &sagedispatch.Attempt{
		RequestID:      req.ID + "-" + strconv.Itoa(n),
		Address:        p.Address,
		Method:         req.Method,
		Path:           req.Path,
		Header:         req.Header,
		Body:           req.Body,
		Deadline:       req.Deadline,
		Priority:       req.Priority,
		IdempotencyKey: req.IdempotencyKey,
		AtMostOnce:     !req.Idempotent,
		Stream:         req.Stream,
		Engine:         p.Engine,
	}
}

// respond sends a refusal if no response was started, and records the outcome.
func (s *Service) respond(w http.ResponseWriter, req *Request, res *sagedispatch.Result, pick *Pick, attempts int) {
	if res.Outcome != sagewire.Complete && !res.ResponseStarted {
		ref := res.Refusal(req.ID)
		if ref.Outcome == sagewire.Unknown && !req.Idempotent && req.IdempotencyKey == "" {
			ref.Detail += "; it was sent once and has no " + sagewire.HeaderIdempotencyKey + ", so sending it again may run it twice"
		}
		if attempts > 0 && ref.RetryAt.IsZero() && ref.Outcome == sagewire.NotRun {
			ref.RetryAt = time.Now().Add(defaultRetryDelay)
		}
		s.refuse(w, req, ref, attempts)
		return
	}
	o := newObservation(req, res.Outcome, res.Reason, attempts)
	o.FirstByteAt, o.PromptTokens, o.CachedTokens = res.FirstByteAt, res.PromptTokens, res.CachedTokens
	if pick != nil {
		o.Upstream = pick.Upstream
	}
	s.Recorder.Record(o)
	if res.Abort {
		panic(http.ErrAbortHandler)
	}
}
