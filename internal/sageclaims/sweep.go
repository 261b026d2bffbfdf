package sageclaims

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageobject"
)

// Keys of the sweep in the store.
const (
	unknownPrefix = "unknown/"
	cursorKey     = "unknown-cursor"
)

const (
	// sweepInterval is the delay between sweeps.
	sweepInterval = 15 * time.Second
	// sweepsPerDeletion is the number of sweep intervals from one deletion of expired claims to the next.
	sweepsPerDeletion = 20
)

// listInterval is the delay after each list call. A new cursor starts a whole retention period back and needs one
// list call per minute of it; without a delay these were 147 calls a second, of the 2,000 that the store allows.
const listInterval = 50 * time.Millisecond

// cursor records up to which bucket claim objects have been searched, and up to which they have been deleted. It
// is kept in the store, so that another node can continue the sweep, also after an outage of all nodes.
type cursor struct {
	SweptUntil   time.Time `json:"swept_until"`
	DeletedUntil time.Time `json:"deleted_until"`
}

// runSweeps sweeps and deletes expired claims until ctx ends, whenever this node owns the cursor.
func (s *Service) runSweeps(ctx context.Context) {
	for n := 1; sageclock.Sleep(ctx, sweepInterval); n++ {
		if s.owner(cursorKey) != s.Self {
			continue
		}
		if err := s.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			s.Log.Warn("Can't sweep claims.", "err", err)
		}
		if n%sweepsPerDeletion == 0 {
			if err := s.DeleteExpired(ctx, time.Now()); err != nil && ctx.Err() == nil {
				s.Log.Warn("Can't delete expired claims.", "err", err)
			}
		}
	}
}

// Sweep adds the unresolved requests of every bucket that is old enough and not yet searched to the list of
// unknown outcomes.
//
// If a router crashes, the claims of its requests are the only record of them. The list is written before the
// cursor, so a crash between the two writes only repeats work.
func (s *Service) Sweep(ctx context.Context, now time.Time) error {
	until := s.Rules.BucketStart(now.Add(-s.SweepAfter))
	cur, version, err := s.readCursor(ctx, now)
	if err != nil || !cur.SweptUntil.Before(until) {
		return err
	}
	err = s.forEachObject(ctx, cur.SweptUntil, until, func(m sageobject.Meta) error { return s.listUnresolved(ctx, m.Key, now) })
	if err != nil {
		return err
	}
	cur.SweptUntil = until
	return s.writeCursor(ctx, &cur, version)
}

// forEachObject calls f for each claim object whose bucket starts in [from, until).
func (s *Service) forEachObject(ctx context.Context, from, until time.Time, f func(sageobject.Meta) error) error {
	for minute := from.Truncate(time.Minute); minute.Before(until); minute = minute.Add(time.Minute) {
		metas, err := s.Store.List(ctx, s.Rules.MinutePrefix(minute))
		if err != nil {
			return fmt.Errorf("list claims: %w", err)
		}
		if !sageclock.Sleep(ctx, listInterval) {
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

func (s *Service) writeCursor(ctx context.Context, cur *cursor, version int64) error {
	b, err := json.Marshal(cur)
	if err != nil {
		return fmt.Errorf("encode cursor: %w", err)
	}
	if _, err := s.Store.Put(ctx, cursorKey, b, version); err != nil && !errors.Is(err, sageobject.ErrConflict) {
		return fmt.Errorf("write cursor: %w", err)
	}
	return nil
}

func (s *Service) readCursor(ctx context.Context, now time.Time) (cursor, int64, error) {
	o, err := s.Store.Get(ctx, cursorKey)
	if errors.Is(err, sageobject.ErrNotFound) {
		start := s.Rules.BucketStart(now.Add(-s.Rules.Retention - sageclaim.DeleteMargin))
		return cursor{SweptUntil: start, DeletedUntil: start}, sageobject.NoVersion, nil
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

// listUnresolved adds the unresolved requests of one claim object to the list of unknown outcomes.
func (s *Service) listUnresolved(ctx context.Context, object string, now time.Time) error {
	o, err := s.Store.Get(ctx, object)
	if errors.Is(err, sageobject.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read claims: %w", err)
	}
	claimLog, err := sageclaim.DecodeClaimLog(o.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", object, err)
	}
	var found []sageclaim.Record
	for _, r := range claimLog.Records() {
		if r.Unresolved(now) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return s.addUnknown(ctx, now, found)
}

// addUnknown adds records to the list object of the current hour, unless it has their claim ids already.
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
		listed := make(map[string]bool, len(list))
		for _, r := range list {
			listed[r.ClaimID] = true
		}
		for _, r := range found {
			if !listed[r.ClaimID] {
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

// DeleteExpired deletes claim objects that have exceeded the retention period. It first searches each once more
// for unresolved requests, because a key may be used long after its creation, when its bucket has been searched.
func (s *Service) DeleteExpired(ctx context.Context, now time.Time) error {
	until := s.Rules.BucketStart(now.Add(-s.Rules.Bucket - s.Rules.Retention - sageclaim.DeleteMargin))
	cur, version, err := s.readCursor(ctx, now)
	if err != nil || !cur.DeletedUntil.Before(until) {
		return err
	}
	err = s.forEachObject(ctx, cur.DeletedUntil, until, func(m sageobject.Meta) error {
		if err := s.listUnresolved(ctx, m.Key, now); err != nil {
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
	return s.writeCursor(ctx, &cur, version)
}
