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
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

const (
	// refusalRetryDelay is the delay for retry_at in refusals for which no better estimate exists.
	refusalRetryDelay = time.Second
	// initialPollInterval and maxPollInterval bound the interval between reads of a claim in flight, which doubles.
	initialPollInterval = 50 * time.Millisecond
	maxPollInterval     = time.Second
)

// Service claims idempotency keys. Its exported fields are set before first use.
type Service struct {
	Rules     sageclaim.Rules
	Committer *sageclaim.Committer
	// Store holds the list of unknown outcomes; it is the committer's store.
	Store sageobject.Store
	// Self is the address at which other nodes call this node.
	Self string
	// Peers returns the addresses of the other live nodes.
	Peers func() []string
	// Dial returns a client for calls to another node.
	Dial func(addr string) claim.Claims
	// MaxAnswerBytes is the maximum size of the answer cache, from which repeated requests are answered.
	MaxAnswerBytes int
	// SweepAfter is how long after the start of its bucket a claim object is searched for unresolved requests;
	// it is longer than the latest deadline that callers may set.
	SweepAfter time.Duration
	Log        sagelog.Logger
	Metrics    *metrics.Set

	once         sync.Once
	answers      answerCache
	failedOwners ownerFailures
	backlog      backlog
	outcomes     map[string]*metrics.Counter
}

func (s *Service) init() {
	s.once.Do(func() {
		s.answers.maxBytes = s.MaxAnswerBytes
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		s.registerMetrics()
	})
}

// claimHandle is the state that Finish needs of a claim.
type claimHandle struct {
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
	if ref := s.checkKeyAge(key, now); ref != nil {
		return nil, nil, ref
	}
	h := &claimHandle{object: s.Rules.ObjectKey(r.Account, key), entry: sageclaim.Entry{
		Op: sageclaim.OpClaim, Account: r.Account, Key: key.Text, ClaimID: r.ID,
		Fingerprint: sageclaim.Fingerprint(r.Method, r.Path, r.Body), Deadline: r.Deadline.UTC(),
	}}
	return s.commitClaim(ctx, h)
}

func (s *Service) checkKeyAge(key sageclaim.Key, now time.Time) *sagewire.Refusal {
	err := s.Rules.Check(key, now)
	switch {
	case errors.Is(err, sageclaim.ErrKeyExpired):
		return sagewire.Refuse(sagewire.ReasonKeyExpired, err.Error()+"; this sending was not run, whether an earlier one ran is no longer known", time.Time{})
	case err != nil:
		return sagewire.Refuse(sagewire.ReasonBadRequest, err.Error(), time.Time{})
	}
	return nil
}

// commitClaim commits the claim; while another claim of the same key is in flight, it waits and tries again.
func (s *Service) commitClaim(ctx context.Context, h *claimHandle) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	for interval, bypassCache := initialPollInterval, false; ; interval = min(2*interval, maxPollInterval) {
		rec, ans, err := s.commit(ctx, h.object, h.entry, nil, bypassCache)
		if err == nil && rec.ClaimID != h.entry.ClaimID && !bypassCache {
			// The cache may be older than the store, so its record of another claim is read again before
			// it decides the response.
			bypassCache = true
			rec, ans, err = s.commit(ctx, h.object, h.entry, nil, bypassCache)
		}
		if err != nil {
			return nil, s.decodeCachedAnswer(ans), s.refuseError(h, err)
		}
		now := time.Now()
		if rec.ClaimID == h.entry.ClaimID {
			return s.confirmGrant(h, &rec, now)
		}
		if ref := s.refusalFor(h, &rec, now); ref != nil {
			return nil, s.decodeCachedAnswer(ans), ref
		}
		if !sageclock.Sleep(ctx, interval) {
			return nil, nil, s.countRefusal(alreadyRun(sagewire.ReasonKeyInUse, "a request with this key is in flight", &rec, rec.Deadline))
		}
	}
}

// confirmGrant returns the claim unless its deadline has passed or it is no longer in the state claimed.
//
// If this router was paused after the commit, its caller may have left or have got another response, so the
// request must not be sent any more.
func (s *Service) confirmGrant(h *claimHandle, rec *sageclaim.Record, now time.Time) (*sageentry.Claim, *sagedispatch.BufferedResponse, *sagewire.Refusal) {
	if rec.State != sageclaim.StateClaimed || now.After(h.entry.Deadline) {
		s.releaseClaim(h)
		return nil, nil, s.countRefusal(sagewire.Refuse(sagewire.ReasonDeadline, "the deadline passed before the claim", time.Time{}))
	}
	s.outcomes["granted"].Inc()
	return &sageentry.Claim{ID: h.entry.ClaimID, IdempotencyKey: h.entry.Key, Token: h}, nil, nil
}

