package sageclaims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Limits of the service.
const (
	// retryLater is when a caller may come back after a failure without a better estimate.
	retryLater = time.Second
	// pollFirst and pollMost bound the pauses between two looks at a claim in flight.
	pollFirst = 50 * time.Millisecond
	pollMost  = time.Second
)

// Service claims keys. Its exported fields are set before first use.
type Service struct {
	Rules     sageclaim.Rules
	Committer *sageclaim.Committer
	// Store holds the list of unsettled requests; it is the committer's.
	Store sageobject.Store
	// Self is this node's own address for other nodes.
	Self string
	// Peers returns the addresses of the other live nodes.
	Peers func() []string
	// Dial returns the client for a node.
	Dial func(addr string) claim.Claims
	// HeldBytes bounds the answers held for repeats.
	MaxAnswerBytes int
	// SettleAfter is how long after its bucket a claim object is searched for unsettled requests; it
	// exceeds the latest deadline that callers may set.
	SweepAfter time.Duration
	Log        sagelog.Logger
	Metrics    *metrics.Set

	once     sync.Once
	held     held
	failed   failures
	backlog  backlog
	outcomes map[string]*metrics.Counter
}

func (s *Service) init() {
	s.once.Do(func() {
		s.held.limit = s.MaxAnswerBytes
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		s.register()
	})
}

// handle is what a claim keeps for its finish.
type handle struct {
	object string
	entry  sageclaim.Entry
}

// Claim implements [sageentry.Claims].
func (s *Service) Claim(ctx context.Context, r *sageentry.Request) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	s.init()
	now := time.Now()
	key, err := sageclaim.ParseKey(r.IdempotencyKey)
	if err != nil {
		return nil, nil, sagewire.Refuse(sagewire.ReasonBadRequest, err.Error(), time.Time{})
	}
	if ref := s.checkAge(key, now); ref != nil {
		return nil, nil, ref
	}
	h := &handle{object: s.Rules.ObjectKey(r.Account, key), entry: sageclaim.Entry{
		Op: sageclaim.OpClaim, Account: r.Account, Key: key.Text, ClaimID: r.ID,
		Fingerprint: sageclaim.Fingerprint(r.Method, r.Path, r.Body), Deadline: r.Deadline.UTC(),
	}}
	return s.claim(ctx, h)
}

func (s *Service) checkAge(key sageclaim.Key, now time.Time) *sagewire.Refusal {
	err := s.Rules.Check(key, now)
	switch {
	case errors.Is(err, sageclaim.ErrKeyExpired):
		return sagewire.Refuse(sagewire.ReasonKeyExpired, err.Error()+"; this sending was not run, whether an earlier one ran is no longer known", time.Time{})
	case err != nil:
		return sagewire.Refuse(sagewire.ReasonBadRequest, err.Error(), time.Time{})
	}
	return nil
}

// claim commits the claim, and waits while another one of the same key is in flight.
func (s *Service) claim(ctx context.Context, h *handle) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	for pause, fresh := pollFirst, false; ; pause = min(2*pause, pollMost) {
		rec, ans, err := s.commit(ctx, h.object, h.entry, nil, fresh)
		if err == nil && rec.ClaimID != h.entry.ClaimID && !fresh {
			// Memory may lag behind the store: what it says of another claim is not told to callers.
			fresh = true
			rec, ans, err = s.commit(ctx, h.object, h.entry, nil, fresh)
		}
		if err != nil {
			return nil, s.heldAnswer(ans), s.refuse(h, err)
		}
		now := time.Now()
		if rec.ClaimID == h.entry.ClaimID {
			return s.granted(h, &rec, now)
		}
		if ref := s.judge(h, &rec, now); ref != nil {
			return nil, s.heldAnswer(ans), ref
		}
		if !wait(ctx, pause) {
			return nil, nil, s.count(already(sagewire.ReasonKeyInUse, "a request with this key is in flight", &rec, rec.Deadline))
		}
	}
}

// granted returns the claim unless its time is over.
//
// It guards against a router that was paused between the claim and here: its caller has left or
// been told something else, so the request must not go out any more.
func (s *Service) granted(h *handle, rec *sageclaim.Record, now time.Time) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	if rec.State != sageclaim.StateClaimed || now.After(h.entry.Deadline) {
		s.release(h)
		return nil, nil, s.count(sagewire.Refuse(sagewire.ReasonDeadline, "the deadline passed before the claim", time.Time{}))
	}
	s.outcomes["granted"].Inc()
	return &sageentry.Claim{ID: h.entry.ClaimID, IdempotencyKey: h.entry.Key, Token: h}, nil, nil
}

