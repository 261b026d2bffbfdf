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

// maxSkew is how far ahead of the local clock evidence may be. Evidence from a clock that runs further
// ahead is ignored, because nodes would count as fresh for too long.
const maxSkew = time.Second

// DefaultMaxTail and maxTailBytes bound the records kept for peers that are behind.
const (
	DefaultMaxTail = 128
	maxTailBytes   = 256 << 10
)

// maxPending bounds the revisions that are recorded as observed but not yet held. When the bound is
// reached, a new revision replaces the last one and keeps its earlier instant.
const maxPending = 64

// Snapshot is a complete configuration. It is immutable.
type Snapshot struct {
	Revision uint64
	State    *sageconfig.State
	// AppliedAt is when this node began to serve it.
	AppliedAt time.Time
}

// record is a ticket record with its encoding.
type record struct {
	revision uint64
	ticket   *sageconfig.Ticket
	raw      json.RawMessage
}

// pendingRevision is a revision that this node doesn't hold yet, and when it was first observed.
type pendingRevision struct {
	revision uint64
	since    time.Time
}

// Replica is one node's copy of the configuration. Its fields are set before first use. All methods are
// safe for concurrent use and do no I/O.
type Replica struct {
	Now func() time.Time
	// MaxTail bounds the number of records kept for peers that are behind; 0 means DefaultMaxTail.
	MaxTail int
	// Roster names the nodes that form the quorum of [IsolatedQuorum]: a node must be in contact with a
	// majority of them. It is the same on all nodes and holds a dozen or so at most, because their
	// contacts are part of every digest. Self is this node's name. Without a roster only RecordQuorum
	// counts.
	Roster []string
	Self   string

	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	tail        []record // consecutive revisions, up to the current one
	observed    uint64
	pending     []pendingRevision
	evidence    Evidence  // the newest
	confirmedAt time.Time // the newest evidence whose revision this node holds
	quorumAt    time.Time
	contacts    map[string]time.Time // last contact by roster name, by that node's clock
	reassembly  reassembler
	transfer    *stateTransfer
	index       keyIndex
	changed     chan struct{}
}

// Current returns the served configuration. Before there is one, its revision is 0.
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
		Revision: r.Current().Revision, Observed: r.observed, ConfirmedAt: r.confirmedAt, QuorumAt: r.quorumAt,
	}
	if at := r.quorumContact(); at.After(s.QuorumAt) {
		s.QuorumAt = at
	}
	if len(r.pending) > 0 {
		s.BehindSince = r.pending[0].since
	}
	return s
}

// Changed returns a channel that is closed at the next change of the served configuration.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// RecordQuorum records an instant at which the node had contact with a majority of the roster.
func (r *Replica) RecordQuorum(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.quorumAt) {
		r.quorumAt = at
	}
}

// Observe records that a revision exists.
func (r *Replica) Observe(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(revision)
}

func (r *Replica) observe(revision uint64) {
	if revision <= r.observed {
		return
	}
	r.observed = revision
	if revision <= r.Current().Revision {
		return
	}
	if n := len(r.pending); n == maxPending {
		r.pending[n-1].revision = revision
		return
	}
	r.pending = append(r.pending, pendingRevision{revision: revision, since: r.Now()})
}

// ApplyHead applies a head that was read or watched; at is when it was requested. It returns false if
// the head's tail doesn't reach back to the local revision; the complete configuration must then be
// loaded.
func (r *Replica) ApplyHead(h *sageticket.Head, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(h.Revision)
	missing, ok := h.RecordsSince(r.Current().Revision)
	if !ok {
		return false
	}
	recs := make([]record, 0, len(missing))
	for i := range missing {
		recs = append(recs, record{revision: missing[i].Revision, ticket: missing[i].Ticket, raw: encode(&missing[i])})
	}
	r.applyRecords(recs)
	r.confirm(Evidence{Revision: h.Revision, At: at})
	return true
}

// ApplyLoaded applies a complete configuration that was read from the store; at is when it was
// requested.
func (r *Replica) ApplyLoaded(l *sageticket.Loaded, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(l.Head.Revision)
	recs := make([]record, 0, len(l.Head.Tail))
	for i := range l.Head.Tail {
		rec := &l.Head.Tail[i]
		recs = append(recs, record{revision: rec.Revision, ticket: rec.Ticket, raw: encode(rec)})
	}
	r.publish(l.Head.Revision, l.State, recs)
	r.confirm(Evidence{Revision: l.Head.Revision, At: at})
}

// Confirm records that the store was asked at the instant at and that its newest revision was revision.
func (r *Replica) Confirm(revision uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(Evidence{Revision: revision, At: at})
}

// confirm records evidence. Evidence about a higher revision than the local one counts only once that
// revision is applied, since the local state is not fresh until then. Evidence about a lower revision
// than already known is ignored, because it comes from a store replica that lags.
func (r *Replica) confirm(e Evidence) {
	r.observe(e.Revision)
	if e.At.After(r.Now().Add(maxSkew)) {
		return
	}
	if e.At.After(r.evidence.At) && e.Revision >= r.evidence.Revision {
		r.evidence = e
	}
	r.updateConfirmed()
}

// updateConfirmed advances confirmedAt to the newest evidence if the local revision has reached it, and
// removes the pending revisions that are now held.
func (r *Replica) updateConfirmed() {
	rev := r.Current().Revision
	if rev >= r.evidence.Revision && r.evidence.At.After(r.confirmedAt) {
		r.confirmedAt = r.evidence.At
	}
	remaining := r.pending[:0]
	for _, p := range r.pending {
		if p.revision > rev {
			remaining = append(remaining, p)
		}
	}
	r.pending = remaining
}

// applyRecords applies the records that continue the local revision without a gap.
func (r *Replica) applyRecords(recs []record) {
	cur := r.Current()
	next := cur.Revision + 1
	var applicable []record
	for _, rec := range recs {
		if rec.revision == next {
			applicable = append(applicable, rec)
			next++
		}
	}
	if len(applicable) == 0 {
		return
	}
	s := cur.State.Clone()
	for _, rec := range applicable {
		s.ApplyTicket(rec.ticket)
	}
	r.publish(next-1, s, append(r.tail, applicable...))
}

// publish replaces the served state by a complete state of a higher revision, with which tail ends. A
// lower revision is ignored, because it would undo a change that this node has already served.
func (r *Replica) publish(revision uint64, s *sageconfig.State, tail []record) {
	if revision <= r.Current().Revision {
		return
	}
	r.current.Store(&Snapshot{Revision: revision, State: s, AppliedAt: r.Now()})
	r.observed = max(r.observed, revision)
	r.setTail(tail)
	if r.transfer != nil && revision >= r.transfer.maxRevision {
		r.transfer = nil
	}
	r.updateConfirmed()
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
		return record{}, fmt.Errorf("decode record: %v: %w", err, ErrBadDelta)
	}
	if err := rec.Check(); err != nil {
		return record{}, fmt.Errorf("invalid record: %v: %w", err, ErrBadDelta)
	}
	return record{revision: rec.Revision, ticket: rec.Ticket, raw: append([]byte(nil), raw...)}, nil
}

// Find returns the record of a ticket number if it is among the newest. It also works during an outage
// of the store.
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
