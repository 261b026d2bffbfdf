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

// HeadKey is the key of the object whose conditional updates accept tickets.
const HeadKey = "config/head"

// Limits of the head. Watchers receive the complete head with every ticket, so it is kept small.
// Compaction leaves the newest records in the tail, so that a watcher that missed a few tickets needn't
// read the shards.
const (
	// compactAfterTickets and compactAboveBytes are the tail sizes at which compaction is due.
	compactAfterTickets = 64
	compactAboveBytes   = 128 << 10
	// keepTailBytes bounds the size of the tail that a compaction leaves.
	keepTailBytes = 64 << 10
	// maxHeadBytes bounds the encoded head. A ticket that would exceed it is accepted after a
	// compaction.
	maxHeadBytes = 512 << 10
)

// DefaultKeepRecords is the default of [Acceptor.KeepRecords].
const DefaultKeepRecords = 32

// Record is an accepted ticket with its revision.
type Record struct {
	Revision   uint64             `json:"revision"`
	Digest     string             `json:"digest"`
	AcceptedAt time.Time          `json:"accepted_at"`
	Ticket     *sageconfig.Ticket `json:"ticket"`
}

// Check reports a record without revision or ticket, a malformed ticket, or a digest that doesn't match
// the ticket.
func (r *Record) Check() error {
	if r.Revision == 0 || r.Ticket == nil {
		return fmt.Errorf("record without revision or ticket: %w", ErrInvalidObject)
	}
	if err := r.Ticket.Check(); err != nil {
		return fmt.Errorf("record %d: %w", r.Revision, err)
	}
	if r.Ticket.Digest() != r.Digest {
		return fmt.Errorf("digest of record %d doesn't match its ticket: %w", r.Revision, ErrInvalidObject)
	}
	return nil
}

// Head is the value of the object at [HeadKey].
type Head struct {
	// Revision is the number of accepted tickets.
	Revision uint64 `json:"revision"`
	// CompactedRevision is the revision up to which all tickets are completely in the shards.
	CompactedRevision uint64 `json:"folded"`
	// Floor is the greatest ticket number whose content may have been dropped. Numbers up to it that
	// are in neither the tail nor the shards are rejected.
	Floor uint64 `json:"floor,omitempty"`
	// Tail holds the records of the newest revisions, without a gap, up to Revision.
	Tail []Record `json:"tail"`
}

// FirstTailRevision returns the revision of the oldest record in the tail, or Revision+1 if the tail is
// empty.
func (h *Head) FirstTailRevision() uint64 { return h.Revision + 1 - uint64(len(h.Tail)) }

// Find returns the record with that ticket number if it is in the tail.
func (h *Head) Find(number uint64) (*Record, bool) {
	for i := range h.Tail {
		if h.Tail[i].Ticket.Number == number {
			return &h.Tail[i], true
		}
	}
	return nil, false
}

// RecordsSince returns the records after revision, and false if the tail doesn't reach back to it.
func (h *Head) RecordsSince(revision uint64) ([]Record, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	if revision+1 < h.FirstTailRevision() {
		return nil, false
	}
	return h.Tail[revision+1-h.FirstTailRevision():], true
}

// Check reports a malformed record, a gap in the tail, or a tail that lacks records that aren't
// compacted yet.
func (h *Head) Check() error {
	if uint64(len(h.Tail)) > h.Revision || h.CompactedRevision > h.Revision || h.FirstTailRevision() > h.CompactedRevision+1 {
		return fmt.Errorf("inconsistent head: revision %d, compacted revision %d, %d records in the tail: %w", h.Revision, h.CompactedRevision, len(h.Tail), ErrInvalidObject)
	}
	for i := range h.Tail {
		if h.Tail[i].Revision != h.FirstTailRevision()+uint64(i) {
			return fmt.Errorf("tail of the head at revision %d has a gap: %w", h.Revision, ErrInvalidObject)
		}
		if err := h.Tail[i].Check(); err != nil {
			return fmt.Errorf("head: %w", err)
		}
	}
	return nil
}

// CompactionDue reports whether the tail has grown enough to be compacted.
func (h *Head) CompactionDue() bool {
	return h.Revision-h.CompactedRevision >= compactAfterTickets || tailBytes(h.Tail) > compactAboveBytes
}

func tailBytes(tail []Record) int {
	size := 0
	for i := range tail {
		size += recordBytes(&tail[i])
	}
	return size
}

func recordBytes(r *Record) int {
	b, err := json.Marshal(r)
	if err != nil {
		panic("sageticket: encoding a valid record failed: " + err.Error())
	}
	return len(b)
}

// append returns a copy of h with one more record.
func (h *Head) append(r Record) *Head {
	next := *h
	next.Revision = r.Revision
	next.Tail = append(append([]Record(nil), h.Tail...), r)
	return &next
}

// truncateTail returns a copy of h that marks all revisions up to compacted as compacted. Its tail
// keeps every record that isn't compacted, and the newest compacted ones while it has at most
// maxRecords records and keepTailBytes bytes.
func (h *Head) truncateTail(compacted, floor uint64, maxRecords int) *Head {
	next := *h
	next.CompactedRevision = max(h.CompactedRevision, compacted)
	next.Floor = max(h.Floor, floor)
	kept, size := 0, 0
	for i := len(h.Tail) - 1; i >= 0; i-- {
		size += recordBytes(&h.Tail[i])
		if h.Tail[i].Revision <= next.CompactedRevision && (kept >= maxRecords || size > keepTailBytes) {
			break
		}
		kept++
	}
	next.Tail = append([]Record(nil), h.Tail[len(h.Tail)-kept:]...)
	return &next
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

// ReadHead reads the head and its object version. If the head doesn't exist yet, it returns an empty
// one.
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
