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

// ownerTimeout bounds one call to an owner; failedFor is how long an owner that failed is passed over.
const (
	ownerTimeout = 500 * time.Millisecond
	failedFor    = 2 * time.Second
)

// errorNames carry the errors of a commit between nodes.
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

// failures remembers owners that didn't answer.
type failures struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (f *failures) note(addr string, now time.Time) {
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
	f.until[addr] = now.Add(failedFor)
}

func (f *failures) has(addr string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until[addr])
}

// owner returns the node that collects the entries of an object: the live node with the greatest
// hash of address and object.
func (s *Service) owner(object string) string {
	best, most := s.Self, weight(s.Self, object)
	for _, addr := range s.Peers() {
		if w := weight(addr, object); w > most || (w == most && addr < best) {
			best, most = addr, w
		}
	}
	return best
}

func weight(addr, object string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(addr)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	return d.Sum64()
}

// commit commits an entry by the object's owner, or by this node when the owner can't do it.
//
// The entry may then be committed twice, by a slow owner and by this node. Both bear the same claim
// id, and the same entry a second time has no effect.
func (s *Service) commit(ctx context.Context, object string, e sageclaim.Entry, answer []byte, fresh bool) (sageclaim.Record, []byte, error) {
	addr := s.owner(object)
	if addr != s.Self && !s.failed.has(addr, time.Now()) {
		rec, ans, err := s.ask(ctx, addr, object, e, answer, fresh)
		if err == nil || errors.Is(err, sageclaim.ErrClaimNotTaken) || errors.Is(err, sageclaim.ErrDeadlinePassed) || errors.Is(err, sageclaim.ErrNoClaim) {
			return rec, ans, err
		}
		s.failed.note(addr, time.Now())
		// The owner may have committed what this node's memory doesn't show.
		fresh = true
	}
	return s.commitHere(ctx, object, e, answer, fresh)
}

func (s *Service) commitHere(ctx context.Context, object string, e sageclaim.Entry, answer []byte, fresh bool) (sageclaim.Record, []byte, error) {
	if fresh {
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
		s.held.put(rec.ClaimID, answer)
	}
	return rec, s.held.get(rec.ClaimID), nil
}

func (s *Service) ask(ctx context.Context, addr, object string, e sageclaim.Entry, answer []byte, fresh bool) (sageclaim.Record, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	b, err := json.Marshal(&e)
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("encode entry: %w", err)
	}
	res, err := s.Dial(addr).Commit(ctx, &claim.CommitRequest{Object: object, Entry: b, Answer: answer, Fresh: fresh})
	if err != nil {
		return sageclaim.Record{}, nil, fmt.Errorf("ask %s: %v: %w", addr, err, sageclaim.ErrOutcomeUnknown)
	}
	if res.GetError() != "" {
		known, ok := errorNames[res.GetError()]
		if !ok {
			known = sageclaim.ErrOutcomeUnknown
		}
		return sageclaim.Record{}, nil, fmt.Errorf("owner %s: %w", addr, known)
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

// Commit implements the call of other nodes.
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
	// Nodes with other rules would claim one key in two objects.
	if s.Rules.ObjectKey(e.Account, key) != r.GetObject() {
		return nil, fmt.Errorf("commit to %q: %w", r.GetObject(), sageclaim.ErrInvalidEntry)
	}
	rec, ans, err := s.commitHere(ctx, r.GetObject(), e, r.GetAnswer(), r.GetFresh())
	if err != nil {
		return &claim.CommitResponse{Error: errorName(err)}, nil
	}
	b, err := json.Marshal(&rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return &claim.CommitResponse{Record: b, Answer: ans}, nil
}
