package sageticket

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// part is what a fold brings to one shard.
type part struct {
	entries []sageconfig.Entry
	past    []Summary
}

// Fold writes the tail to the shards and then shortens it in the head. A crash at any step is
// harmless: until the head says that a record is folded, readers take it from the tail, and the
// shards merge it again without effect. Two folds at once do the same work twice.
func (a *Acceptor) Compact(ctx context.Context) error {
	h, version, err := ReadHead(ctx, a.Store)
	if err != nil {
		return fmt.Errorf("fold: %w", err)
	}
	if h.CompactedRevision == h.Revision {
		return nil
	}
	folded, floor := h.Revision, uint64(0)
	parts := split(h)
	for _, i := range order(parts) {
		f, err := a.joinShard(ctx, i, parts[i], h.Floor)
		if err != nil {
			return fmt.Errorf("fold: %w", err)
		}
		floor = max(floor, f)
	}
	for range attempts {
		value, err := h.cut(folded, floor, a.keep()).encode()
		if err != nil {
			return fmt.Errorf("fold: %w", err)
		}
		if _, err = a.Store.Put(ctx, HeadKey, value, version); err == nil {
			return nil
		}
		if nothingWritten(err) && !errors.Is(err, sageobject.ErrConflict) {
			return fmt.Errorf("fold: shorten tail: %w", err)
		}
		if h, version, err = ReadHead(ctx, a.Store); err != nil {
			return fmt.Errorf("fold: shorten tail: %w", err)
		}
		if h.CompactedRevision >= folded {
			return nil
		}
	}
	return fmt.Errorf("fold: shorten tail: other writers kept winning: %w", sageobject.ErrConflict)
}

// split sorts the unfolded records of h by shard.
func split(h *Head) map[int]*part {
	parts := make(map[int]*part)
	at := func(i int) *part {
		if parts[i] == nil {
			parts[i] = new(part)
		}
		return parts[i]
	}
	rs, _ := h.RecordsSince(h.CompactedRevision)
	for i := range rs {
		r := &rs[i]
		p := at(shardOfNumber(r.Ticket.Number))
		p.past = append(p.past, SummaryOf(r))
		for _, c := range r.Ticket.Changes {
			p := at(shardOfThing(c.Key))
			p.entries = append(p.entries, sageconfig.Entry{TicketNumber: r.Ticket.Number, Change: c})
		}
	}
	return parts
}

func order(parts map[int]*part) []int {
	is := make([]int, 0, len(parts))
	for i := range parts {
		is = append(is, i)
	}
	sort.Ints(is)
	return is
}

func (a *Acceptor) remember() int { return cmp.Or(a.MaxSummariesPerShard, DefaultMaxSummariesPerShard) }

func (a *Acceptor) keep() int { return cmp.Or(a.KeepRecords, DefaultKeepRecords) }

// joinShard merges p into shard i, and again if another writer came between or the answer was lost.
func (a *Acceptor) joinShard(ctx context.Context, i int, p *part, floor uint64) (next uint64, err error) {
	for range attempts {
		sh, version, err := readShard(ctx, a.Store, i)
		if err != nil {
			return 0, err
		}
		changed := sh.join(p.entries, p.past, floor)
		next = sh.nextFloor(a.remember())
		if !changed {
			return next, nil
		}
		b, err := json.Marshal(sh)
		if err != nil {
			return 0, fmt.Errorf("encode shard %02x: %w", i, err)
		}
		if _, err = a.Store.Put(ctx, ShardKey(i), b, version); err == nil {
			return next, nil
		}
		if nothingWritten(err) && !errors.Is(err, sageobject.ErrConflict) {
			return 0, fmt.Errorf("write shard %02x: %w", i, err)
		}
	}
	return 0, fmt.Errorf("write shard %02x: other writers kept winning: %w", i, sageobject.ErrConflict)
}
