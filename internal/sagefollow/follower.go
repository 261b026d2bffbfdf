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
	// perRank spreads the nodes that do so, up to spreadRanks of them, so that one of them serves the
	// others in time.
	perRank     = 40 * time.Millisecond
	spreadRanks = 25
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
	// perRankFailing is added to it for each place in the ranks: while the store is down for all, the
	// first two find out when it is back and tell the others.
	perRankFailing = 75 * time.Millisecond
	// peerWithin bounds a fetch from a peer: some hundred kilobytes over the slowest links.
	peerWithin = 2 * time.Second
	// farAfter is how long a node waits for the content to reach its own data centre before it
	// fetches it from another one.
	farAfter = 400 * time.Millisecond
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
	// Rank is this node's place among the live nodes, 0 the first; blind says that the store does not
	// answer this one.
	Rank func(blind bool) int
	// Apply takes changes in, first the whole content, which may be empty; returned says that the
	// store had been out of sight for a while. Calls never overlap.
	Apply func(changes []Change, returned bool)
	// Reach is the proof of the store's answers to any kind, shared by all followers of a node.
	Reach *sagefresh.Proof
	// NotBefore is the instant before which a node that has nothing yet leaves the first listing to
	// others; zero means at once.
	NotBefore sageclock.Instant
	// Gather is how long a node waits after changes before it watches on, so that changes that come
	// close together cost one call.
	Gather time.Duration
	// Lag is how old a peer's proof may get on its way, in heartbeats; nil means no time at all.
	Lag func() time.Duration
	// Changed is called after a change of the content, to tell the peers. Own says that the store
	// itself told of it. May be nil.
	Changed func(own bool)
	// Called is told of each call to the store; may be nil.
	Called func(ok bool)
	Log    sagelog.Logger

	Proof sagefresh.Proof

	listing *listing // unfinished; nil if none is. Only Run uses it.

	mu       sync.Mutex
	content  content
	fetching bool
	lacking  sageclock.Instant // when a peer first had more; 0 if none has
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

// Told takes in the position that a peer stated after it had received stamp from this node. Near says
// that what the peer has more may be fetched at once: it is in the same data centre, or this node is
// the one that fetches for its own.
//
// It guards against all nodes fetching a large configuration at once from the two that watch, whose
// links would need seconds for it.
func (f *Follower) Told(ctx context.Context, peer string, p Position, stamp sageclock.Instant, near bool) {
	if p.AsOf == 0 || p.AgeMillis < 0 {
		return
	}
	f.mu.Lock()
	if f.content.listed && f.content.asOf >= p.Content {
		f.content.asOf = max(f.content.asOf, p.AsOf)
		f.lacking = 0
		f.mu.Unlock()
		age := time.Duration(p.AgeMillis) * time.Millisecond
		f.Proof.Relayed(stamp, age)
		f.Reach.Relayed(stamp, age)
		return
	}
	now := sageclock.Now()
	if f.lacking == 0 {
		f.lacking = now
	}
	if !near && now.Sub(f.lacking) < farAfter {
		f.mu.Unlock()
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
		f.take(since, d, false)
	}
}

// take applies a delta and tells the owner.
func (f *Follower) take(since uint64, d Delta, own bool) {
	f.mu.Lock()
	first := !f.content.listed
	returned := !first && f.Reach.Age(sageclock.Now()) > AwayAfter
	fresh := f.content.apply(since, d)
	if len(fresh) > 0 || returned || first && f.content.listed {
		f.Apply(fresh, returned)
	}
	f.mu.Unlock()
	if len(fresh) > 0 && f.Changed != nil {
		f.Changed(own)
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
		if f.Called != nil {
			f.Called(err == nil)
		}
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
		wait := pause/2 + rand.N(pause)
		if rank := f.Rank(true); rank >= watchers {
			wait += time.Duration(rank) * perRankFailing
		}
		sleep(ctx, wait)
		pause = min(2*pause, longestPause)
	}
	return nil
}

// due reports whether this node has to ask the store itself.
func (f *Follower) due() bool {
	f.mu.Lock()
	listed := f.content.listed
	f.mu.Unlock()
	rank := f.Rank(f.Failing())
	if !listed {
		return sageclock.Now() >= f.NotBefore
	}
	if rank < watchers {
		return true
	}
	late := f.Wait + selfAfter + time.Duration(min(rank, spreadRanks))*perRank
	if f.Lag != nil {
		late += f.Lag()
	}
	return f.Proof.Age(sageclock.Now()) > late
}

// ask makes one call to the store.
func (f *Follower) ask(ctx context.Context, within time.Duration) error {
	f.mu.Lock()
	since, listed := f.content.asOf, f.content.listed
	f.mu.Unlock()
	wait := time.Duration(0)
	if listed {
		wait = f.wait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+within)
	defer cancel()
	d, sent, err := f.call(ctx, listed, since, wait)
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.Kind, err)
	}
	f.take(since, d, true)
	f.Proof.Own(sent)
	f.Reach.Own(sent)
	if listed && len(d.Changes) > 0 && f.Gather > 0 {
		sleep(ctx, f.Gather)
	}
	return nil
}

// wait is how long the next watch waits. The second watcher is a spare that hears of every change at
// once like the first; it waits twice as long, which saves a quarter of the watchers' calls. A proof
// that is late already is renewed without a wait.
func (f *Follower) wait() time.Duration {
	wait := f.Wait
	if f.Rank(f.Failing()) == watchers-1 {
		wait *= 2
	}
	if f.Proof.Age(sageclock.Now()) > wait+selfAfter {
		return 0
	}
	return wait
}

// call watches, or lists what can't be watched, and returns the instant as of which the answer is
// complete.
func (f *Follower) call(ctx context.Context, listed bool, since uint64, wait time.Duration) (Delta, sageclock.Instant, error) {
	if !listed || f.unfinished(sageclock.Now()) {
		return f.list(ctx)
	}
	sent := sageclock.Now()
	d, err := f.Source.Watch(ctx, f.Kind, since, wait)
	if errors.Is(err, ErrGone) {
		f.Log.Info("History is gone; listing anew.", "kind", f.Kind, "since", since)
		return f.list(ctx)
	}
	return d, sent, err
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