// refusalFor returns the refusal that follows from the record of another claim of the key, or nil if that claim is
// in flight.
func (s *Service) refusalFor(h *claimHandle, rec *sageclaim.Record, now time.Time) *sagewire.Refusal {
	switch {
	case rec.Fingerprint != h.entry.Fingerprint:
		return s.countRefusal(sagewire.Refuse(sagewire.ReasonBadRequest, "the key was used for another request; this one was not run", time.Time{}))
	case rec.State == sageclaim.StateFinished && rec.Outcome == sagewire.Complete:
		return s.countRefusal(alreadyRun(sagewire.ReasonKeyInUse, fmt.Sprintf("it ran and was answered with status %d", rec.Status), rec, time.Time{}))
	case rec.Unresolved(now):
		return s.countRefusal(alreadyRun(sagewire.ReasonAnswerLost, "it may have run; its outcome is unknown and listed for the operators", rec, time.Time{}))
	}
	return nil
}

func alreadyRun(reason sagewire.Reason, detail string, rec *sageclaim.Record, retryAt time.Time) *sagewire.Refusal {
	return &sagewire.Refusal{Outcome: sagewire.AlreadyRun, Reason: reason, Detail: detail, Status: string(rec.State), RetryAt: retryAt}
}

// refuseError returns the refusal for a failed commit. Nothing was sent to an upstream, so "not run" is true of
// this attempt; but if the cache has a claim of an earlier attempt, the refusal follows from that one.
func (s *Service) refuseError(h *claimHandle, err error) *sagewire.Refusal {
	if errors.Is(err, sageclaim.ErrOutcomeUnknown) {
		s.releaseClaim(h)
	}
	now := time.Now()
	if rec, ok := s.Committer.CachedRecord(h.object, h.entry.Account, h.entry.Key); ok && rec.State != sageclaim.StateReleased && rec.ClaimID != h.entry.ClaimID {
		if ref := s.refusalFor(h, &rec, now); ref != nil {
			return ref
		}
		return s.countRefusal(alreadyRun(sagewire.ReasonKeyInUse, "a request with this key was in flight when the store was last seen", &rec, now.Add(refusalRetryDelay)))
	}
	if errors.Is(err, sageclaim.ErrClaimNotTaken) {
		return s.countRefusal(sagewire.Refuse(sagewire.ReasonOverloaded, "too many keys of that instant", now.Add(refusalRetryDelay)))
	}
	if errors.Is(err, sageclaim.ErrDeadlinePassed) {
		return s.countRefusal(sagewire.Refuse(sagewire.ReasonDeadline, "the deadline passed before the claim", time.Time{}))
	}
	s.Log.Warn("Can't claim an idempotency key.", "err", err)
	detail := "this sending was not run; whether an earlier one with the same key ran isn't known now, send again with the same key"
	return s.countRefusal(sagewire.Refuse(sagewire.ReasonStoreUnavailable, detail, now.Add(refusalRetryDelay)))
}

// Finish implements [sageentry.Claims]. It waits for the store only if the request did not run: the claim is then
// released before the caller gets the response and may send the request again.
func (s *Service) Finish(ctx context.Context, c *sageentry.Claim, res *sagedispatch.Result) {
	h, ok := c.Token.(*claimHandle)
	if !ok {
		return
	}
	j := job{object: h.object, entry: sageclaim.Entry{Account: h.entry.Account, Key: h.entry.Key, ClaimID: h.entry.ClaimID}}
	switch res.Outcome {
	case sagewire.NotRun:
		j.entry.Op = sageclaim.OpRelease
		if s.runJob(ctx, j) {
			return
		}
	case sagewire.Complete:
		j.entry.Op, j.entry.Outcome, j.entry.Status = sageclaim.OpFinish, sagewire.Complete, res.Status
		j.answer = encodeAnswer(res.Response)
	default:
		j.entry.Op, j.entry.Outcome = sageclaim.OpFinish, sagewire.Unknown
	}
	s.enqueue(j, h.entry.Deadline)
}

// releaseClaim enqueues the release of a claim whose request was refused.
func (s *Service) releaseClaim(h *claimHandle) {
	e := sageclaim.Entry{Op: sageclaim.OpRelease, Account: h.entry.Account, Key: h.entry.Key, ClaimID: h.entry.ClaimID}
	s.enqueue(job{object: h.object, entry: e}, h.entry.Deadline)
}
