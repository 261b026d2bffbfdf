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

// attempts bounds the conditional updates of one submission.
const attempts = 32

// settleFor bounds the read back after a lost answer, also when the caller has gone meanwhile.
const settleFor = 3 * time.Second

// Acceptor accepts tickets. Its fields are set before first use; it is safe for concurrent use.
type Acceptor struct {
	Store sageobject.Store
	// Now gives the instant that is recorded as accepted_at; nil means time.Now.
	Now func() time.Time
	// Base, if set, gives a complete configuration and its revision, which must not be changed. A
	// base that the head's tail reaches back to saves reading the shards.
	BaseState func() (revision uint64, s *sageconfig.State)
	// Remember bounds the past numbers that a shard remembers; 0 means DefaultRemember.
	MaxSummariesPerShard int
	// Keep bounds the records that a fold leaves in the tail; 0 means DefaultKeep.
	KeepRecords int
}

// Accepted tells about an accepted ticket.
type Accepted struct {
	Number     uint64    `json:"number"`
	Digest     string    `json:"digest"`
	Revision   uint64    `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Repeated: the same ticket had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// view is what one attempt to accept a ticket goes by.
type view struct {
	head    *Head
	version int64
	state   *sageconfig.State
	past    Summary
	known   bool
}

func (a *Acceptor) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

// Submit accepts t by one conditional update of the head. The error wraps one of this package's, or
// sageconfig's ErrBadTicket, ErrReference or ErrNoUpstream.
//
// When the answer of the update is lost, the update may have taken effect, or may do so still. The
// head is read again: if it holds the ticket the submission succeeded. If it doesn't, the update is
// repeated, which is safe: the repeat either wins, or fails because the head's version moved on, and
// then the first update can't take effect any more. Until one of the two is known, the outcome is
// unknown, also when the repeat itself is refused by a store that has gone away meanwhile: the first
// update may have landed before.
func (a *Acceptor) Submit(ctx context.Context, t *sageconfig.Ticket) (Accepted, error) {
	if err := checkTicket(t); err != nil {
		return Accepted{}, fmt.Errorf("submit: %w", err)
	}
	digest := t.Digest()
	unsure := false
	var last error
	for range attempts {
		acc, lost, err := a.attempt(ctx, t, digest)
		last = err
		switch {
		case err == nil:
			return acc, nil
		case lost && !unsure:
			unsure = true
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), settleFor)
			defer cancel()
		case lost, errors.Is(err, sageobject.ErrConflict):
		case verdict(err):
			return Accepted{}, fmt.Errorf("submit ticket %d: %w", t.Number, err)
		case unsure:
			return Accepted{}, fmt.Errorf("submit ticket %d: %v: %w", t.Number, err, ErrOutcomeUnknown)
		default:
			return Accepted{}, fmt.Errorf("submit ticket %d: %v: %w", t.Number, err, ErrNotAccepted)
		}
	}
	if unsure {
		return Accepted{}, fmt.Errorf("submit ticket %d: gave up: %v: %w", t.Number, last, ErrOutcomeUnknown)
	}
	return Accepted{}, fmt.Errorf("submit ticket %d: gave up: %v: %w", t.Number, last, ErrNotAccepted)
}

// verdict reports whether err says about the ticket itself, not about the store. Such a verdict
// also settles an earlier lost update: it differs from the verdict before that update, so the head
// has moved on without the ticket.
func verdict(err error) bool {
	for _, e := range []error{ErrContentMismatch, ErrSuperseded, ErrTooOld, sageconfig.ErrUnknownReference, sageconfig.ErrNoUpstream} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func checkTicket(t *sageconfig.Ticket) error {
	if err := t.Check(); err != nil {
		return err
	}
	b, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("ticket %d: %v: %w", t.Number, err, sageconfig.ErrInvalidTicket)
	}
	if len(b) > sageconfig.MaxTicketBytes {
		return fmt.Errorf("ticket %d of %d bytes (at most %d): %w", t.Number, len(b), sageconfig.MaxTicketBytes, sageconfig.ErrInvalidTicket)
	}
	return nil
}

// attempt reads, judges and tries one conditional update. lost says that the update's outcome is
// not known.
func (a *Acceptor) attempt(ctx context.Context, t *sageconfig.Ticket, digest string) (acc Accepted, lost bool, err error) {
	v, err := a.view(ctx, t.Number)
	if err != nil {
		return Accepted{}, false, err
	}
	if v.known {
		if v.past.Digest != digest {
			return Accepted{}, false, fmt.Errorf("accepted at revision %d: %w", v.past.Revision, ErrContentMismatch)
		}
		return Accepted{
			Number: t.Number, Digest: digest, Revision: v.past.Revision, AcceptedAt: v.past.AcceptedAt, Repeated: true,
		}, false, nil
	}
	if err := judge(v, t); err != nil {
		return Accepted{}, false, err
	}
	r := Record{Revision: v.head.Revision + 1, Digest: digest, AcceptedAt: a.now().UTC(), Ticket: t}
	value, err := v.head.append(r).encode()
	if err != nil {
		return Accepted{}, false, err
	}
	if len(value) > maxHeadBytes {
		if err := a.Compact(ctx); err != nil {
			return Accepted{}, false, fmt.Errorf("make room: %w", err)
		}
		return Accepted{}, false, sageobject.ErrConflict
	}
	if _, err := a.Store.Put(ctx, HeadKey, value, v.version); err != nil {
		return Accepted{}, !nothingWritten(err), fmt.Errorf("update head: %w", err)
	}
	return Accepted{Number: t.Number, Digest: digest, Revision: r.Revision, AcceptedAt: r.AcceptedAt}, false, nil
}

// nothingWritten reports whether a failed put certainly had no effect. Any other error, such as a
// context's, leaves the outcome open.
func nothingWritten(err error) bool {
	return errors.Is(err, sageobject.ErrConflict) || errors.Is(err, sageobject.ErrUnavailable) ||
		errors.Is(err, sageobject.ErrTooLarge) || errors.Is(err, sageobject.ErrNotFound)
}

// view reads what judges a ticket of that number: the head, the state at the head's revision, and
// what is remembered of the number.
func (a *Acceptor) view(ctx context.Context, number uint64) (*view, error) {
	h, version, err := ReadHead(ctx, a.Store)
	if err != nil {
		return nil, err
	}
	s, ok, err := a.fromBase(h)
	if err != nil {
		return nil, err
	}
	if !ok {
		l, err := Load(ctx, a.Store)
		if err != nil {
			return nil, err
		}
		h, version, s = l.Head, l.Version, l.State
	}
	v := &view{head: h, version: version, state: s}
	if r, ok := h.Find(number); ok {
		v.past, v.known = SummaryOf(r), true
		return v, nil
	}
	// Read after the head: a record that has left the tail was in its shard before.
	sh, _, err := readShard(ctx, a.Store, shardOfNumber(number))
	if err != nil {
		return nil, err
	}
	v.past, v.known = sh.find(number)
	return v, nil
}

// fromBase returns the state at the head's revision from the base and the tail, if there is a base
// that the tail reaches back to.
//
// A base above the head is that of a ticket accepted since the head was read; the next attempt reads
// that head. If it stays above, the store was put back to an old copy. A ticket accepted there would
// get a revision that the nodes passed long ago, and would come into force nowhere.
func (a *Acceptor) fromBase(h *Head) (s *sageconfig.State, ok bool, err error) {
	if a.BaseState == nil {
		return sageconfig.NewState(), h.Revision == 0, nil
	}
	rev, s := a.BaseState()
	if rev > h.Revision {
		return nil, false, fmt.Errorf("head at revision %d, this node at %d: %w", h.Revision, rev, sageobject.ErrConflict)
	}
	rs, ok := h.RecordsSince(rev)
	if !ok {
		return nil, false, nil
	}
	if len(rs) > 0 {
		s = s.Clone()
		applyTail(s, rs)
	}
	return s, true, nil
}

// judge reports why a ticket whose number is not known can't be accepted.
func judge(v *view, t *sageconfig.Ticket) error {
	for i := range t.Changes {
		th := t.Changes[i].Key
		if have := v.state.TicketNumber(th); have >= t.Number {
			return fmt.Errorf("%s holds number %d: %w", th, have, ErrSuperseded)
		}
	}
	if t.Number <= v.head.Floor {
		return fmt.Errorf("numbers up to %d: %w", v.head.Floor, ErrTooOld)
	}
	after := v.state.Clone()
	after.ApplyTicket(t)
	if err := after.CheckReferences(t); err != nil {
		return err
	}
	if t.Force {
		return nil
	}
	before := v.state.WithoutUpstream()
	for th := range after.WithoutUpstream() {
		if !before[th] {
			return fmt.Errorf("%s (send it with force to accept this): %w", th, sageconfig.ErrNoUpstream)
		}
	}
	return nil
}
