package sageticket

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// NumShards is the number of shard objects. It is part of the stored format.
const NumShards = 64

// DefaultMaxSummariesPerShard bounds the remembered numbers of a shard: about 16,000 over all shards, a week of
// the 2,100 tickets a day that the design is for.
const DefaultMaxSummariesPerShard = 256

// maxPastText bounds the author and the reason of a remembered ticket in bytes.
const maxPastText = 120

// ShardKey returns the key of shard i.
func ShardKey(i int) string { return fmt.Sprintf("config/shard/%02x", i) }

// shardOfThing and shardOfNumber say where an entry and a remembered number are kept.
func shardOfThing(t sageconfig.EntryKey) int { return int(xxhash.Sum64String(t.String()) % NumShards) }

func shardOfNumber(number uint64) int {
	return int(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, number)) % NumShards)
}

// Summary is what is remembered of an accepted ticket after its record left the tail.
type Summary struct {
	Number      uint64    `json:"number"`
	Digest      string    `json:"digest"`
	Revision    uint64    `json:"revision"`
	AcceptedAt  time.Time `json:"accepted_at"`
	Author      string    `json:"author,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	ChangeCount int       `json:"things"`
}

// SummaryOf returns what is remembered of r.
func SummaryOf(r *Record) Summary {
	return Summary{
		Number: r.Ticket.Number, Digest: r.Digest, Revision: r.Revision, AcceptedAt: r.AcceptedAt,
		Author: clip(r.Ticket.Author), Reason: clip(r.Ticket.Reason), ChangeCount: len(r.Ticket.Changes),
	}
}

func clip(s string) string {
	if len(s) <= maxPastText {
		return s
	}
	return s[:maxPastText]
}

// Shard is the value of one shard object: folded entries and remembered numbers, both ordered.
type Shard struct {
	Entries   []sageconfig.Entry `json:"entries"`
	Summaries []Summary          `json:"past"`
}

// Check reports a malformed entry.
func (s *Shard) Check() error {
	for i := range s.Entries {
		if err := s.Entries[i].Change.Check(); err != nil {
			return fmt.Errorf("shard entry: %w", err)
		}
	}
	return nil
}

func (s *Shard) find(number uint64) (Summary, bool) {
	for _, p := range s.Summaries {
		if p.Number == number {
			return p, true
		}
	}
	return Summary{}, false
}

// join merges entries and remembered numbers into s, forgets numbers up to floor, and reports
// whether s changed.
//
// Numbers are forgotten in two steps, first the floor in the head, then the numbers, since the
// other order lets a crash between the two forget a number that no floor covers: the same number
// could then be accepted with other content.
func (s *Shard) join(entries []sageconfig.Entry, past []Summary, floor uint64) bool {
	changed := false
	st := sageconfig.NewState()
	for _, e := range s.Entries {
		st.Apply(e)
	}
	for _, e := range entries {
		changed = st.Apply(e) || changed
	}
	for _, p := range past {
		if _, ok := s.find(p.Number); !ok {
			s.Summaries = append(s.Summaries, p)
			changed = true
		}
	}
	if !changed {
		return false
	}
	s.Entries = s.Entries[:0]
	for _, e := range st.All() {
		s.Entries = append(s.Entries, e)
	}
	sort.Slice(s.Entries, func(i, j int) bool {
		return s.Entries[i].Change.Key.String() < s.Entries[j].Change.Key.String()
	})
	kept := s.Summaries[:0]
	for _, p := range s.Summaries {
		if p.Number > floor {
			kept = append(kept, p)
		}
	}
	s.Summaries = kept
	sort.Slice(s.Summaries, func(i, j int) bool { return s.Summaries[i].Number < s.Summaries[j].Number })
	return true
}

// nextFloor returns the floor that the head must have so that the next join forgets what exceeds the
// bound.
func (s *Shard) nextFloor(remember int) uint64 {
	if len(s.Summaries) <= remember {
		return 0
	}
	return s.Summaries[len(s.Summaries)-remember-1].Number
}

func readShard(ctx context.Context, st sageobject.Store, i int) (*Shard, int64, error) {
	o, err := st.Get(ctx, ShardKey(i))
	if errors.Is(err, sageobject.ErrNotFound) {
		return new(Shard), sageobject.NoVersion, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read shard %02x: %w", i, err)
	}
	s := new(Shard)
	if err := json.Unmarshal(o.Value, s); err != nil {
		return nil, 0, fmt.Errorf("read shard %02x: %v: %w", i, err, ErrInvalidObject)
	}
	if err := s.Check(); err != nil {
		return nil, 0, fmt.Errorf("read shard %02x: %w", i, err)
	}
	return s, o.Version, nil
}
