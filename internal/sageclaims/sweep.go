package sageclaims

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
)

// Keys of the sweep in the store.
const (
	unknownPrefix = "unknown/"
	cursorKey     = "unknown-cursor"
)

// sweepEvery is the pause between two sweeps; a deletion follows every deleteEvery sweeps.
const (
	sweepEvery  = 15 * time.Second
	deleteEvery = 20
)

// listPause lies between two lists. A new cursor starts a whole retention back, a list for each minute;
// all at once they were 147 calls a second of the 2,000 that the store takes.
const listPause = 50 * time.Millisecond

// cursor says up to which bucket claim objects were searched, and deleted. It lives in the store, so
// that a node that takes over goes on where another one stopped, also after an outage of all nodes.
type cursor struct {
	SweptUntil   time.Time `json:"swept_until"`
	DeletedUntil time.Time `json:"deleted_until"`
}

// sweepUntil sweeps until ctx ends, while this node owns the cursor.
func (s *Service) sweepUntil(ctx context.Context) {
	for n := 1; wait(ctx, sweepEvery); n++ {
		if s.owner(cursorKey) != s.Self {
			continue
		}
		if err := s.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			s.Log.Warn("Can't sweep claims.", "err", err)
		}
		if n%deleteEvery == 0 {
			if err := s.DeleteExpired(ctx, time.Now()); err != nil && ctx.Err() == nil {
				s.Log.Warn("Can't delete old claims.", "err", err)
			}
		}
	}
}

// Sweep lists the unsettled requests of every bucket that is old enough and not searched yet.
//
// It guards against losing track of a request whose router died: nobody else knows of it but its
// claim. The list is written before the cursor moves, so a crash between the two only repeats work.
func (s *Service) Sweep(ctx context.Context, now time.Time) error {
	until := s.Rules.BucketStart(now.Add(-s.SweepAfter))
	cur, version, err := s.cursor(ctx, now)
	if err != nil || !cur.SweptUntil.Before(until) {
		return err
	}
	err = s.eachObject(ctx, cur.SweptUntil, until, func(m sageobject.Meta) error { return s.listUnsettled(ctx, m.Key, now) })
	if err != nil {
		return err
	}
	cur.SweptUntil = until
	return s.moveCursor(ctx, &cur, version)
}

// eachObject calls f for each claim object whose bucket starts in [from, until).
func (s *Service) eachObject(ctx context.Context, from, until time.Time, f func(sageobject.Meta) error) error {
	for minute := from.Truncate(time.Minute); minute.Before(until); minute = minute.Add(time.Minute) {
		metas, err := s.Store.List(ctx, s.Rules.MinutePrefix(minute))
		if err != nil {
			return fmt.Errorf("list claims: %w", err)
		}
		if !wait(ctx, listPause) {
			return fmt.Errorf("list claims: %w", ctx.Err())
		}
		for _, m := range metas {
			at, err := s.Rules.ParseBucketStart(m.Key)
			if err != nil || at.Before(from) || !at.Before(until) {
				continue
			}
			if err := f(m); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Service) moveCursor(ctx context.Context, cur *cursor, version int64) error {
	b, err := json.Marshal(cur)
	if err != nil {
		return fmt.Errorf("encode cursor: %w", err)
	}
	if _, err := s.Store.Put(ctx, cursorKey, b, version); err != nil && !errors.Is(err, sageobject.ErrConflict) {
		return fmt.Errorf("write cursor: %w", err)
	}
	return nil
}

func (s *Service) cursor(ctx context.Context, now time.Time) (cursor, int64, error) {
	o, err := s.Store.Get(ctx, cursorKey)
	if errors.Is(err, sageobject.ErrNotFound) {
		first := s.Rules.BucketStart(now.Add(-s.Rules.Retention - sageclaim.DeleteMargin))
		return cursor{SweptUntil: first, DeletedUntil: first}, sageobject.NoVersion, nil
	}
	if err != nil {
		return cursor{}, 0, fmt.Errorf("read cursor: %w", err)
	}
	var c cursor
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return cursor{}, 0, fmt.Errorf("decode cursor: %w", err)
	}
	return c, o.Version, nil
}

// listUnsettled copies the unsettled requests of one claim object to the operators' list.
func (s *Service) listUnsettled(ctx context.Context, object string, now time.Time) error {
	o, err := s.Store.Get(ctx, object)
	if errors.Is(err, sageobject.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read claims: %w", err)
	}
	book, err := sageclaim.DecodeClaimLog(o.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", object, err)
	}
	var found []sageclaim.Record
	for _, r := range book.Records() {
		if r.Unresolved(now) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return s.addUnknown(ctx, now, found)
}

// addUnknown adds records to the list object of the present hour, once each.
func (s *Service) addUnknown(ctx context.Context, now time.Time, found []sageclaim.Record) error {
	key := unknownPrefix + now.UTC().Format("2006010215")
	for {
		var list []sageclaim.Record
		o, err := s.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, sageobject.ErrNotFound) {
			return fmt.Errorf("read unknown outcomes: %w", err)
		}
		if err == nil {
			if list, err = decodeUnknown(o.Value); err != nil {
				return err
			}
		}
		have := make(map[string]bool, len(list))
		for _, r := range list {
			have[r.ClaimID] = true
		}
		for _, r := range found {
			if !have[r.ClaimID] {
				list = append(list, r)
			}
		}
		b, err := json.Marshal(list)
		if err != nil {
			return fmt.Errorf("encode unknown outcomes: %w", err)
		}
		_, err = s.Store.Put(ctx, key, b, o.Version)
		if errors.Is(err, sageobject.ErrConflict) {
			continue
		}
		if err != nil {
			return fmt.Errorf("write unknown outcomes: %w", err)
		}
		return nil
	}
}

func decodeUnknown(b []byte) ([]sageclaim.Record, error) {
	var list []sageclaim.Record
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("decode unknown outcomes: %w", err)
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, fmt.Errorf("decode unknown outcomes: %w", err)
		}
	}
	return list, nil
}

// DeleteOld deletes claim objects beyond retention, after a last search for unsettled requests: a
// key may have been used long after its creation, when its bucket had been searched already.
func (s *Service) DeleteExpired(ctx context.Context, now time.Time) error {
	until := s.Rules.BucketStart(now.Add(-s.Rules.Bucket - s.Rules.Retention - sageclaim.DeleteMargin))
	cur, version, err := s.cursor(ctx, now)
	if err != nil || !cur.DeletedUntil.Before(until) {
		return err
	}
	err = s.eachObject(ctx, cur.DeletedUntil, until, func(m sageobject.Meta) error {
		if err := s.listUnsettled(ctx, m.Key, now); err != nil {
			return err
		}
		if err := s.Store.Delete(ctx, m.Key, m.Version); err != nil && !errors.Is(err, sageobject.ErrNotFound) {
			return fmt.Errorf("delete claims: %w", err)
		}
		return nil
	})
	if err != nil {
		return err
	}
	cur.DeletedUntil = until
	return s.moveCursor(ctx, &cur, version)
}
