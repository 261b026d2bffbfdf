package sagenode

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sagewire"
)

// headKey is the object that holds the accepted tickets.
const headKey = "config/head"

// pause lies between two tries to reach the store.
const pause = 500 * time.Millisecond

// thinHead is the value of headKey.
type thinHead struct {
	Tickets []*sageconfig.Ticket `json:"tickets"`
}

// thinConfig keeps the configuration by watching one object. It stands in until sageconfigd.
type thinConfig struct {
	Store sageobject.Store
	Log   sagelog.Logger

	state    atomic.Pointer[sageconfig.State]
	revision atomic.Uint64
}

// Run watches the head until ctx ends.
func (c *thinConfig) Run(ctx context.Context) error {
	var after int64
	for ctx.Err() == nil {
		o, err := c.Store.Watch(ctx, headKey, after)
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		var h thinHead
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return fmt.Errorf("decode %s: %w", headKey, err)
		}
		s := sageconfig.NewState()
		for _, t := range h.Tickets {
			s.ApplyTicket(t)
		}
		c.state.Store(s)
		c.revision.Store(uint64(len(h.Tickets)))
		after = o.Version
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *thinConfig) State() *sageconfig.State { return c.state.Load() }
func (c *thinConfig) Revision() uint64         { return c.revision.Load() }

func (c *thinConfig) Serving(now time.Time, _ bool) *sagewire.Refusal {
	if c.state.Load() == nil {
		return sagewire.Refuse(sagewire.ReasonNoConfig, "no configuration yet", now.Add(time.Second))
	}
	return nil
}

// Submit accepts a ticket by a conditional update of the head.
func (c *thinConfig) Submit(ctx context.Context, t *sageconfig.Ticket) error {
	for {
		var h thinHead
		o, err := c.Store.Get(ctx, headKey)
		if err != nil && !errors.Is(err, sageobject.ErrNotFound) {
			return fmt.Errorf("read head: %w", err)
		}
		if err == nil {
			if err := json.Unmarshal(o.Value, &h); err != nil {
				return fmt.Errorf("decode head: %w", err)
			}
		}
		h.Tickets = append(h.Tickets, t)
		b, err := json.Marshal(&h)
		if err != nil {
			return fmt.Errorf("encode head: %w", err)
		}
		_, err = c.Store.Put(ctx, headKey, b, o.Version)
		if errors.Is(err, sageobject.ErrConflict) {
			continue
		}
		if err != nil {
			return fmt.Errorf("write head: %w", err)
		}
		return nil
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
