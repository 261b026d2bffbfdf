package sagesync

import (
	"cmp"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageticket"
)

// SectionName is the name of the section in the anti-entropy exchange.
const SectionName = "config"

// maxSkew is how far ahead of the own clock evidence may be. Evidence from a clock that runs ahead
// would let nodes count as fresh for too long, so what exceeds it is not taken.
const maxSkew = time.Second

// DefaultMaxTail and maxTailBytes bound the records kept for peers that are behind.
const (
	DefaultMaxTail = 128
	maxTailBytes   = 256 << 10
)

// maxPending bounds the remembered revisions that were heard of and are still lacking. Beyond it the
// newest takes the place, and the earlier instant, of the one before.
const maxPending = 64

// Snapshot is a complete configuration. It is never changed.
type Snapshot struct {
	Revision uint64
	State    *sageconfig.State
	// At is when this node took it into force.
	AppliedAt time.Time
}

// record is a record with its encoding.
type record struct {
	revision uint64
	ticket   *sageconfig.Ticket
	raw      json.RawMessage
}

// pending is a revision that was heard of, and when.
type pending struct {
	revision uint64
	since    time.Time
}

// Replica is one node's copy of the configuration. Its fields are set before first use; all methods
// are safe for concurrent use and do no I/O.
type Replica struct {
	Now func() time.Time
	// Tail bounds the records kept for peers that are behind; 0 means DefaultTail.
	MaxTail int
	// Roster names the nodes of which most must be in contact under the rule "quorum": the same on
	// all nodes, some dozen at most, since their instants go with every digest. Self is this node's
	// name. Without a roster only NoteQuorum counts.
	Roster []string
	Self   string

	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	tail        []record // consecutive, up to the current revision
	heard       uint64
	behind      []pending
	evidence    Evidence  // the newest
	confirmedAt time.Time // the newest whose revision this node has
	quorumAt    time.Time
	contacts    map[string]time.Time // by name in the roster, by that node's clock
	part        assembly
	copying     *stateCopy
	index       thingIndex
	changed     chan struct{}
}

// Current returns the served configuration; its revision is 0 before there is one.
func (r *Replica) Current() *Snapshot {
	if s := r.current.Load(); s != nil {
		return s
	}
	return &Snapshot{State: sageconfig.NewState()}
}

// Status returns what the node knows about its configuration, for [Rule.Evaluate].
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{
		Revision: r.Current().Revision, Observed: r.heard, ConfirmedAt: r.confirmedAt, QuorumAt: r.quorumAt,
	}
	if at := r.contact(); at.After(s.QuorumAt) {
		s.QuorumAt = at
	}
	if len(r.behind) > 0 {
		s.BehindSince = r.behind[0].since
	}
	return s
}

// Changed returns a channel that is closed when the served configuration changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// NoteQuorum notes an instant at which the node had contact to most of the roster.
func (r *Replica) RecordQuorum(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.quorumAt) {
		r.quorumAt = at
	}
}

// Hear notes that a revision exists.
func (r *Replica) Observe(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hear(revision)
}

func (r *Replica) hear(revision uint64) {
	if revision <= r.heard {
		return
	}
	r.heard = revision
	if revision <= r.Current().Revision {
		return
	}
	if n := len(r.behind); n == maxPending {
		r.behind[n-1].revision = revision
		return
	}
	r.behind = append(r.behind, pending{revision: revision, since: r.Now()})
}

// TakeHead brings in a head that was read or watched, asked for at the instant at. It reports false
// if the tail doesn't reach back to the own revision: the whole configuration must be loaded then.
func (r *Replica) ApplyHead(h *sageticket.Head, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hear(h.Revision)
	rs, ok := h.RecordsSince(r.Current().Revision)
	if !ok {
		return false
	}
	recs := make([]record, 0, len(rs))
	for i := range rs {
		recs = append(recs, record{revision: rs[i].Revision, ticket: rs[i].Ticket, raw: encode(&rs[i])})
	}
	r.applyRecords(recs)
	r.confirm(Evidence{Revision: h.Revision, At: at})
	return true
}

