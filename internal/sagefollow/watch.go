package sagefollow

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// watchWait is how long a watch waits for a change. A longer one costs fewer calls; it bounds for
	// how long a watch whose connection went silent is taken for one without changes, while changes
	// reach the fleet with the polls.
	watchWait = 4 * time.Second
	// answerWithin is what a call may take beyond its wait: many times the store's usual 4 ms.
	answerWithin = 1500 * time.Millisecond
	// watchRank is the rank of the node that watches.
	watchRank = 0
	// checkEvery is how often a node that doesn't ask looks whether it has to.
	checkEvery = 100 * time.Millisecond
)

// watch hears of changes as they happen while this node is the one to.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.listed() || f.Failing() || f.Rank(false) != watchRank {
			sleep(ctx, checkEvery)
			continue
		}
		f.watchOnce(ctx)
	}
}

func (f *Follower) watchOnce(ctx context.Context) {
	began := f.now()
	changes, err := f.ask(ctx, watchWait, answerWithin)
	if ctx.Err() != nil {
		return
	}
	f.ended(began, err)
	switch {
	case err != nil:
		// What polls is told to find out whether it was the watch alone; until then this node isn't the
		// one to watch.
		sleep(ctx, checkEvery)
	case changes > 0:
		sleep(ctx, f.BatchDelay)
	}
}

// ask makes one call to the store, which may take within longer than its wait, and returns how many
// changes it brought.
func (f *Follower) ask(ctx context.Context, wait, within time.Duration) (int, error) {
	f.mu.Lock()
	since, listed := f.content.asOf, f.content.listed
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+within)
	defer cancel()
	d, asOf, err := f.call(ctx, listed, since, wait)
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", f.Kind, err)
	}
	f.take(since, d, true)
	f.Proof.RecordRead(asOf)
	f.StoreProof.RecordRead(asOf)
	return len(d.Changes), nil
}

// call watches, or lists what can't be watched, and returns the instant as of which the answer is
// complete: the one before the call, as the store may have answered long before the answer came.
func (f *Follower) call(ctx context.Context, listed bool, since uint64, wait time.Duration) (Delta, sageclock.Instant, error) {
	if !listed || f.unfinished(f.now()) {
		return f.list(ctx)
	}
	sent := f.now()
	d, err := f.Source.Watch(ctx, f.Kind, since, wait)
	if errors.Is(err, ErrGone) {
		f.Log.Info("History is gone; listing anew.", "kind", f.Kind, "since", since)
		return f.list(ctx)
	}
	return d, sent, err
}

// ended notes how a call that began at an instant ended.
func (f *Follower) ended(began sageclock.Instant, err error) {
	if f.OnCall != nil {
		f.OnCall(err == nil)
	}
	if err != nil {
		f.lost(began, err)
		return
	}
	f.regained(began)
}
