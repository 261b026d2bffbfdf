package sagelease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageobject"
)

// Errors of this package.
var (
	// ErrNotHeld: another node holds the lease, or this node's lease has ended or ends within the
	// margin.
	ErrNotHeld = errors.New("lease not held")
	// ErrTooEarly: the lease is held, but actions of an earlier holder may still arrive.
	ErrTooEarly = errors.New("lease held too recently")
	// ErrBadLease reports a malformed lease object.
	ErrBadLease = errors.New("malformed lease")
)

// driftDivisor allows for clocks whose speeds differ by one part in this many.
const driftDivisor = 50

// Lease is the value of a lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Fencing is the fencing number. It grows with each change of holder.
	Fencing uint64 `json:"fencing"`
	// WriteID identifies the write of this value, so that its writer recognizes it.
	WriteID string `json:"write"`
	// Until is the end of the lease by its writer's clock. It is only for operators to read.
	Until time.Time `json:"until"`
}

// Check returns an error that wraps [ErrBadLease] if a required field is missing.
func (l *Lease) Check() error {
	if l.Holder == "" || l.Fencing == 0 || l.WriteID == "" {
		return fmt.Errorf("lease without holder, fencing number or write ID: %w", ErrBadLease)
	}
	return nil
}

// DecodeLease decodes and checks a lease object.
func DecodeLease(b []byte) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(b, &l); err != nil {
		return Lease{}, fmt.Errorf("decode lease: %v: %w", err, ErrBadLease)
	}
	if err := l.Check(); err != nil {
		return Lease{}, fmt.Errorf("decode lease: %w", err)
	}
	return l, nil
}

// Elector acquires and renews one lease for one process. Exported fields are set before first use.
type Elector struct {
	Store sageobject.Store
	Key   string
	// Holder identifies the holder. It is unique to this start of the process.
	Holder string
	Term   time.Duration
	// Margin is how long before the end of the lease the holder stops acting.
	Margin time.Duration
	// MaxDeliveryDelay is how long after it was sent an action takes effect at the latest.
	MaxDeliveryDelay time.Duration

	mu              sync.Mutex
	writeCount      uint64
	held            Lease
	heldUntil       time.Time
	heldSince       time.Time
	observed        Lease
	observedAt      time.Time
	observedVersion int64
}

// RenewInterval returns how long to wait between two calls of AcquireOrRenew.
func (e *Elector) RenewInterval() time.Duration { return e.Term / 4 }

// AcquireOrRenew renews the lease, or acquires it if it has not been renewed for a term. It also
// returns nil if another node holds the lease.
func (e *Elector) AcquireOrRenew(ctx context.Context) error {
	o, err := e.Store.Get(ctx, e.Key)
	if errors.Is(err, sageobject.ErrNotFound) {
		return e.putLease(ctx, sageobject.NoVersion, 1)
	}
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	l, err := DecodeLease(o.Value)
	if err != nil {
		return err
	}
	now := time.Now()
	e.mu.Lock()
	if o.Version != e.observedVersion {
		e.observed, e.observedVersion, e.observedAt = l, o.Version, now
	}
	observedAt, mine := e.observedAt, l.Holder == e.Holder && l.Fencing == e.held.Fencing
	e.mu.Unlock()
	switch {
	case mine:
		return e.putLease(ctx, o.Version, l.Fencing)
	case now.Sub(observedAt) > e.Term+e.Term/driftDivisor:
		return e.putLease(ctx, o.Version, l.Fencing+1)
	}
	return nil
}

// putLease writes the lease with this process as its holder.
//
// The lease counts from before the write: the store may have applied it at any time before the answer,
// and a successor counts from when it observes it, which is later.
func (e *Elector) putLease(ctx context.Context, version int64, fencing uint64) error {
	now := time.Now()
	e.mu.Lock()
	e.writeCount++
	l := Lease{Holder: e.Holder, Fencing: fencing, WriteID: fmt.Sprintf("%s-%d", e.Holder, e.writeCount), Until: now.Add(e.Term).UTC()}
	e.mu.Unlock()
	b, err := json.Marshal(&l)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	_, err = e.Store.Put(ctx, e.Key, b, version)
	if errors.Is(err, sageobject.ErrUnknown) {
		err = e.verifyWrite(ctx, &l)
	}
	if errors.Is(err, sageobject.ErrConflict) {
		return nil // another node wrote first; the next call reads its lease
	}
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held.Fencing != fencing {
		e.heldSince = now
	}
	e.held, e.heldUntil = l, now.Add(e.Term)
	return nil
}

// verifyWrite finds out by its ID whether a write whose answer was lost has taken effect. A write that
// isn't found may still take effect later. This process then holds a lease on which it doesn't act
// until a later call renews or acquires it.
func (e *Elector) verifyWrite(ctx context.Context, l *Lease) error {
	o, err := e.Store.Get(ctx, e.Key)
	if err != nil {
		return fmt.Errorf("verify lease write: %w", err)
	}
	got, err := DecodeLease(o.Value)
	if err != nil {
		return err
	}
	if got.WriteID != l.WriteID {
		return fmt.Errorf("verify lease write: %w", sageobject.ErrConflict)
	}
	return nil
}

// Permit is the right to act, which must be used before Until.
type Permit struct {
	Fencing uint64
	Until   time.Time
}

// Permit returns the right to act at now; checksFencing says whether the receiver checks fencing
// numbers.
func (e *Elector) Permit(now time.Time, checksFencing bool) (Permit, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := e.heldUntil.Add(-e.Margin)
	if e.held.Fencing == 0 || !before(now, until) {
		return Permit{}, ErrNotHeld
	}
	// The earlier holder stopped sending a margin before its lease ended, and what it sent takes effect
	// at most MaxDeliveryDelay later. Its lease ended before this one began, because this node waited
	// for that.
	if !checksFencing && before(now, e.heldSince.Add(e.MaxDeliveryDelay)) {
		return Permit{}, ErrTooEarly
	}
	return Permit{Fencing: e.held.Fencing, Until: until}, nil
}

// Relinquish stops acting on the lease, for instance because a higher fencing number was seen. It
// doesn't change the lease in the store.
func (e *Elector) Relinquish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.heldUntil = Lease{}, time.Time{}
}

// before reports whether a is before b by both the monotonic clock and the wall clock. The monotonic
// clock stops while a VM is suspended, and the wall clock can be set back; a lease ends when either
// clock says so.
func before(a, b time.Time) bool { return a.Before(b) && a.Round(0).Before(b.Round(0)) }
