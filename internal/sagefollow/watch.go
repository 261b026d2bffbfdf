package sagefollow

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// watchWait is how long a watch waits for a change. A longer wait costs fewer calls. It also bounds
	// how long a watch on a stalled connection goes unnoticed; during that time changes reach the fleet
	// through polls only.
	watchWait = 4 * time.Second
	// answerTimeout is how long a call may take beyond its wait: many times the store's usual 4 ms.
	answerTimeout = 1500 * time.Millisecond
	// watchRank is the rank of the node that watches.
	watchRank = 0
	// checkInterval is how often an idle node checks whether it has to call the store.
	checkInterval = 100 * time.Millisecond
)

// watch watches the store while this node has the rank of the watcher. An isolated node only polls: each of many nodes that
// are cut off from the fleet would have that rank.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.listed() || f.Failing() || f.isolated() || f.Rank(false) != watchRank {
			sageclock.Sleep(ctx, checkInterval)
			continue
		}
		f.watchOnce(ctx)
	}
}

func (f *Follower) watchOnce(ctx context.Context) {
	started := f.now()
	changes, err := f.callStore(ctx, watchWait, answerTimeout)
	if ctx.Err() != nil {
		return
	}
	f.recordCall(started, err)
	switch {
	case err != nil:
		// The failure makes poll call the store too, to find out whether only the watch failed. Until a
		// call is answered this node doesn't watch.
		sageclock.Sleep(ctx, checkInterval)
	case changes > 0:
		sageclock.Sleep(ctx, f.BatchDelay)
	}
}

// callStore makes one call to the store, which may take timeout longer than its wait, and returns the number of
// changes in the answer.
func (f *Follower) callStore(ctx context.Context, wait, timeout time.Duration) (int, error) {
	f.mu.Lock()
	since, listed := f.content.point(), f.content.listed
	f.mu.Unlock()
	called := f.now()
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	d, asOf, err := f.watchOrList(ctx, listed, since, wait)
	if err == nil {
		err = f.applyAnswer(since, d, asOf < called)
	}
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", f.Kind, err)
	}
	f.reportGap(asOf)
	f.Proof.RecordRead(asOf)
	f.StoreProof.RecordRead(asOf)
	return len(d.Changes), nil
}

// watchOrList watches the kind, or lists it if it can't be watched, and returns the instant as of which the
// answer is complete. That is the start of the watch or listing, as the answer may have been delayed on its way.
func (f *Follower) watchOrList(ctx context.Context, listed bool, since Point, wait time.Duration) (Delta, sageclock.Instant, error) {
	if !listed || f.hasPendingListing(f.now()) {
		return f.list(ctx)
	}
	started := f.now()
	d, err := f.Source.Watch(ctx, f.Kind, since.Revision, wait)
	if errors.Is(err, ErrGone) {
		f.Log.Info("History is gone; listing all objects.", "kind", f.Kind, "since", since.Revision, "era", since.Era)
		return f.list(ctx)
	}
	if err == nil && d.Era > since.Era {
		return f.list(ctx) // the changes are those since another state with the same revision
	}
	for i := range d.Changes {
		d.Changes[i].Object.Era = d.Era
	}
	return d, started, err
}

// applyAnswer applies an answer of the store to a call that started when the copy was at the point since. It fails if the
// answer proves nothing about the present state of the store. An answer that began with an earlier call, resumed, may be
// older than the copy without contradicting it.
func (f *Follower) applyAnswer(since Point, d Delta, resumed bool) error {
	wentBack := d.Era == since.Era && d.AsOf < since.Revision && !resumed
	if !wentBack && f.applyDelta(since, d, true) {
		return nil
	}
	f.Log.Limited(sagelog.KindStateChange, "Answer is older than the copy; ignored.", "kind", f.Kind, "era", d.Era, "as_of", d.AsOf,
		"copy_era", since.Era, "copy_as_of", since.Revision, "objects", len(d.Changes), "full", d.Full)
	if f.OnIgnored != nil {
		f.OnIgnored()
	}
	return fmt.Errorf("era %d revision %d after era %d revision %d: %w", d.Era, d.AsOf, since.Era, since.Revision, ErrOutdated)
}

// recordCall records the outcome of a call started at the given instant.
func (f *Follower) recordCall(started sageclock.Instant, err error) {
	if f.OnCall != nil {
		f.OnCall(err == nil)
	}
	if err != nil {
		f.recordFailure(started, err)
		return
	}
	f.recordAnswer(started)
}
