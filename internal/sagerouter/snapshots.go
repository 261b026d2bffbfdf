package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the snapshots of streams in the store.
const (
	// snapshotInterval is the least time between two writes of a node, snapshotSpacing that between two writes of the fleet.
	snapshotInterval = 50 * time.Millisecond
	snapshotSpacing  = 5 * time.Millisecond
	// snapshotSpacingPerRecord keeps the encoding of the records below a tenth of a processor.
	snapshotSpacingPerRecord = 25 * time.Microsecond
	// snapshotRetry is the least time between a call that failed and the next one.
	snapshotRetry   = 250 * time.Millisecond
	snapshotTimeout = time.Second
	// snapshotExtension is by how much later a record has to end to be written again. The ends of the attempts of one caller differ by
	// delays on the way.
	snapshotExtension = time.Second
)

// Limits of what a node saves.
const (
	// maxWriters is the number of nodes that save records for all, the first ones by rank.
	maxWriters = int(snapshotInterval / snapshotSpacing)
	// segmentRecords is the number of records from which on a segment takes no more.
	segmentRecords = 128
	// maxPending limits the records that wait to be written, so that a segment takes them all.
	maxPending = sageorigin.MaxSnapshotRecords - segmentRecords
	// maxSegments limits the objects of a node. Beyond it, the oldest segment is replaced.
	maxSegments = 512
)

// snapshotKeeper saves the records of streams in the store while their services have several versions, so that they outlive all nodes.
// Exported fields are set before Run.
//
// Records are appended to segments, one object each, so that a write costs no more if many streams are open. A segment is replaced
// when all its records have ended.
type snapshotKeeper struct {
	Kind string
	// Name begins the names of the objects of this start of the node: what it wrote before stays until it has been recovered.
	Name  string
	Store Store
	// Writers returns the number of nodes that save records.
	Writers func() int
	Log     sagelog.Logger
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant

	mu      sync.Mutex
	pending []sageorigin.Record
	// until holds when the records end that are pending or in a segment.
	until map[sageorigin.Key]sageclock.Instant
	wake  chan struct{} // has a value if records are pending

	// The fields from here on are used by Run only.
	segments []*segment
	current  int
	nextAt   sageclock.Instant // earliest time of the next write
}

// segment is an object with records.
type segment struct {
	name    string
	number  int
	created bool // the object exists until its records have ended, when a recovery may delete it
	records []sageorigin.Record
	until   sageclock.Instant // when the last of the records ends
	// encodedAt is when the records were last encoded, from which the time counts that is left to them; 0 if that wasn't done yet.
	encodedAt sageclock.Instant
}

// newSnapshotKeeper returns a keeper of records.
func newSnapshotKeeper(kind, name string, store Store, writers func() int, log sagelog.Logger) *snapshotKeeper {
	return &snapshotKeeper{
		Kind: kind, Name: name, Store: store, Writers: writers, Log: log,
		until: make(map[sageorigin.Key]sageclock.Instant), wake: make(chan struct{}, 1),
	}
}

func (k *snapshotKeeper) now() sageclock.Instant {
	if k.Now != nil {
		return k.Now()
	}
	return sageclock.Now()
}

// Save has records written that aren't saved yet. It doesn't wait.
func (k *snapshotKeeper) Save(records []sageorigin.Record) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	dropped := 0
	if len(k.pending)+len(records) > maxPending {
		k.forgetEnded(now)
	}
	for _, r := range records {
		switch {
		case !k.isNew(now, r):
		case len(k.pending) >= maxPending:
			dropped++
		default:
			k.until[r.Key] = r.Until
			k.pending = append(k.pending, r)
		}
	}
	if dropped > 0 {
		k.Log.Limited(sagelog.KindStateChange, "Records of open streams dropped.", "dropped", dropped, "pending", len(k.pending))
	}
	k.notify()
}

// forgetEnded leaves out the pending records that have ended. The caller holds mu.
func (k *snapshotKeeper) forgetEnded(now sageclock.Instant) {
	k.pending = slices.DeleteFunc(k.pending, func(r sageorigin.Record) bool {
		if r.Until > now {
			return false
		}
		delete(k.until, r.Key)
		return true
	})
}

