package sagefollow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
)

// Times of a copy.
const (
	// peerWithin bounds a fetch from a peer: some hundred kilobytes over the slowest links.
	peerWithin = 2 * time.Second
	// farAfter is how long a node waits for the content to reach its own data centre before it
	// fetches it from another one.
	farAfter = 400 * time.Millisecond
	// LongOutage is how long the store must have been out of sight for leases to have lapsed unseen.
	// It lies above the usual age of the proofs and below the shortest lease, three heartbeats of an
	// upstream.
	LongOutage = 2500 * time.Millisecond
)

// Follower follows one kind. Exported fields but Proof are set before Run.
type Follower struct {
	Kind   string
	Source Source
	Peers  Peers
	// Within is how old what a node knows may get before it must not be acted upon any more: the
	// shortest bound that the platform sets on changes of this kind.
	MaxStaleness time.Duration
	// Rank is this node's place among the live nodes, 0 the first; blind says that the store does not
	// answer this one.
	Rank func(blind bool) int
	// Apply takes changes in, first the whole content, which may be empty; returned says that the
	// store had been out of sight for a while. Calls never overlap.
	Apply func(changes []Change, returned bool)
	// Reach is the proof of the store's answers to any kind, shared by all followers of a node.
	StoreProof *sagefresh.Proof
	// NotBefore is the instant before which a node that has nothing yet leaves the first listing to
	// others; zero means at once.
	ListNotBefore sageclock.Instant
	// Scout follows another kind of the same store. While its calls fail as well as this one's, the store
	// is away altogether, and it is left to the scout to find out when it is back; nil if this is the
	// scout.
	Prober *Follower
	// Gather is how long a node waits after changes before it watches on, so that changes that come
	// close together cost one call.
	BatchDelay time.Duration
	// Lag is how old a peer's proof may get on its way, in heartbeats; nil means no time at all.
	PeerProofDelay func() time.Duration
	// Changed is called after a change of the content, to tell the peers. Own says that the store
	// itself told of it. May be nil.
	OnChange func(own bool)
	// Called is told of each call to the store; may be nil.
	OnCall func(ok bool)
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant
	Log sagelog.Logger

	Proof sagefresh.Proof

	mu       sync.Mutex
	listing  *listing          // unfinished and in nobody's hands; nil if none is
	answered sageclock.Instant // when the last call that was answered began
	content  content
	fetching bool
	lacking  sageclock.Instant // when a peer first had more; 0 if none has
	failing  atomic.Bool
	asOf     atomic.Uint64 // of the content, to be read while Apply runs
}

// Position returns how far the copy is, for the peers.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Position{AsOf: f.content.asOf, ContentRevision: f.content.changed, ProofAgeMillis: -1}
	if !f.content.listed {
		return p
	}
	if age := f.Proof.Age(f.now()); age != sagefresh.Unproven {
		p.ProofAgeMillis = age.Milliseconds() + 1
	}
	return p
}

// AsOf returns the revision up to which the copy is complete, 0 before it is listed. It may be called while
// [Follower.Apply] runs.
func (f *Follower) AsOf() uint64 { return f.asOf.Load() }

// Since answers a peer that knows everything up to a revision.
func (f *Follower) DeltaSince(rev uint64) Delta {
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
// It guards against all nodes fetching a large configuration at once from the ones that ask the store,
// whose links would need seconds for it. A peer that tells of a change and then answers nothing holds
// this node up no longer than until its proof is too old, when it asks the store itself.
func (f *Follower) HandlePosition(ctx context.Context, peer string, p Position, stamp sageclock.Instant, near bool) {
	if p.AsOf == 0 || p.ProofAgeMillis < 0 {
		return
	}
	f.mu.Lock()
	if f.content.listed && f.content.asOf >= p.ContentRevision {
		f.content.asOf = max(f.content.asOf, p.AsOf)
		f.asOf.Store(f.content.asOf)
		f.lacking = 0
		f.mu.Unlock()
		age := time.Duration(p.ProofAgeMillis) * time.Millisecond
		f.Proof.RecordRelayed(stamp, age)
		f.StoreProof.RecordRelayed(stamp, age)
		return
	}
	now := f.now()
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
	returned := !first && f.StoreProof.Age(f.now()) > LongOutage
	fresh := f.content.apply(since, d)
	f.asOf.Store(f.content.asOf)
	if len(fresh) > 0 || returned || first && f.content.listed {
		f.Apply(fresh, returned)
	}
	f.mu.Unlock()
	if len(fresh) > 0 && f.OnChange != nil {
		f.OnChange(own)
	}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { f.watch(ctx) })
	loops.Go(func() { f.poll(ctx) })
	loops.Wait()
	return nil
}

func (f *Follower) now() sageclock.Instant {
	if f.Now != nil {
		return f.Now()
	}
	return sageclock.Now()
}

func (f *Follower) listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content.listed
}

// Failing reports whether this node's own last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// lost notes that a call that began at an instant was not answered. One that was overtaken by an
// answered call says nothing.
func (f *Follower) lost(began sageclock.Instant, err error) {
	f.mu.Lock()
	overtaken := f.answered > began
	f.mu.Unlock()
	if !overtaken && !f.failing.Swap(true) {
		f.Log.Warn("Store does not answer.", "kind", f.Kind, "err", err)
	}
}

// regained notes that a call that began at an instant was answered.
func (f *Follower) regained(began sageclock.Instant) {
	f.mu.Lock()
	f.answered = max(f.answered, began)
	f.mu.Unlock()
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