// TakeLoaded brings in a whole configuration that was read from the store, asked for at the
// instant at.
func (r *Replica) ApplyLoaded(l *sageticket.Loaded, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hear(l.Head.Revision)
	recs := make([]record, 0, len(l.Head.Tail))
	for i := range l.Head.Tail {
		t := &l.Head.Tail[i]
		recs = append(recs, record{revision: t.Revision, ticket: t.Ticket, raw: encode(t)})
	}
	r.publish(l.Head.Revision, l.State, recs)
	r.confirm(Evidence{Revision: l.Head.Revision, At: at})
}

// Confirm notes that the store was asked at the instant at and its newest revision was revision.
func (r *Replica) Confirm(revision uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(Evidence{Revision: revision, At: at})
}

// confirm takes evidence. Evidence about a higher revision than the own doesn't make the own state
// fresh, so it counts only once that revision is in force. Evidence about a lower one comes from a
// store copy that lags, and says nothing about now.
func (r *Replica) confirm(e Evidence) {
	r.hear(e.Revision)
	if e.At.After(r.Now().Add(maxSkew)) {
		return
	}
	if e.At.After(r.evidence.At) && e.Revision >= r.evidence.Revision {
		r.evidence = e
	}
	r.settle()
}

// settle moves confirmedAt up to the newest evidence if the own revision reaches it.
func (r *Replica) settle() {
	rev := r.Current().Revision
	if rev >= r.evidence.Revision && r.evidence.At.After(r.confirmedAt) {
		r.confirmedAt = r.evidence.At
	}
	kept := r.behind[:0]
	for _, p := range r.behind {
		if p.revision > rev {
			kept = append(kept, p)
		}
	}
	r.behind = kept
}

// applyRecords takes consecutive records into force, as far as they follow on the own revision.
func (r *Replica) applyRecords(recs []record) {
	cur := r.Current()
	next := cur.Revision + 1
	var take []record
	for _, rec := range recs {
		if rec.revision == next {
			take = append(take, rec)
			next++
		}
	}
	if len(take) == 0 {
		return
	}
	s := cur.State.Clone()
	for _, rec := range take {
		s.ApplyTicket(rec.ticket)
	}
	r.publish(next-1, s, append(r.tail, take...))
}

// publish replaces the served state by a complete one of a higher revision; tail ends with it. A
// lower revision is ignored: it would take a change back that has been in force here.
func (r *Replica) publish(revision uint64, s *sageconfig.State, tail []record) {
	if revision <= r.Current().Revision {
		return
	}
	r.current.Store(&Snapshot{Revision: revision, State: s, AppliedAt: r.Now()})
	r.heard = max(r.heard, revision)
	r.setTail(tail)
	if r.copying != nil && revision >= r.copying.ceiling {
		r.copying = nil
	}
	r.settle()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// setTail keeps the newest records within the bounds.
func (r *Replica) setTail(tail []record) {
	size, keep := 0, 0
	for i := len(tail) - 1; i >= 0 && keep < cmp.Or(r.MaxTail, DefaultMaxTail); i-- {
		size += len(tail[i].raw)
		if size > maxTailBytes && keep > 0 {
			break
		}
		keep++
	}
	r.tail = append([]record(nil), tail[len(tail)-keep:]...)
}

// decodeRecord decodes and checks an encoded record.
func decodeRecord(raw []byte) (record, error) {
	rec := new(sageticket.Record)
	if err := json.Unmarshal(raw, rec); err != nil {
		return record{}, fmt.Errorf("record: %v: %w", err, ErrBadDelta)
	}
	if err := rec.Check(); err != nil {
		return record{}, fmt.Errorf("record: %v: %w", err, ErrBadDelta)
	}
	return record{revision: rec.Revision, ticket: rec.Ticket, raw: append([]byte(nil), raw...)}, nil
}

// Find returns the record of a ticket number if it is among the newest, also during an outage of
// the store.
func (r *Replica) Find(number uint64) (*sageticket.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.tail {
		if r.tail[i].ticket.Number != number {
			continue
		}
		rec := new(sageticket.Record)
		err := json.Unmarshal(r.tail[i].raw, rec)
		return rec, err == nil
	}
	return nil, false
}
