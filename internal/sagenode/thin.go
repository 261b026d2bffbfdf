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

// thinAdmission bounds the requests in flight.
type thinAdmission struct{ slots chan struct{} }

func (a *thinAdmission) Admit(context.Context, *sageentry.Request) (func(), *sagewire.Refusal) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	default:
		return nil, sagewire.Refuse(sagewire.ReasonOverloaded, "too many requests in flight", time.Now().Add(time.Second))
	}
}

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

// thinRetries allows every attempt that finds an upstream not yet tried.
type thinRetries struct{}

func (thinRetries) First(time.Time)              {}
func (thinRetries) Allow(time.Time, string) bool { return true }
