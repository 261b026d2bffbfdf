package sageclaims

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
)

const (
	// ownerTimeout bounds one call to an owner.
	ownerTimeout = 500 * time.Millisecond
	// ownerRetryDelay is how long an owner is not called after a failed call.
	ownerRetryDelay = 2 * time.Second
)

// errorNames are the names under which the errors of a commit are sent between nodes.
var errorNames = map[string]error{
	"store": sageclaim.ErrStoreUnavailable, "unsettled": sageclaim.ErrOutcomeUnknown, "full": sageclaim.ErrClaimNotTaken,
	"late": sageclaim.ErrDeadlinePassed, "no_claim": sageclaim.ErrNoClaim,
}

func errorName(err error) string {
	for name, e := range errorNames {
		if errors.Is(err, e) {
			return name
		}
	}
	return "unsettled"
}

// ownerFailures records the owners whose last call failed.
type ownerFailures struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (f *ownerFailures) record(addr string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[string]time.Time)
	}
	for a, t := range f.until {
		if now.After(t) {
			delete(f.until, a)
		}
	}
	f.until[addr] = now.Add(ownerRetryDelay)
}

func (f *ownerFailures) failedRecently(addr string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until[addr])
}

// owner returns the node that batches the entries of an object: the live node with the greatest hash of address
// and object.
func (s *Service) owner(object string) string {
	bestAddr, bestWeight := s.Self, weight(s.Self, object)
	for _, addr := range s.Peers() {
		if w := weight(addr, object); w > bestWeight || (w == bestWeight && addr < bestAddr) {
			bestAddr, bestWeight = addr, w
		}
	}
	return bestAddr
}

func weight(addr, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(addr)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}

// commit commits an entry through the object's owner, or on this node if the owner can't do it. With bypassCache
// the object is read from the store first. It returns the record of the entry's key, and the answer if one is
// cached.
//
// A slow owner and this node may both commit the entry. Both use the same claim id, and committing the same entry
// again has no effect.
func (s *Service) commit(ctx context.Context, object string, e sageclaim.Entry, answer []byte, bypassCache bool) (sageclaim.Record, []byte, error) {
	addr := s.owner(object)
	if addr != s.Self && !s.failedOwners.failedRecently(addr, time.Now()) {
		rec, ans, err := s.callOwner(ctx, addr, object, e, answer, bypassCache)
		if err == nil || errors.Is(err, sageclaim.ErrClaimNotTaken) || errors.Is(err, sageclaim.ErrDeadlinePassed) || errors.Is(err, sageclaim.ErrNoClaim) {
			return rec, ans, err
		}
		s.failedOwners.record(addr, time.Now())
		// The owner may have committed entries that this node's cache doesn't have.
		bypassCache = true
	}
	return s.commitLocal(ctx, object, e, answer, bypassCache)
}

func (s *Service) commitLocal(ctx context.Context, object string, e sageclaim.Entry, answer []byte, bypassCache bool) (sageclaim.Record, []byte, error) {
	if bypassCache {
		s.Committer.Invalidate(object)
	}
	rec, err := s.Committer.Commit(ctx, object, e)
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("%s: %w", e.Op, err)
	}
	if rec.State != sageclaim.StateFinished {
		return rec, nil, nil
	}
	if answer != nil && rec.ClaimID == e.ClaimID {
		s.answers.put(rec.ClaimID, answer)
	}
	return rec, s.answers.get(rec.ClaimID), nil
}

func (s *Service) callOwner(ctx context.Context, addr, object string, e sageclaim.Entry, answer []byte, bypassCache bool) (sageclaim.Record, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	b, err := json.Marshal(&e)
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("encode entry: %w", err)
	}
	res, err := s.Dial(addr).Commit(ctx, &claim.CommitRequest{Object: object, Entry: b, Answer: answer, Fresh: bypassCache})
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("call owner %s: %v: %w", addr, err, sageclaim.ErrOutcomeUnknown)
	}
	if res.GetError() != "" {
		cause, ok := errorNames[res.GetError()]
		if !ok {
			cause = sageclaim.ErrOutcomeUnknown
		}
		return sageclaim.Record{}, nil, fmt.Errorf("owner %s: %w", addr, cause)
	}
	rec, err := sageclaim.DecodeRecord(res.GetRecord())
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("owner %s: %v: %w", addr, err, sageclaim.ErrOutcomeUnknown)
	}
	if rec.Account != e.Account || rec.Key != e.Key {
		return sageclaim.Record{}, nil, fmt.Errorf("owner %s answered for key %q: %w", addr, rec.Key, sageclaim.ErrOutcomeUnknown)
	}
	return rec, res.GetAnswer(), nil
}

// Commit implements [claim.Claims]: it commits an entry for another node.
func (s *Service) Commit(ctx context.Context, r *claim.CommitRequest) (*claim.CommitResponse, error) {
	s.init()
	e, err := sageclaim.DecodeEntry(r.GetEntry())
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	key, err := sageclaim.ParseKey(e.Key)
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	// A node with different rules would claim the same key in another object.
	if s.Rules.ObjectKey(e.Account, key) != r.GetObject() {
		return nil, fmt.Errorf("commit to %q: %w", r.GetObject(), sageclaim.ErrInvalidEntry)
	}
	rec, ans, err := s.commitLocal(ctx, r.GetObject(), e, r.GetAnswer(), r.GetFresh())
	if err != nil {
		return &claim.CommitResponse{Error: errorName(err)}, nil
	}
	b, err := json.Marshal(&rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return &claim.CommitResponse{Record: b, Answer: ans}, nil
}