// judge says why another claim's record refuses this one; nil means that it is in flight.
func (s *Service) judge(h *handle, rec *sageclaim.Record, now time.Time) *sagewire.Refusal {
	switch {
	case rec.Fingerprint != h.entry.Fingerprint:
		return s.count(sagewire.Refuse(sagewire.ReasonBadRequest, "the key was used for another request; this one was not run", time.Time{}))
	case rec.State == sageclaim.StateFinished && rec.Outcome == sagewire.Complete:
		return s.count(already(sagewire.ReasonKeyInUse, fmt.Sprintf("it ran and was answered with status %d", rec.Status), rec, time.Time{}))
	case rec.Unresolved(now):
		return s.count(already(sagewire.ReasonAnswerLost, "it may have run; its outcome is unknown and listed for the operators", rec, time.Time{}))
	}
	return nil
}

func already(reason sagewire.Reason, detail string, rec *sageclaim.Record, retryAt time.Time) *sagewire.Refusal {
	return &sagewire.Refusal{Outcome: sagewire.AlreadyRun, Reason: reason, Detail: detail, Status: string(rec.State), RetryAt: retryAt}
}

// refuse maps an error of a commit. Nothing was sent for the claim, so "not run" is true of this
// sending; what this node knows of an earlier one goes first.
func (s *Service) refuse(h *handle, err error) *sagewire.Refusal {
	if errors.Is(err, sageclaim.ErrOutcomeUnknown) {
		s.release(h)
	}
	now := time.Now()
	if rec, ok := s.Committer.CachedRecord(h.object, h.entry.Account, h.entry.Key); ok && rec.State != sageclaim.StateReleased && rec.ClaimID != h.entry.ClaimID {
		if ref := s.judge(h, &rec, now); ref != nil {
			return ref
		}
		return s.count(already(sagewire.ReasonKeyInUse, "a request with this key was in flight when the store was last seen", &rec, now.Add(retryLater)))
	}
	if errors.Is(err, sageclaim.ErrClaimNotTaken) {
		return s.count(sagewire.Refuse(sagewire.ReasonOverloaded, "too many keys of that instant", now.Add(retryLater)))
	}
	if errors.Is(err, sageclaim.ErrDeadlinePassed) {
		return s.count(sagewire.Refuse(sagewire.ReasonDeadline, "the deadline passed before the claim", time.Time{}))
	}
	s.Log.Warn("Can't claim.", "err", err)
	detail := "this sending was not run; whether an earlier one with the same key ran can't be told now, send again with the same key"
	return s.count(sagewire.Refuse(sagewire.ReasonStoreUnavailable, detail, now.Add(retryLater)))
}

// Finish implements [sageentry.Claims]. It does not wait for the store, but for one thing: a request
// that did not run is released before its caller hears so and comes again.
func (s *Service) Finish(ctx context.Context, c *sageentry.Claim, res *sagedispatch.Result) {
	h, ok := c.Token.(*handle)
	if !ok {
		return
	}
	j := job{object: h.object, entry: sageclaim.Entry{Account: h.entry.Account, Key: h.entry.Key, ClaimID: h.entry.ClaimID}}
	switch res.Outcome {
	case sagewire.NotRun:
		j.entry.Op = sageclaim.OpRelease
		if s.try(ctx, j) {
			return
		}
	case sagewire.Complete:
		j.entry.Op, j.entry.Outcome, j.entry.Status = sageclaim.OpFinish, sagewire.Complete, res.Status
		j.answer = encodeAnswer(res.Response)
	default:
		j.entry.Op, j.entry.Outcome = sageclaim.OpFinish, sagewire.Unknown
	}
	s.push(j, h.entry.Deadline)
}

// release frees a claim that was refused, as soon as the store allows.
func (s *Service) release(h *handle) {
	e := sageclaim.Entry{Op: sageclaim.OpRelease, Account: h.entry.Account, Key: h.entry.Key, ClaimID: h.entry.ClaimID}
	s.push(job{object: h.object, entry: e}, h.entry.Deadline)
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
