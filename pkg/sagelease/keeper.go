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
	// ErrNotHeld: another node holds the lease, or this node's has too little time left.
	ErrNotHeld = errors.New("lease not held")
	// ErrTooEarly: the lease is held, but acts of an earlier holder may still be on their way.
	ErrTooEarly = errors.New("lease held too recently")
	// ErrBadLease reports a malformed lease object.
	ErrBadLease = errors.New("malformed lease")
)

// driftDivisor allows for clocks that differ in speed by one part in this many.
const driftDivisor = 50

// Lease is the value of a lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Fencing grows with each change of holder.
	Fencing uint64 `json:"fencing"`
	// Write names the write that made this value, so that its writer recognizes it.
	WriteID string `json:"write"`
	// Until is the end of the lease by its writer's clock, for people to read.
	Until time.Time `json:"until"`
}

// Check reports a missing field, wrapped around [ErrBadLease].
func (l *Lease) Check() error {
	if l.Holder == "" || l.Fencing == 0 || l.WriteID == "" {
		return fmt.Errorf("lease without holder, fencing or write: %w", ErrBadLease)
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

// Elector takes and keeps one lease for one process. Exported fields are set before first use.
type Elector struct {
	Store sageobject.Store
	Key   string
	// Holder is unique to this start of the process.
	Holder string
	Term   time.Duration
	// Margin is how long before the end of the lease the holder stops acting.
	Margin time.Duration
	// LongestDelay is how long after it was sent an act may take effect at the latest.
	MaxDeliveryDelay time.Duration

	mu       sync.Mutex
	writes   uint64
	held     Lease
	until    time.Time
	since    time.Time
	seen     Lease
	seenAt   time.Time
	seenVers int64
}

// Pause returns how long to wait between two steps.
func (k *Elector) RenewInterval() time.Duration { return k.Term / 4 }

// Step renews the lease, or takes it if nobody renewed it for a term. It returns nil also when
// another node holds the lease.
func (k *Elector) AcquireOrRenew(ctx context.Context) error {
	o, err := k.Store.Get(ctx, k.Key)
	if errors.Is(err, sageobject.ErrNotFound) {
		return k.write(ctx, sageobject.NoVersion, 1)
	}
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	l, err := DecodeLease(o.Value)
	if err != nil {
		return err
	}
	now := time.Now()
	k.mu.Lock()
	if o.Version != k.seenVers {
		k.seen, k.seenVers, k.seenAt = l, o.Version, now
	}
	seenAt, mine := k.seenAt, l.Holder == k.Holder && l.Fencing == k.held.Fencing
	k.mu.Unlock()
	switch {
	case mine:
		return k.write(ctx, o.Version, l.Fencing)
	case now.Sub(seenAt) > k.Term+k.Term/driftDivisor:
		return k.write(ctx, o.Version, l.Fencing+1)
	}
	return nil
}

// write writes the lease with this process as its holder.
//
// The lease counts from before the write: the store may have taken it at any instant until the
// answer, and a successor counts from when it sees it, which is later.
func (k *Elector) write(ctx context.Context, version int64, fencing uint64) error {
	now := time.Now()
	k.mu.Lock()
	k.writes++
	l := Lease{Holder: k.Holder, Fencing: fencing, WriteID: fmt.Sprintf("%s-%d", k.Holder, k.writes), Until: now.Add(k.Term).UTC()}
	k.mu.Unlock()
	b, err := json.Marshal(&l)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	_, err = k.Store.Put(ctx, k.Key, b, version)
	if errors.Is(err, sageobject.ErrUnknown) {
		err = k.readBack(ctx, &l)
	}
	if errors.Is(err, sageobject.ErrConflict) {
		return nil // somebody else was faster; the next step sees who
	}
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held.Fencing != fencing {
		k.since = now
	}
	k.held, k.until = l, now.Add(k.Term)
	return nil
}

// readBack settles a write whose answer was lost, by its own name. A write not found may still
// arrive; then this process holds a lease that it doesn't act on, until the next step sees it.
func (k *Elector) readBack(ctx context.Context, l *Lease) error {
	o, err := k.Store.Get(ctx, k.Key)
	if err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	got, err := DecodeLease(o.Value)
	if err != nil {
		return err
	}
	if got.WriteID != l.WriteID {
		return fmt.Errorf("read back: %w", sageobject.ErrConflict)
	}
	return nil
}

// Permit is the right to act, to be used before Until.
type Permit struct {
	Fencing uint64
	Until   time.Time
}

// Permit returns the right to act at now towards one who checks fencing numbers or not.
func (k *Elector) Permit(now time.Time, checksFencing bool) (Permit, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until := k.until.Add(-k.Margin)
	if k.held.Fencing == 0 || !before(now, until) {
		return Permit{}, ErrNotHeld
	}
	// The earlier holder stopped sending a margin before its end; what it sent arrives at most
	// LongestDelay later. Its end lies before the start of this lease, for it was waited out.
	if !checksFencing && before(now, k.since.Add(k.MaxDeliveryDelay)) {
		return Permit{}, ErrTooEarly
	}
	return Permit{Fencing: k.held.Fencing, Until: until}, nil
}

// Drop gives up acting on the lease, as when a higher fencing number was met.
func (k *Elector) Relinquish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held, k.until = Lease{}, time.Time{}
}

// before reports whether a is before b both by the monotonic clock and by the wall clock. The
// monotonic clock stands still while a virtual machine is suspended, the wall clock can be set back;
// a lease ends when either says so.
func before(a, b time.Time) bool { return a.Before(b) && a.Round(0).Before(b.Round(0)) }
