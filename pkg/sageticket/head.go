package sageticket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageobject"
)

// HeadKey is the key of the one object whose conditional update accepts tickets.
const HeadKey = "config/head"

// Bounds of the head. A watcher receives the whole head with each ticket, so it is kept small; the
// newest records stay after a fold so that a watcher that was away for some tickets needs no shard.
const (
	// foldTickets and foldBytes make a fold due.
	foldTickets = 64
	foldBytes   = 128 << 10
	// keepBytes bounds what a fold leaves in the tail.
	keepBytes = 64 << 10
	// maxHeadBytes bounds the head; a ticket that would exceed it waits for a fold.
	maxHeadBytes = 512 << 10
)

// DefaultKeepRecords bounds the number of records that a fold leaves in the tail.
const DefaultKeepRecords = 32

// Record is one accepted ticket.
type Record struct {
	Revision   uint64             `json:"revision"`
	Digest     string             `json:"digest"`
	AcceptedAt time.Time          `json:"accepted_at"`
	Ticket     *sageconfig.Ticket `json:"ticket"`
}

// Check reports a record whose ticket is missing, malformed or not the one of its digest.
func (r *Record) Check() error {
	if r.Revision == 0 || r.Ticket == nil {
		return fmt.Errorf("record without revision or ticket: %w", ErrInvalidObject)
	}
	if err := r.Ticket.Check(); err != nil {
		return fmt.Errorf("record %d: %w", r.Revision, err)
	}
	if r.Ticket.Digest() != r.Digest {
		return fmt.Errorf("record %d has another digest than its ticket: %w", r.Revision, ErrInvalidObject)
	}
	return nil
}

// Head is the value of [HeadKey].
type Head struct {
	// Revision counts the accepted tickets.
	Revision uint64 `json:"revision"`
	// Folded: every ticket up to this revision is wholly in the shards.
	CompactedRevision uint64 `json:"folded"`
	// Floor: a number up to it whose record is in neither tail nor shards is refused, because its
	// content may have been forgotten.
	Floor uint64 `json:"floor,omitempty"`
	// Tail holds the newest records without a gap, up to Revision.
	Tail []Record `json:"tail"`
}

// First returns the revision of the oldest record in the tail, or Revision+1 if it is empty.
func (h *Head) FirstTailRevision() uint64 { return h.Revision + 1 - uint64(len(h.Tail)) }

// Find returns the record of that ticket number in the tail.
func (h *Head) Find(number uint64) (*Record, bool) {
	for i := range h.Tail {
		if h.Tail[i].Ticket.Number == number {
			return &h.Tail[i], true
		}
	}
	return nil, false
}

// Since returns the records above revision, and false if the tail doesn't reach back to it.
func (h *Head) RecordsSince(revision uint64) ([]Record, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	if revision+1 < h.FirstTailRevision() {
		return nil, false
	}
	return h.Tail[revision+1-h.FirstTailRevision():], true
}

// Check reports a head whose tail has a gap or doesn't reach back to what was folded.
func (h *Head) Check() error {
	if uint64(len(h.Tail)) > h.Revision || h.CompactedRevision > h.Revision || h.FirstTailRevision() > h.CompactedRevision+1 {
		return fmt.Errorf("head at revision %d, folded %d, tail of %d: %w", h.Revision, h.CompactedRevision, len(h.Tail), ErrInvalidObject)
	}
	for i := range h.Tail {
		if h.Tail[i].Revision != h.FirstTailRevision()+uint64(i) {
			return fmt.Errorf("head at revision %d has a gap: %w", h.Revision, ErrInvalidObject)
		}
		if err := h.Tail[i].Check(); err != nil {
			return fmt.Errorf("head: %w", err)
		}
	}
	return nil
}

// FoldDue reports whether the tail has grown enough to be folded.
func (h *Head) CompactionDue() bool {
	return h.Revision-h.CompactedRevision >= foldTickets || tailBytes(h.Tail) > foldBytes
}

func tailBytes(tail []Record) int {
	n := 0
	for i := range tail {
		n += recordBytes(&tail[i])
	}
	return n
}

func recordBytes(r *Record) int {
	b, err := json.Marshal(r)
	if err != nil {
		panic("sageticket: a checked record always encodes: " + err.Error())
	}
	return len(b)
}

// append returns h with one more record.
func (h *Head) append(r Record) *Head {
	n := *h
	n.Revision = r.Revision
	n.Tail = append(append([]Record(nil), h.Tail...), r)
	return &n
}

// cut returns h after everything up to folded went to the shards, with at most tickets records of it.
func (h *Head) cut(folded, floor uint64, tickets int) *Head {
	n := *h
	n.CompactedRevision = max(h.CompactedRevision, folded)
	n.Floor = max(h.Floor, floor)
	keep, bytes := 0, 0
	for i := len(h.Tail) - 1; i >= 0; i-- {
		bytes += recordBytes(&h.Tail[i])
		if h.Tail[i].Revision <= n.CompactedRevision && (keep >= tickets || bytes > keepBytes) {
			break
		}
		keep++
	}
	n.Tail = append([]Record(nil), h.Tail[len(h.Tail)-keep:]...)
	return &n
}

func (h *Head) encode() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return b, nil
}

// DecodeHead decodes and checks a head.
func DecodeHead(b []byte) (*Head, error) {
	h := new(Head)
	if err := json.Unmarshal(b, h); err != nil {
		return nil, fmt.Errorf("decode head: %v: %w", err, ErrInvalidObject)
	}
	if err := h.Check(); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	return h, nil
}

// ReadHead reads the head and its object version; a head that was never written is empty.
func ReadHead(ctx context.Context, st sageobject.Store) (*Head, int64, error) {
	o, err := st.Get(ctx, HeadKey)
	if errors.Is(err, sageobject.ErrNotFound) {
		return new(Head), sageobject.NoVersion, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read head: %w", err)
	}
	h, err := DecodeHead(o.Value)
	if err != nil {
		return nil, 0, fmt.Errorf("read head: %w", err)
	}
	return h, o.Version, nil
}
