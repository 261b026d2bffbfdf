package sageticket

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// loadAtOnce bounds the shard reads under way, so that a fleet that boots together doesn't spend
// the store's read rate at one instant.
const loadAtOnce = 4

// loadTries bounds how often a load starts over because tickets were folded meanwhile.
const loadTries = 8

// Loaded is the whole configuration as the store holds it.
type Loaded struct {
	Head    *Head
	Version int64
	State   *sageconfig.State
}

// Load reads the head and all shards. The state is that of Head.Revision exactly: of each ticket
// all or nothing.
//
// A shard may already hold a part of a ticket that was accepted after the first read of the head
// and folded since. The head is therefore read again after the shards: any ticket that a shard may
// hold was accepted before that second read, and the tails of both reads, if they join without a
// gap, complete it. If there is a gap the load starts over.
func Load(ctx context.Context, st sageobject.Store) (*Loaded, error) {
	h, v, err := ReadHead(ctx, st)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if h.Revision == 0 {
		return &Loaded{Head: h, Version: v, State: sageconfig.NewState()}, nil
	}
	for range loadTries {
		s, err := loadShards(ctx, st)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		after, v2, err := ReadHead(ctx, st)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		if v2 == v || after.FirstTailRevision() <= h.Revision+1 {
			applyTail(s, h.Tail)
			applyTail(s, after.Tail)
			return &Loaded{Head: after, Version: v2, State: s}, nil
		}
		h, v = after, v2
	}
	return nil, fmt.Errorf("load: tickets kept coming: %w", sageobject.ErrUnavailable)
}

func applyTail(s *sageconfig.State, tail []Record) {
	for i := range tail {
		s.ApplyTicket(tail[i].Ticket)
	}
}

func loadShards(ctx context.Context, st sageobject.Store) (*sageconfig.State, error) {
	var shards [NumShards]*Shard
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(loadAtOnce)
	for i := range NumShards {
		g.Go(func() error {
			sh, _, err := readShard(gctx, st, i)
			shards[i] = sh
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	s := sageconfig.NewState()
	for _, sh := range shards {
		for _, e := range sh.Entries {
			s.Apply(e)
		}
	}
	return s, nil
}
