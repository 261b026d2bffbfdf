package sageticket

import (
	"context"
	"fmt"
	"sort"

	"sagestand.example/sagestand/pkg/sageobject"
)

// History returns the summaries of the newest accepted tickets, newest first, at most n.
func History(ctx context.Context, st sageobject.Store, n int) ([]Summary, error) {
	h, _, err := ReadHead(ctx, st)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	seen := make(map[uint64]bool)
	var summaries []Summary
	add := func(p Summary) {
		if !seen[p.Number] {
			seen[p.Number] = true
			summaries = append(summaries, p)
		}
	}
	for i := range h.Tail {
		add(SummaryOf(&h.Tail[i]))
	}
	// Read the shards only if the tail lacks some of the newest n tickets.
	for i := 0; i < NumShards && len(h.Tail) < n && h.FirstTailRevision() > 1; i++ {
		shard, _, err := readShard(ctx, st, i)
		if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		for _, p := range shard.Summaries {
			add(p)
		}
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].Revision > summaries[j].Revision })
	return summaries[:min(n, len(summaries))], nil
}

// Find returns the summary of a ticket, or [ErrTicketNotFound].
func Find(ctx context.Context, st sageobject.Store, number uint64) (Summary, error) {
	h, _, err := ReadHead(ctx, st)
	if err != nil {
		return Summary{}, fmt.Errorf("find ticket %d: %w", number, err)
	}
	if r, ok := h.Find(number); ok {
		return SummaryOf(r), nil
	}
	shard, _, err := readShard(ctx, st, shardOfNumber(number))
	if err != nil {
		return Summary{}, fmt.Errorf("find ticket %d: %w", number, err)
	}
	if p, ok := shard.find(number); ok {
		return p, nil
	}
	return Summary{}, fmt.Errorf("find ticket %d: %w", number, ErrTicketNotFound)
}
