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

// maxResolutionBytes is the maximum body size of a [Resolution].
const maxResolutionBytes = 4 << 10

// UnknownOutcomes returns the listed requests whose outcome is still unresolved.
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
			unresolved, err := s.isUnresolved(ctx, &r)
			if err != nil {
				return nil, err
			}
			if unresolved {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// isUnresolved reports whether a listed request is still unresolved. A request whose claim object has been deleted
// stays on the list until an operator deletes the list object.
func (s *Service) isUnresolved(ctx context.Context, r *sageclaim.Record) (bool, error) {
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
	claimLog, err := sageclaim.DecodeClaimLog(o.Value)
	if err != nil {
		return false, fmt.Errorf("read claims: %w", err)
	}
	current, ok := claimLog.Record(r.Account, r.Key)
	return !ok || (current.ClaimID == r.ClaimID && current.Unresolved(time.Now())), nil
}

// Resolution is an operator's decision on a request whose outcome is unknown.
type Resolution struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	ClaimID string `json:"claim_id"`
	// Outcome is complete (it ran) or not_run (it didn't, and the key may be used again).
	Outcome sagewire.Outcome `json:"outcome"`
}

// Resolve records a resolution and returns the updated record of the key.
func (s *Service) Resolve(ctx context.Context, resolution *Resolution) (sageclaim.Record, error) {
	s.init()
	key, err := sageclaim.ParseKey(resolution.Key)
	if err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	e := sageclaim.Entry{Op: sageclaim.OpResolve, Account: resolution.Account, Key: key.Text, ClaimID: resolution.ClaimID, Outcome: resolution.Outcome}
	if err := e.Check(); err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	rec, _, err := s.commit(ctx, s.Rules.ObjectKey(resolution.Account, key), e, nil, true)
	if err != nil {
		return sageclaim.Record{}, fmt.Errorf("settle: %w", err)
	}
	return rec, nil
}

// ServeHTTP responds to GET with the unresolved requests and to POST of a [Resolution] with the key's record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var resolution Resolution
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxResolutionBytes)).Decode(&resolution); err != nil {
			sageoperator.WriteJSON(w, http.StatusBadRequest, sageoperator.Problem{Problem: "decode settlement: " + err.Error()})
			return
		}
		rec, err := s.Resolve(r.Context(), &resolution)
		if err == nil && rec.ClaimID != resolution.ClaimID {
			err = fmt.Errorf("the key now belongs to claim %s: %w", rec.ClaimID, sageclaim.ErrNoClaim)
		}
		writeReply(w, &rec, err)
		return
	}
	list, err := s.UnknownOutcomes(r.Context())
	writeReply(w, list, err)
}

func writeReply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, sageclaim.ErrInvalidKey), errors.Is(err, sageclaim.ErrInvalidEntry), errors.Is(err, sageclaim.ErrNoClaim):
		sageoperator.WriteJSON(w, http.StatusBadRequest, sageoperator.Problem{Problem: err.Error()})
	case err != nil:
		sageoperator.WriteJSON(w, http.StatusServiceUnavailable, sageoperator.Problem{Problem: err.Error()})
	default:
		sageoperator.WriteJSON(w, http.StatusOK, v)
	}
}