// isNew reports whether a record has to be written that is neither pending nor in a segment. The caller holds mu.
func (k *snapshotKeeper) isNew(now sageclock.Instant, r sageorigin.Record) bool {
	return r.Until > now && r.Until > k.until[r.Key].Add(snapshotExtension) && r.Origin.Version != "" && r.Origin.Check() == nil
}

// Forget leaves out the record of a stream that has ended before it was written.
func (k *snapshotKeeper) Forget(key sageorigin.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.pending)
	k.pending = slices.DeleteFunc(k.pending, func(r sageorigin.Record) bool { return r.Key == key })
	if len(k.pending) < n {
		delete(k.until, key)
	}
}

// notify wakes Run if records are pending. The caller holds mu.
func (k *snapshotKeeper) notify() {
	if len(k.pending) == 0 {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default: // already pending
	}
}

// Run works until ctx ends.
func (k *snapshotKeeper) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		}
		if !sageclock.Sleep(ctx, k.nextAt.Sub(k.now())) {
			return nil
		}
		if err := k.save(ctx); err != nil && ctx.Err() == nil {
			k.Log.Limited(sagelog.KindStateChange, "Records of open streams not kept.", "err", err)
		}
	}
}

// save writes the pending records. If that fails, they stay pending.
func (k *snapshotKeeper) save(ctx context.Context) error {
	records := k.takePending()
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s := k.segment(k.now())
	n := len(s.records)
	s.records = append(s.records, records...)
	interval := max(snapshotInterval, time.Duration(k.Writers())*snapshotSpacing, time.Duration(len(s.records))*snapshotSpacingPerRecord)
	if err := k.write(ctx, s); err != nil {
		s.created = false // it may have been deleted
		s.records = s.records[:n]
		k.putBack(records)
		k.nextAt = k.now().Add(max(snapshotRetry, interval))
		return err
	}
	for _, r := range records {
		s.until = max(s.until, r.Until)
	}
	k.nextAt = k.now().Add(interval)
	return nil
}

// takePending returns the pending records that a segment takes.
func (k *snapshotKeeper) takePending() []sageorigin.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := min(maxPending, len(k.pending))
	out := k.pending[:n:n]
	k.pending = k.pending[n:]
	k.notify()
	return out
}

// putBack makes records pending again that could not be written.
func (k *snapshotKeeper) putBack(records []sageorigin.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(records, k.pending...)
	k.notify()
}

// segment returns the segment to which records are appended.
func (k *snapshotKeeper) segment(now sageclock.Instant) *segment {
	if len(k.segments) > 0 && len(k.segments[k.current].records) < segmentRecords {
		return k.segments[k.current]
	}
	// Segments are filled in turn, so that the next one is the oldest.
	next := 0
	if len(k.segments) > 0 {
		next = (k.current + 1) % len(k.segments)
	}
	if len(k.segments) == 0 || len(k.segments) < maxSegments && now < k.segments[next].until {
		next = k.current + min(1, len(k.segments))
		s := &segment{name: segmentName(k.Name, len(k.segments)), number: len(k.segments)}
		k.segments = append(k.segments[:next], append([]*segment{s}, k.segments[next:]...)...)
	}
	k.current = next
	s := k.segments[next]
	k.forget(s.records)
	s.records, s.until = nil, 0
	return s
}

// forget forgets records that are no longer in a segment.
func (k *snapshotKeeper) forget(records []sageorigin.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if k.until[r.Key] == r.Until {
			delete(k.until, r.Key)
		}
	}
}

// write writes a segment, and creates the object if it may not exist.
func (k *snapshotKeeper) write(ctx context.Context, s *segment) error {
	now := k.now()
	if !s.created || now >= s.until {
		if _, err := k.Store.Create(ctx, k.Kind, s.name, json.RawMessage(`{}`)); err != nil {
			return fmt.Errorf("create: %w", err)
		}
	}
	s.encodedAt = now
	snapshot := sageorigin.NewSnapshot(now, s.records)
	snapshot.Ages = k.ages(now, s)
	b, err := json.Marshal(&snapshot)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := k.Store.SetStatus(ctx, k.Kind, s.name, 0, b); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	s.created = true
	return nil
}
