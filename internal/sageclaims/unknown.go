package sageclaims

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// maxSettleBytes bounds the body of a settlement.
const maxSettleBytes = 4 << 10

// Unknown returns the listed requests whose outcome nobody has settled yet.
func (s *Service) UnknownOutcomes(ctx context.Context) ([]sageclaim.Record, error) {
	metas, err := s.Store.List(ctx, unknownPrefix)
	if err != nil {
		return nil, fmt.Errorf("list unknown outcomes: %w", err)
	}
	out := []sageclaim.Record{}
	seen := make(map[string]bool)
	for _, m := range metas {
		o, err := s.Store.Get(ctx, m.Key)
		if err != nil {
			return nil, fmt.Errorf("read unknown outcomes: %w", err)
		}
		list, err := decodeUnknown(o.Value)
		if err != nil {
			return nil, err
		}
		for _, r := range list {
			if seen[r.ClaimID] {
				continue
			}
			seen[r.ClaimID] = true
			open, err := s.open(ctx, &r)
			if err != nil {
				return nil, err
			}
			if open {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// open reports whether a listed request is still unsettled. One whose claim object is gone stays on
// the list: only a person can take it off, by deleting the list object.
func (s *Service) open(ctx context.Context, r *sageclaim.Record) (bool, error) {
	key, err := sageclaim.ParseKey(r.Key)
	if err != nil {
		return true, nil
	}
	o, err := s.Store.Get(ctx, s.Rules.ObjectKey(r.Account, key))
	if errors.Is(err, sageobject.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("read claims: %w", err)
	}
	book, err := sageclaim.DecodeClaimLog(o.Value)
	if err != nil {
		return false, fmt.Errorf("read claims: %w", err)
	}
	now, ok := book.Record(r.Account, r.Key)
	return !ok || (now.ClaimID == r.ClaimID && now.Unresolved(time.Now())), nil
}

// Resolution is an operator's word on a request whose outcome was unknown.
type Resolution struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	ClaimID string `json:"claim_id"`
	// Outcome is complete (it ran) or not_run (it didn't, and the key may be used again).
	Outcome sagewire.Outcome `json:"outcome"`
}

// Settle records a settlement and returns the key's record after it.
func (s *Service) Resolve(ctx context.Context, set *Resolution) (sageclaim.Record, error) {
	s.init()
	key, err := sageclaim.ParseKey(set.Key)
	if err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	e := sageclaim.Entry{Op: sageclaim.OpResolve, Account: set.Account, Key: key.Text, ClaimID: set.ClaimID, Outcome: set.Outcome}
	if err := e.Check(); err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	rec, _, err := s.commit(ctx, s.Rules.ObjectKey(set.Account, key), e, nil, true)
	if err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	return rec, nil
}

// ServeHTTP answers GET with the unsettled requests and POST of a [Resolution] with the record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var set Resolution
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSettleBytes)).Decode(&set); err != nil {
			sageoperator.WriteJSON(w, http.StatusBadRequest, sageoperator.Problem{Problem: "decode settlement: " + err.Error()})
			return
		}
		rec, err := s.Resolve(r.Context(), &set)
		if err == nil && rec.ClaimID != set.ClaimID {
			err = fmt.Errorf("the key now belongs to claim %s: %w", rec.ClaimID, sageclaim.ErrNoClaim)
		}
		reply(w, &rec, err)
		return
	}
	list, err := s.UnknownOutcomes(r.Context())
	reply(w, list, err)
}

func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, sageclaim.ErrInvalidKey), errors.Is(err, sageclaim.ErrInvalidEntry), errors.Is(err, sageclaim.ErrNoClaim):
		sageoperator.WriteJSON(w, http.StatusBadRequest, sageoperator.Problem{Problem: err.Error()})
	case err != nil:
		sageoperator.WriteJSON(w, http.StatusServiceUnavailable, sageoperator.Problem{Problem: err.Error()})
	default:
		sageoperator.WriteJSON(w, http.StatusOK, v)
	}
}
