package sageticket

import (
	"context"
	"fmt"
	"sort"

	"sagestand.example/sagestand/pkg/sageobject"
)

// History returns what is remembered of the newest accepted tickets, newest first, at most n.
func History(ctx context.Context, st sageobject.Store, n int) ([]Summary, error) {
	h, _, err := ReadHead(ctx, st)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	seen := make(map[uint64]bool)
	var ps []Summary
	add := func(p Summary) {
		if !seen[p.Number] {
			seen[p.Number] = true
			ps = append(ps, p)
		}
	}
	for i := range h.Tail {
		add(SummaryOf(&h.Tail[i]))
	}
	// The shards are needed only for what the tail doesn't show.
	for i := 0; i < NumShards && len(h.Tail) < n && h.FirstTailRevision() > 1; i++ {
		sh, _, err := readShard(ctx, st, i)
		if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		for _, p := range sh.Summaries {
			add(p)
		}
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].Revision > ps[j].Revision })
	return ps[:min(n, len(ps))], nil
}

// Find returns what is remembered of one ticket, or ErrNoTicket.
func Find(ctx context.Context, st sageobject.Store, number uint64) (Summary, error) {
	h, _, err := ReadHead(ctx, st)
	if err != nil {
		return Summary{}, fmt.Errorf("find ticket %d: %w", number, err)
	}
	if r, ok := h.Find(number); ok {
		return SummaryOf(r), nil
	}
	sh, _, err := readShard(ctx, st, shardOfNumber(number))
	if err != nil {
		return Summary{}, fmt.Errorf("find ticket %d: %w", number, err)
	}
	if p, ok := sh.find(number); ok {
		return p, nil
	}
	return Summary{}, fmt.Errorf("find ticket %d: %w", number, ErrTicketNotFound)
}
