package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// recoveryTime is the time after its start within which a node gets what was recovered.
const recoveryTime = 4 * time.Second

// restoreDelays are the times after its start at which a node sends the records that were found in the store to their holders.
// Nodes that start at the same time discover each other meanwhile.
var restoreDelays = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}

// snapshotRecovery recovers the records that the nodes saved before all of them were lost. Exported fields are set before Run.
type snapshotRecovery struct {
	Kind string
	// Name is the name of this node's own object, which is left alone.
	Name  string
	Store Store
	// Restore takes recovered records and sends them to their holders.
	Restore func(records []sageorigin.Record)
	// Recovers reports whether this node recovers the records for all nodes.
	Recovers func() bool
	Log      sagelog.Logger
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant

	// recovered are the objects that were read, by name, with their revisions. Those that haven't changed since are deleted at
	// dropAt.
	recovered map[string]uint64
	dropAt    sageclock.Instant
}

func (r *snapshotRecovery) now() sageclock.Instant {
	if r.Now != nil {
		return r.Now()
	}
	return sageclock.Now()
}

// Run works until ctx ends.
func (r *snapshotRecovery) Run(ctx context.Context) error {
	r.recover(ctx)
	r.dropRecovered(ctx)
	<-ctx.Done()
	return nil
}

// recover reads the records that nodes saved before all of them were lost, and sends them to their holders.
func (r *snapshotRecovery) recover(ctx context.Context) {
	var records []sageorigin.Record
	started, read := r.now(), false
	for _, delay := range restoreDelays {
		sageclock.Sleep(ctx, delay-r.now().Sub(started))
		if ctx.Err() != nil || !r.Recovers() {
			continue
		}
		if !read {
			var err error
			if records, err = r.load(ctx); err != nil {
				r.Log.Warn("Records of open streams not recovered.", "err", err)
				continue
			}
			read = true
		}
		if len(records) > 0 {
			r.Restore(records)
			r.Log.Info("Records of open streams recovered.", "records", len(records), "objects", len(r.recovered))
		}
	}
}

// load reads the records in the store.
func (r *snapshotRecovery) load(ctx context.Context) ([]sageorigin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, r.Store.List, r.Kind)
	if err != nil {
		return nil, fmt.Errorf("list records: %w", err)
	}
	now := r.now()
	var out []sageorigin.Record
	r.recovered, r.dropAt = make(map[string]uint64), now.Add(sageorigin.Window)
	for i := range d.Changes {
		o := &d.Changes[i].Object
		if o.Name == r.Name {
			continue
		}
		r.recovered[o.Name] = o.Revision
		var s sageorigin.Snapshot
		if err := json.Unmarshal(o.Status, &s); err != nil {
			r.Log.Warn("Records can't be read.", "name", o.Name, "err", err)
			continue
		}
		records, err := s.Records(now)
		if err != nil {
			r.Log.Warn("Records can't be read.", "name", o.Name, "err", err)
			continue
		}
		out = append(out, records...)
	}
	return out, nil
}

// dropRecovered drops what was recovered when it is time.
func (r *snapshotRecovery) dropRecovered(ctx context.Context) {
	for len(r.recovered) > 0 && sageclock.Sleep(ctx, max(snapshotRetry, r.dropAt.Sub(r.now()))) {
		if err := r.drop(ctx); err != nil && ctx.Err() == nil {
			r.Log.Limited(sagelog.KindStateChange, "Recovered records not deleted.", "err", err)
		}
	}
}

// drop deletes the objects that were recovered once no caller can return. Nodes that run write theirs again.
func (r *snapshotRecovery) drop(ctx context.Context) error {
	if len(r.recovered) == 0 || r.now() < r.dropAt {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, r.Store.List, r.Kind)
	if err != nil {
		return fmt.Errorf("list recovered records: %w", err)
	}
	for i := range d.Changes {
		o := &d.Changes[i].Object
		if revision, ok := r.recovered[o.Name]; !ok || revision != o.Revision {
			continue
		}
		if err := r.Store.Delete(ctx, r.Kind, o.Name); err != nil {
			return fmt.Errorf("delete recovered records: %w", err)
		}
	}
	r.recovered = nil
	return nil
}
