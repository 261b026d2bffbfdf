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

// DefaultMaxSummariesPerShard is the default of [Acceptor.MaxSummariesPerShard]. Over all shards it
// keeps about 16,000 summaries, a week at the 2,100 tickets a day that the system is designed for.
const DefaultMaxSummariesPerShard = 256

// maxSummaryTextBytes bounds the author and the reason in a summary.
const maxSummaryTextBytes = 120

// ShardKey returns the key of shard i.
func ShardKey(i int) string { return fmt.Sprintf("config/shard/%02x", i) }

// shardOfKey returns the index of the shard that holds an entry.
func shardOfKey(key sageconfig.EntryKey) int {
	return int(xxhash.Sum64String(key.String()) % NumShards)
}

// shardOfNumber returns the index of the shard that holds the summary of a ticket number.
func shardOfNumber(number uint64) int {
	return int(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, number)) % NumShards)
}

// Summary describes an accepted ticket without its changes. It is kept after the ticket's record has
// left the tail.
type Summary struct {
	Number      uint64    `json:"number"`
	Digest      string    `json:"digest"`
	Revision    uint64    `json:"revision"`
	AcceptedAt  time.Time `json:"accepted_at"`
	Author      string    `json:"author,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	ChangeCount int       `json:"things"`
}

// SummaryOf returns the summary of r.
func SummaryOf(r *Record) Summary {
	return Summary{
		Number: r.Ticket.Number, Digest: r.Digest, Revision: r.Revision, AcceptedAt: r.AcceptedAt,
		Author: truncate(r.Ticket.Author), Reason: truncate(r.Ticket.Reason), ChangeCount: len(r.Ticket.Changes),
	}
}

func truncate(s string) string {
	if len(s) <= maxSummaryTextBytes {
		return s
	}
	return s[:maxSummaryTextBytes]
}

// Shard is the value of a shard object: compacted entries ordered by key, and summaries ordered by
// number.
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

// merge adds entries and summaries to s, drops summaries with numbers up to floor, and reports whether
// s changed.
//
// Summaries are dropped in two steps: first the floor in the head is raised, then the summaries are
// deleted. In the other order, a crash between the steps would leave a deleted number above the floor,
// and the number could be accepted again with other content.
func (s *Shard) merge(entries []sageconfig.Entry, summaries []Summary, floor uint64) bool {
	changed := false
	state := sageconfig.NewState()
	for _, e := range s.Entries {
		state.Apply(e)
	}
	for _, e := range entries {
		changed = state.Apply(e) || changed
	}
	for _, p := range summaries {
		if _, ok := s.find(p.Number); !ok {
			s.Summaries = append(s.Summaries, p)
			changed = true
		}
	}
	if !changed {
		return false
	}
	s.Entries = s.Entries[:0]
	for _, e := range state.All() {
		s.Entries = append(s.Entries, e)
	}
	sort.Slice(s.Entries, func(i, j int) bool {
		return s.Entries[i].Change.Key.String() < s.Entries[j].Change.Key.String()
	})
	retained := s.Summaries[:0]
	for _, p := range s.Summaries {
		if p.Number > floor {
			retained = append(retained, p)
		}
	}
	s.Summaries = retained
	sort.Slice(s.Summaries, func(i, j int) bool { return s.Summaries[i].Number < s.Summaries[j].Number })
	return true
}

// nextFloor returns the floor that allows the next merge to drop the summaries beyond maxSummaries, or
// 0 if there are none.
func (s *Shard) nextFloor(maxSummaries int) uint64 {
	if len(s.Summaries) <= maxSummaries {
		return 0
	}
	return s.Summaries[len(s.Summaries)-maxSummaries-1].Number
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
