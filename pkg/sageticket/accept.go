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

// maxAttempts is the greatest number of conditional updates of one operation.
const maxAttempts = 32

// readBackTimeout bounds the read back after a lost response. It continues if the caller's context
// ends.
const readBackTimeout = 3 * time.Second

// Acceptor accepts tickets. Set the fields before first use; the methods are safe for concurrent use.
type Acceptor struct {
	Store sageobject.Store
	// Now returns the time that is recorded as accepted_at; nil means time.Now.
	Now func() time.Time
	// BaseState, if not nil, returns a complete configuration and its revision. The state must not be
	// modified. If the tail of the head reaches back to that revision, the shards needn't be read.
	BaseState func() (revision uint64, s *sageconfig.State)
	// MaxSummariesPerShard bounds the ticket summaries in a shard; 0 means DefaultMaxSummariesPerShard.
	MaxSummariesPerShard int
	// KeepRecords bounds the number of records that a compaction leaves in the tail; 0 means
	// DefaultKeepRecords.
	KeepRecords int
}

// Accepted describes an accepted ticket.
type Accepted struct {
	Number     uint64    `json:"number"`
	Digest     string    `json:"digest"`
	Revision   uint64    `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Repeated reports that the same ticket had already been accepted.
	Repeated bool `json:"repeated,omitempty"`
}

// snapshot is the stored state that one attempt uses.
type snapshot struct {
	head    *Head
	version int64
	state   *sageconfig.State
	summary Summary
	found   bool
}

func (a *Acceptor) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

// Submit accepts t by a conditional update of the head. The error wraps one of this package, or
// ErrInvalidTicket, ErrUnknownReference or ErrNoUpstream of package sageconfig.
//
// If the response to the update is lost, the update may have taken effect or may do so later. Submit
// reads the head again. If the head contains the ticket, the submission succeeded. If not, the update
// is repeated, which is safe: either the repeated update succeeds, or it fails because the head's
// version has changed, and then the first update can't take effect any more. Until one of these is
// certain the outcome is unknown, even if the store becomes unavailable and rejects the repeated
// update: the first one may have taken effect.
func (a *Acceptor) Submit(ctx context.Context, t *sageconfig.Ticket) (Accepted, error) {
	if err := checkTicket(t); err != nil {
		return Accepted{}, fmt.Errorf("submit: %w", err)
	}
	digest := t.Digest()
	outcomeUnknown := false
	var lastErr error
	for range maxAttempts {
		accepted, responseLost, err := a.attempt(ctx, t, digest)
		lastErr = err
		switch {
		case err == nil:
			return accepted, nil
		case responseLost && !outcomeUnknown:
			outcomeUnknown = true
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
			defer cancel()
		case responseLost, errors.Is(err, sageobject.ErrConflict):
		case isRejection(err):
			return Accepted{}, fmt.Errorf("submit ticket %d: %w", t.Number, err)
		case outcomeUnknown:
			return Accepted{}, fmt.Errorf("submit ticket %d: %v: %w", t.Number, err, ErrOutcomeUnknown)
		default:
			return Accepted{}, fmt.Errorf("submit ticket %d: %v: %w", t.Number, err, ErrNotAccepted)
		}
	}
	if outcomeUnknown {
		return Accepted{}, fmt.Errorf("submit ticket %d: too many attempts: %v: %w", t.Number, lastErr, ErrOutcomeUnknown)
	}
	return Accepted{}, fmt.Errorf("submit ticket %d: too many attempts: %v: %w", t.Number, lastErr, ErrNotAccepted)
}

// isRejection reports whether err concerns the ticket rather than the store.
//
// After an update whose response was lost, a rejection also proves that the update has no effect: the
// ticket passed the same checks before that update, so the head has changed since, without the ticket,
// and the update's version condition fails.
func isRejection(err error) bool {
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

// attempt reads the stored state, checks the ticket and makes one conditional update. If outcomeUnknown
// is true, the update may have taken effect.
func (a *Acceptor) attempt(ctx context.Context, t *sageconfig.Ticket, digest string) (accepted Accepted, outcomeUnknown bool, err error) {
	snap, err := a.readSnapshot(ctx, t.Number)
	if err != nil {
		return Accepted{}, false, err
	}
	if snap.found {
		if snap.summary.Digest != digest {
			return Accepted{}, false, fmt.Errorf("accepted at revision %d: %w", snap.summary.Revision, ErrContentMismatch)
		}
		return Accepted{
			Number: t.Number, Digest: digest, Revision: snap.summary.Revision, AcceptedAt: snap.summary.AcceptedAt, Repeated: true,
		}, false, nil
	}
	if err := checkAgainst(snap, t); err != nil {
		return Accepted{}, false, err
	}
	record := Record{Revision: snap.head.Revision + 1, Digest: digest, AcceptedAt: a.now().UTC(), Ticket: t}
	value, err := snap.head.append(record).encode()
	if err != nil {
		return Accepted{}, false, err
	}
	if len(value) > maxHeadBytes {
		if err := a.Compact(ctx); err != nil {
			return Accepted{}, false, fmt.Errorf("compact full head: %w", err)
		}
		return Accepted{}, false, sageobject.ErrConflict
	}
	if _, err := a.Store.Put(ctx, HeadKey, value, snap.version); err != nil {
		return Accepted{}, !nothingWritten(err), fmt.Errorf("update head: %w", err)
	}
	return Accepted{Number: t.Number, Digest: digest, Revision: record.Revision, AcceptedAt: record.AcceptedAt}, false, nil
}

// nothingWritten reports whether err guarantees that a put had no effect. After any other error, such
// as one of the context, the outcome is unknown.
func nothingWritten(err error) bool {
	return errors.Is(err, sageobject.ErrConflict) || errors.Is(err, sageobject.ErrUnavailable) ||
		errors.Is(err, sageobject.ErrTooLarge) || errors.Is(err, sageobject.ErrNotFound)
}

// readSnapshot reads what is needed to check a ticket with that number: the head, the state at its
// revision, and the summary of an earlier ticket with the number.
func (a *Acceptor) readSnapshot(ctx context.Context, number uint64) (*snapshot, error) {
	head, version, err := ReadHead(ctx, a.Store)
	if err != nil {
		return nil, err
	}
	state, ok, err := a.fromBaseState(head)
	if err != nil {
		return nil, err
	}
	if !ok {
		loaded, err := Load(ctx, a.Store)
		if err != nil {
			return nil, err
		}
		head, version, state = loaded.Head, loaded.Version, loaded.State
	}
	snap := &snapshot{head: head, version: version, state: state}
	if r, ok := head.Find(number); ok {
		snap.summary, snap.found = SummaryOf(r), true
		return snap, nil
	}
	// Read the shard after the head: a record is written to its shard before it leaves the tail.
	shard, _, err := readShard(ctx, a.Store, shardOfNumber(number))
	if err != nil {
		return nil, err
	}
	snap.summary, snap.found = shard.find(number)
	return snap, nil
}

// fromBaseState returns the state at the head's revision, computed from BaseState and the tail. ok is
// false if there is no base state or the tail doesn't reach back to it.
//
// If the base state is newer than the head, a ticket was accepted after the head was read, and the next
// attempt reads the newer head. If it stays newer, the store was restored from an old copy. Accepting a
// ticket there would give it a revision that the nodes have already passed, so it would never come into
// force.
func (a *Acceptor) fromBaseState(h *Head) (state *sageconfig.State, ok bool, err error) {
	if a.BaseState == nil {
		return sageconfig.NewState(), h.Revision == 0, nil
	}
	revision, state := a.BaseState()
	if revision > h.Revision {
		return nil, false, fmt.Errorf("head at revision %d, this node at %d: %w", h.Revision, revision, sageobject.ErrConflict)
	}
	records, ok := h.RecordsSince(revision)
	if !ok {
		return nil, false, nil
	}
	if len(records) > 0 {
		state = state.Clone()
		applyTail(state, records)
	}
	return state, true, nil
}

// checkAgainst reports why a ticket with an unused number can't be accepted.
func checkAgainst(snap *snapshot, t *sageconfig.Ticket) error {
	for i := range t.Changes {
		key := t.Changes[i].Key
		if current := snap.state.TicketNumber(key); current >= t.Number {
			return fmt.Errorf("%s already has ticket number %d: %w", key, current, ErrSuperseded)
		}
	}
	if t.Number <= snap.head.Floor {
		return fmt.Errorf("floor is %d: %w", snap.head.Floor, ErrTooOld)
	}
	after := snap.state.Clone()
	after.ApplyTicket(t)
	if err := after.CheckReferences(t); err != nil {
		return err
	}
	if t.Force {
		return nil
	}
	before := snap.state.WithoutUpstream()
	for key := range after.WithoutUpstream() {
		if !before[key] {
			return fmt.Errorf("%s (set force to accept this): %w", key, sageconfig.ErrNoUpstream)
		}
	}
	return nil
}
