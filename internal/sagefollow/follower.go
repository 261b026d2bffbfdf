package sagefollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
)

// Who asks the store, and when.
const (
	// watchers is how many nodes always watch: one more than needed, so that a watcher's death is
	// noticed by nobody.
	watchers = 2
	// selfAfter is by how much the age of the proof has to exceed Wait for a node to ask the store
	// itself: a watcher's proof is at most Wait, an answer and some heartbeats old.
	selfAfter = 900 * time.Millisecond
	// perRank spreads the nodes that do so, so that one of them serves the others in time.
	perRank = 40 * time.Millisecond
	// checkEvery is how often a node that doesn't watch looks at its proof.
	checkEvery = 100 * time.Millisecond
	// answerWithin is what a call may take beyond its wait: many times the store's usual 4 ms.
	answerWithin = 1500 * time.Millisecond
	// slowWithin is the same after a call took too long, for a store that answers slowly.
	slowWithin = 6 * time.Second
	// firstPause and longestPause bound the pause after a failed call. It must stay well below the
	// shortest bound on freshness, two seconds.
	firstPause   = 100 * time.Millisecond
	longestPause = 600 * time.Millisecond
	// peerWithin bounds a fetch from a peer.
	peerWithin = time.Second
	// AwayAfter is how long the store must have been out of sight for leases to have lapsed unseen.
	// It lies above the usual age of the proofs and below the shortest lease, three heartbeats of an
	// upstream.
	AwayAfter = 2500 * time.Millisecond
)

// Follower follows one kind. Exported fields but Proof are set before Run.
type Follower struct {
	Kind   string
	Source Source
	Peers  Peers
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Rank is this node's place among the live nodes, 0 the first.
	Rank func() int
	// Apply takes changes in; returned says that the store had been out of sight for a while. Calls
	// never overlap.
	Apply func(changes []Change, returned bool)
	// Reach is the proof of the store's answers to any kind, shared by all followers of a node.
	Reach *sagefresh.Proof
	// Changed is called after a change of the content, to tell the peers; may be nil.
	Changed func()
	Log     sagelog.Logger

	Proof sagefresh.Proof

	mu       sync.Mutex
	content  content
	fetching bool
	failing  atomic.Bool
}

// Position returns how far the copy is, for the peers.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Position{AsOf: f.content.asOf, Content: f.content.changed, AgeMillis: -1}
	if !f.content.listed {
		return p
	}
	if age := f.Proof.Age(sageclock.Now()); age != sagefresh.Unproven {
		p.AgeMillis = age.Milliseconds() + 1
	}
	return p
}

// Since answers a peer that knows everything up to a revision.
func (f *Follower) Since(rev uint64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.content.listed {
		return Delta{}
	}
	return f.content.since(rev)
}

// Told takes in the position that a peer stated after it had received stamp from this node.
func (f *Follower) Told(ctx context.Context, peer string, p Position, stamp sageclock.Instant) {
	if p.AsOf == 0 || p.AgeMillis < 0 {
		return
	}
	f.mu.Lock()
	if f.content.listed && f.content.asOf >= p.Content {
		f.content.asOf = max(f.content.asOf, p.AsOf)
		f.mu.Unlock()
		age := time.Duration(p.AgeMillis) * time.Millisecond
		f.Proof.Relayed(stamp, age)
		f.Reach.Relayed(stamp, age)
		return
	}
	start := !f.fetching
	f.fetching = true
	since := f.content.asOf
	f.mu.Unlock()
	if start {
		go f.fetch(ctx, peer, since)
	}
}

func (f *Follower) fetch(ctx context.Context, peer string, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerWithin)
	defer cancel()
	d, err := f.Peers.Fetch(ctx, peer, f.Kind, since)
	f.mu.Lock()
	f.fetching = false
	f.mu.Unlock()
	if err != nil {
		f.Log.Warn("Fetch from peer failed.", "kind", f.Kind, "peer", peer, "since", since, "err", err)
		return
	}
	if d.AsOf > 0 {
		f.take(since, d)
	}
}

// take applies a delta and tells the owner.
func (f *Follower) take(since uint64, d Delta) {
	f.mu.Lock()
	returned := f.content.listed && f.Reach.Age(sageclock.Now()) > AwayAfter
	fresh := f.content.apply(since, d)
	if len(fresh) > 0 || returned {
		f.Apply(fresh, returned)
	}
	f.mu.Unlock()
	if len(fresh) > 0 && f.Changed != nil {
		f.Changed()
	}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause, within := firstPause, answerWithin
	for ctx.Err() == nil {
		if !f.due() {
			sleep(ctx, checkEvery)
			continue
		}
		began := sageclock.Now()
		err := f.ask(ctx, within)
		if err == nil {
			f.regained()
			pause = firstPause
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		f.lost(err)
		within = answerWithin
		if sageclock.Now().Sub(began) >= answerWithin {
			within = slowWithin
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
	return nil
}

// due reports whether this node has to ask the store itself.
func (f *Follower) due() bool {
	f.mu.Lock()
	listed := f.content.listed
	f.mu.Unlock()
	rank := f.Rank()
	if !listed || rank < watchers {
		return true
	}
	return f.Proof.Age(sageclock.Now()) > f.Wait+selfAfter+time.Duration(rank)*perRank
}

// ask makes one call to the store.
func (f *Follower) ask(ctx context.Context, within time.Duration) error {
	f.mu.Lock()
	since, listed := f.content.asOf, f.content.listed
	f.mu.Unlock()
	wait := time.Duration(0)
	if listed {
		wait = f.Wait
		if f.Proof.Age(sageclock.Now()) > f.Wait+selfAfter {
			wait = 0
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+within)
	defer cancel()
	sent := sageclock.Now()
	d, err := f.call(ctx, listed, since, wait)
	if errors.Is(err, ErrGone) {
		f.Log.Info("History is gone; listing anew.", "kind", f.Kind, "since", since)
		sent = sageclock.Now()
		d, err = f.Source.List(ctx, f.Kind)
	}
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.Kind, err)
	}
	f.take(since, d)
	f.Proof.Own(sent)
	f.Reach.Own(sent)
	return nil
}

func (f *Follower) call(ctx context.Context, listed bool, since uint64, wait time.Duration) (Delta, error) {
	if !listed {
		return f.Source.List(ctx, f.Kind)
	}
	return f.Source.Watch(ctx, f.Kind, since, wait)
}

// Failing reports whether this node's own last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

func (f *Follower) lost(err error) {
	if !f.failing.Swap(true) {
		f.Log.Warn("Store does not answer.", "kind", f.Kind, "err", err)
	}
}

func (f *Follower) regained() {
	if f.failing.Swap(false) {
		f.Log.Info("Store answers again.", "kind", f.Kind)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
