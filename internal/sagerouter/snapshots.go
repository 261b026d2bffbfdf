package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the snapshots of open streams in the store.
const (
	// snapshotInterval is the least time between two writes of a node, snapshotSpacing that between two writes of the fleet.
	snapshotInterval = 50 * time.Millisecond
	snapshotSpacing  = 5 * time.Millisecond
	// snapshotSpacingPerRecord keeps the encoding of the records below a hundredth of a processor.
	snapshotSpacingPerRecord = 250 * time.Microsecond
	// snapshotCheck is the time after which streams are looked for that needed no record when they began.
	snapshotCheck = 250 * time.Millisecond
	// snapshotRefresh is the least time between two writes if no stream has begun. A record of a stream that has ended does no harm.
	snapshotRefresh = 2 * time.Second
	// snapshotRetry is the least time between a call that failed and the next one.
	snapshotRetry   = 250 * time.Millisecond
	snapshotTimeout = time.Second
)

// snapshotKeeper keeps the records of this node's open streams in the store while their services have several versions.
// Exported fields are set before Run.
type snapshotKeeper struct {
	Kind string
	// Name is the name of the object of this start of the node: what it wrote before stays until it has been recovered.
	Name  string
	Store Store
	// Open returns the records of the open streams that need one.
	Open func() []sageorigin.Record
	// Nodes returns the number of nodes.
	Nodes func() int
	// Began has a value when a stream that needs a record has begun since the last write.
	Began chan struct{}
	Log   sagelog.Logger
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant

	created   bool                    // the object exists
	written   map[sageorigin.Key]bool // keys in the last snapshot; nil if it isn't known to be in the store
	writtenAt sageclock.Instant
	nextAt    sageclock.Instant // earliest time of the next write
}

func (k *snapshotKeeper) now() sageclock.Instant {
	if k.Now != nil {
		return k.Now()
	}
	return sageclock.Now()
}

// Run works until ctx ends.
func (k *snapshotKeeper) Run(ctx context.Context) error {
	for k.wait(ctx) {
		if err := k.save(ctx); err != nil && ctx.Err() == nil {
			k.Log.Limited(sagelog.KindStateChange, "Records of open streams not kept.", "err", err)
		}
	}
	return nil
}

// wait waits until a snapshot may have to be written; false if ctx ended.
func (k *snapshotKeeper) wait(ctx context.Context) bool {
	check := time.NewTimer(snapshotCheck)
	defer check.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-k.Began:
	case <-check.C:
	}
	return sageclock.Sleep(ctx, k.nextAt.Sub(k.now()))
}

// began says that a stream that needs a record has begun.
func (k *snapshotKeeper) began() {
	select {
	case k.Began <- struct{}{}:
	default: // already said
	}
}

// save writes the records of the open streams, unless the last snapshot has them.
func (k *snapshotKeeper) save(ctx context.Context) error {
	now, records := k.now(), k.Open()
	keys, saved := make(map[sageorigin.Key]bool, len(records)), true
	for _, r := range records {
		keys[r.Key] = true
		saved = saved && k.written[r.Key]
	}
	if saved && (len(keys) == len(k.written) || now.Sub(k.writtenAt) < snapshotRefresh) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	interval := max(snapshotInterval, time.Duration(k.Nodes())*snapshotSpacing, time.Duration(len(records))*snapshotSpacingPerRecord)
	if err := k.write(ctx, records); err != nil {
		k.created, k.written = false, nil // it may have been deleted
		k.nextAt = k.now().Add(max(snapshotRetry, interval))
		return err
	}
	k.written, k.writtenAt = keys, now
	k.nextAt = k.now().Add(interval)
	return nil
}

// write writes the records, and creates the object if needed.
func (k *snapshotKeeper) write(ctx context.Context, records []sageorigin.Record) error {
	if !k.created {
		if _, err := k.Store.Create(ctx, k.Kind, k.Name, json.RawMessage(`{}`)); err != nil {
			return fmt.Errorf("create: %w", err)
		}
		k.created = true
	}
	s := sageorigin.NewSnapshot(k.now(), records)
	b, err := json.Marshal(&s)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := k.Store.SetStatus(ctx, k.Kind, k.Name, 0, b); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
