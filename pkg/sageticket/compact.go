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

// shardUpdate is what a compaction adds to one shard.
type shardUpdate struct {
	entries   []sageconfig.Entry
	summaries []Summary
}

// Compact copies the tail into the shards and then shortens it in the head. A crash at any step is
// harmless: until the head marks a record as compacted, readers take it from the tail, and merging it
// into a shard again has no effect. Concurrent compactions do redundant work but are safe.
func (a *Acceptor) Compact(ctx context.Context) error {
	h, version, err := ReadHead(ctx, a.Store)
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	if h.CompactedRevision == h.Revision {
		return nil
	}
	compacted, floor := h.Revision, uint64(0)
	updates := splitByShard(h)
	for _, i := range sortedShards(updates) {
		shardFloor, err := a.mergeShard(ctx, i, updates[i], h.Floor)
		if err != nil {
			return fmt.Errorf("compact: %w", err)
		}
		floor = max(floor, shardFloor)
	}
	for range maxAttempts {
		value, err := h.truncateTail(compacted, floor, a.keepRecords()).encode()
		if err != nil {
			return fmt.Errorf("compact: %w", err)
		}
		if _, err = a.Store.Put(ctx, HeadKey, value, version); err == nil {
			return nil
		}
		if nothingWritten(err) && !errors.Is(err, sageobject.ErrConflict) {
			return fmt.Errorf("compact: shorten tail: %w", err)
		}
		if h, version, err = ReadHead(ctx, a.Store); err != nil {
			return fmt.Errorf("compact: shorten tail: %w", err)
		}
		if h.CompactedRevision >= compacted {
			return nil
		}
	}
	return fmt.Errorf("compact: shorten tail: too many conflicting writes: %w", sageobject.ErrConflict)
}

// splitByShard groups the records of h that aren't compacted by shard.
func splitByShard(h *Head) map[int]*shardUpdate {
	updates := make(map[int]*shardUpdate)
	updateFor := func(i int) *shardUpdate {
		if updates[i] == nil {
			updates[i] = new(shardUpdate)
		}
		return updates[i]
	}
	records, _ := h.RecordsSince(h.CompactedRevision)
	for i := range records {
		r := &records[i]
		update := updateFor(shardOfNumber(r.Ticket.Number))
		update.summaries = append(update.summaries, SummaryOf(r))
		for _, c := range r.Ticket.Changes {
			update := updateFor(shardOfKey(c.Key))
			update.entries = append(update.entries, sageconfig.Entry{TicketNumber: r.Ticket.Number, Change: c})
		}
	}
	return updates
}

func sortedShards(updates map[int]*shardUpdate) []int {
	indices := make([]int, 0, len(updates))
	for i := range updates {
		indices = append(indices, i)
	}
	sort.Ints(indices)
	return indices
}

func (a *Acceptor) maxSummaries() int {
	return cmp.Or(a.MaxSummariesPerShard, DefaultMaxSummariesPerShard)
}

func (a *Acceptor) keepRecords() int { return cmp.Or(a.KeepRecords, DefaultKeepRecords) }

// mergeShard merges update into shard i and returns the floor that the shard needs. It retries after a
// conflict or a lost response.
func (a *Acceptor) mergeShard(ctx context.Context, i int, update *shardUpdate, floor uint64) (nextFloor uint64, err error) {
	for range maxAttempts {
		shard, version, err := readShard(ctx, a.Store, i)
		if err != nil {
			return 0, err
		}
		changed := shard.merge(update.entries, update.summaries, floor)
		nextFloor = shard.nextFloor(a.maxSummaries())
		if !changed {
			return nextFloor, nil
		}
		b, err := json.Marshal(shard)
		if err != nil {
			return 0, fmt.Errorf("encode shard %02x: %w", i, err)
		}
		if _, err = a.Store.Put(ctx, ShardKey(i), b, version); err == nil {
			return nextFloor, nil
		}
		if nothingWritten(err) && !errors.Is(err, sageobject.ErrConflict) {
			return 0, fmt.Errorf("write shard %02x: %w", i, err)
		}
	}
	return 0, fmt.Errorf("write shard %02x: too many conflicting writes: %w", i, sageobject.ErrConflict)
}
