package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
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

// recoveryTime is the time after its start within which a node gets what was recovered.
const recoveryTime = 4 * time.Second

// restoreDelays are the times after its start at which a node sends the records that were found in the store to their holders.
// Nodes that start at the same time discover each other meanwhile.
var restoreDelays = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}

// snapshotKeeper keeps the records of this node's open streams in the store while their services have several versions, and
// recovers those of all nodes after a loss of all. Exported fields are set before Run.
type snapshotKeeper struct {
	Kind string
	// Name is the name of the object of this start of the node: what it wrote before stays until it has been recovered.
	Name  string
	Store Store
	// Open returns the records of the open streams that need one.
	Open func() []sageorigin.Record
	// Restore takes recovered records and sends them to their holders.
	Restore func(records []sageorigin.Record)
	// Recovers reports whether this node recovers the records for all nodes.
	Recovers func() bool
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
	// recovered are the objects that were read, by name, with their revisions. Those that haven't changed since are deleted at
	// dropAt.
	recovered map[string]uint64
	dropAt    sageclock.Instant
}

func (k *snapshotKeeper) now() sageclock.Instant {
	if k.Now != nil {
		return k.Now()
	}
	return sageclock.Now()
}

// Run works until ctx ends.
func (k *snapshotKeeper) Run(ctx context.Context) error {
	var recovery sync.WaitGroup
	defer recovery.Wait()
	recovery.Go(func() {
		k.recover(ctx)
		k.dropRecovered(ctx)
	})
	for k.wait(ctx) {
		if err := k.save(ctx); err != nil && ctx.Err() == nil {
			k.Log.Limited(sagelog.KindStateChange, "Records of open streams not kept.", "err", err)
		}
	}
	return nil
}

// dropRecovered drops what was recovered when it is time.
func (k *snapshotKeeper) dropRecovered(ctx context.Context) {
	for len(k.recovered) > 0 && sageclock.Sleep(ctx, max(snapshotRetry, k.dropAt.Sub(k.now()))) {
		if err := k.drop(ctx); err != nil && ctx.Err() == nil {
			k.Log.Limited(sagelog.KindStateChange, "Recovered records not deleted.", "err", err)
		}
	}
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

// recover reads the records that nodes saved before all of them were lost, and sends them to their holders.
func (k *snapshotKeeper) recover(ctx context.Context) {
	var records []sageorigin.Record
	started, read := k.now(), false
	for _, delay := range restoreDelays {
		sageclock.Sleep(ctx, delay-k.now().Sub(started))
		if ctx.Err() != nil || !k.Recovers() {
			continue
		}
		if !read {
			var err error
			if records, err = k.load(ctx); err != nil {
				k.Log.Warn("Records of open streams not recovered.", "err", err)
				continue
			}
			read = true
		}
		if len(records) > 0 {
			k.Restore(records)
			k.Log.Info("Records of open streams recovered.", "records", len(records), "objects", len(k.recovered))
		}
	}
}

// load reads the records in the store.
func (k *snapshotKeeper) load(ctx context.Context) ([]sageorigin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, k.Store.List, k.Kind)
	if err != nil {
		return nil, fmt.Errorf("list records: %w", err)
	}
	now := k.now()
	var out []sageorigin.Record
	k.recovered, k.dropAt = make(map[string]uint64), now.Add(sageorigin.Window)
	for i := range d.Changes {
		o := &d.Changes[i].Object
		if o.Name == k.Name {
			continue
		}
		k.recovered[o.Name] = o.Revision
		var s sageorigin.Snapshot
		if err := json.Unmarshal(o.Status, &s); err != nil {
			k.Log.Warn("Records can't be read.", "name", o.Name, "err", err)
			continue
		}
		records, err := s.Records(now)
		if err != nil {
			k.Log.Warn("Records can't be read.", "name", o.Name, "err", err)
			continue
		}
		out = append(out, records...)
	}
	return out, nil
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

// drop deletes the objects that were recovered once no caller can return. Nodes that run write theirs again.
func (k *snapshotKeeper) drop(ctx context.Context) error {
	if len(k.recovered) == 0 || k.now() < k.dropAt {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, k.Store.List, k.Kind)
	if err != nil {
		return fmt.Errorf("list recovered records: %w", err)
	}
	for i := range d.Changes {
		o := &d.Changes[i].Object
		if revision, ok := k.recovered[o.Name]; !ok || revision != o.Revision {
			continue
		}
		if err := k.Store.Delete(ctx, k.Kind, o.Name); err != nil {
			return fmt.Errorf("delete recovered records: %w", err)
		}
	}
	k.recovered = nil
	return nil
}
