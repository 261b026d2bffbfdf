package sagenode

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// thinLocator names only this node.
type thinLocator struct {
	Address string
	Valid   time.Duration
	Config  sageentry.Config
}

func (l *thinLocator) Locate(now time.Time, _, _ string) sageentry.Place {
	return sageentry.Place{Addresses: []string{l.Address}, ValidUntil: now.Add(l.Valid), Revision: l.Config.Revision()}
}

func (l *thinLocator) Leave(now time.Time) time.Time { return now.Add(l.Valid) }

// thinClaims writes one object for each claim.
type thinClaims struct{ Store sageobject.Store }

func (c *thinClaims) Claim(ctx context.Context, r *sageentry.Request) (*sageentry.Claim, *sagedispatch.Answer, *sagewire.Refusal) {
	key := fmt.Sprintf("claims/%s/%016x", r.Account, xxhash.Sum64String(r.Key))
	_, err := c.Store.Put(ctx, key, []byte(r.ID), sageobject.NoVersion)
	switch {
	case err == nil:
		return &sageentry.Claim{ID: r.ID, Key: key}, nil, nil
	case errors.Is(err, sageobject.ErrConflict), errors.Is(err, sageobject.ErrUnknown):
		return nil, nil, &sagewire.Refusal{Outcome: sagewire.AlreadyRun, Reason: sagewire.ReasonKeyInUse}
	}
	return nil, nil, sagewire.Refuse(sagewire.ReasonStoreUnavailable, err.Error(), time.Now().Add(time.Second))
}

func (c *thinClaims) Finish(context.Context, *sageentry.Claim, *sagedispatch.Result) {}
