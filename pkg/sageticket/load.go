package sageticket

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// maxConcurrentReads limits concurrent shard reads, so that a fleet whose nodes start together doesn't
// exhaust the store's read rate.
const maxConcurrentReads = 4

// maxLoadAttempts limits how often a load restarts because of concurrent compactions.
const maxLoadAttempts = 8

// Loaded is the complete configuration as read from the store.
type Loaded struct {
	Head    *Head
	Version int64
	State   *sageconfig.State
}

// Load reads the head and all shards. The returned state is exactly the state at Head.Revision: every
// ticket is included completely or not at all.
//
// A shard may already contain part of a ticket that was accepted after the first read of the head and
// compacted since. Load therefore reads the head again after the shards: every ticket found in a shard
// was accepted before this second read. If the tails of the two reads join without a gap, they contain
// the rest of these tickets. Otherwise the load restarts.
func Load(ctx context.Context, st sageobject.Store) (*Loaded, error) {
	before, version, err := ReadHead(ctx, st)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if before.Revision == 0 {
		return &Loaded{Head: before, Version: version, State: sageconfig.NewState()}, nil
	}
	for range maxLoadAttempts {
		state, err := loadShards(ctx, st)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		after, afterVersion, err := ReadHead(ctx, st)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		if afterVersion == version || after.FirstTailRevision() <= before.Revision+1 {
			applyTail(state, before.Tail)
			applyTail(state, after.Tail)
			return &Loaded{Head: after, Version: afterVersion, State: state}, nil
		}
		before, version = after, afterVersion
	}
	return nil, fmt.Errorf("load: head changed too often: %w", sageobject.ErrUnavailable)
}

func applyTail(s *sageconfig.State, tail []Record) {
	for i := range tail {
		s.ApplyTicket(tail[i].Ticket)
	}
}

func loadShards(ctx context.Context, st sageobject.Store) (*sageconfig.State, error) {
	var shards [NumShards]*Shard
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i := range NumShards {
		g.Go(func() error {
			shard, _, err := readShard(gctx, st, i)
			shards[i] = shard
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	state := sageconfig.NewState()
	for _, shard := range shards {
		for _, e := range shard.Entries {
			state.Apply(e)
		}
	}
	return state, nil
}
