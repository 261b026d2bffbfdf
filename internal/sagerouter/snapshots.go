package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Times of the snapshots of open streams in the store.
const (
	// snapshotInterval is the least time between two writes of a node, snapshotSpacing that between two writes of the fleet.
	snapshotInterval = 250 * time.Millisecond
	snapshotSpacing  = 5 * time.Millisecond
	snapshotTimeout  = time.Second
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
	Log   sagelog.Logger

	created bool                    // the object exists
	written map[sageorigin.Key]bool // keys in the last snapshot
	// recovered are the objects that were read, by name, with their revisions. Those that haven't changed since are deleted at
	// dropAt.
	recovered map[string]uint64
	dropAt    sageclock.Instant
}

// Run works until ctx ends.
func (k *snapshotKeeper) Run(ctx context.Context) error {
	k.recover(ctx)
	for {
		sageclock.Sleep(ctx, max(snapshotInterval, time.Duration(k.Nodes())*snapshotSpacing))
		if ctx.Err() != nil {
			return nil
		}
		for _, f := range []func(context.Context) error{k.save, k.drop} {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				k.Log.Limited(sagelog.KindStateChange, "Records of open streams not kept.", "err", err)
			}
		}
	}
}

// recover reads the records that nodes saved before all of them were lost, and sends them to their holders.
func (k *snapshotKeeper) recover(ctx context.Context) {
	var records []sageorigin.Record
	started, read := sageclock.Now(), false
	for _, delay := range restoreDelays {
		sageclock.Sleep(ctx, delay-sageclock.Now().Sub(started))
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
	now := sageclock.Now()
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

// save writes the records of the open streams, unless they are those of the last snapshot.
func (k *snapshotKeeper) save(ctx context.Context) error {
	records := k.Open()
	keys := make(map[sageorigin.Key]bool, len(records))
	for _, r := range records {
		keys[r.Key] = true
	}
	if maps.Equal(keys, k.written) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if !k.created {
		if _, err := k.Store.Create(ctx, k.Kind, k.Name, json.RawMessage(`{}`)); err != nil {
			return fmt.Errorf("create: %w", err)
		}
		k.created = true
	}
	s := sageorigin.NewSnapshot(sageclock.Now(), records)
	b, err := json.Marshal(&s)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := k.Store.SetStatus(ctx, k.Kind, k.Name, 0, b); err != nil {
		k.created = false // it may have been deleted
		return fmt.Errorf("write: %w", err)
	}
	k.written = keys
	return nil
}

// drop deletes the objects that were recovered once no caller can return. Nodes that run write theirs again.
func (k *snapshotKeeper) drop(ctx context.Context) error {
	if len(k.recovered) == 0 || sageclock.Now() < k.dropAt {
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
