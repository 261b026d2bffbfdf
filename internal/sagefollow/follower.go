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

const (
	// peerFetchTimeout limits a fetch from a peer. The smallest nodes need seconds to decode the copy of a large fleet's
	// upstreams, so a stalled fetch has to be ended by [Peers].
	peerFetchTimeout = 15 * time.Second
	// fetchHedgeDelay is the time after which an unfinished fetch is hedged, many times that of a small delta. maxFetches
	// is the number of fetches at a time.
	fetchHedgeDelay = 500 * time.Millisecond
	maxFetches      = 2
	// remoteFetchDelay is how long a node waits for new content to reach its own data centre before it
	// fetches the content from another one.
	remoteFetchDelay = 400 * time.Millisecond
	// LongOutage is the length of a store outage after which leases may have expired unobserved.
	// It is above the usual age of proofs and below the shortest lease, three heartbeats of an upstream.
	LongOutage = 2500 * time.Millisecond
)

// Follower keeps a copy of the objects of one kind. Exported fields other than Proof are set before Run.
type Follower struct {
	Kind   string
	Source Source
	Peers  Peers
	// MaxStaleness is the age beyond which a copy must not be used: the shortest bound that the platform
	// sets on changes of this kind.
	MaxStaleness time.Duration
	// Rank returns this node's rank among the live nodes, 0 being the first. The argument says whether
	// the store is unreachable from this node.
	Rank func(storeUnreachable bool) int
	// Isolated reports whether this node has lost contact with all peers. Nil means that it hasn't.
	Isolated func() bool
	// Apply handles changes. The first call gets the complete content, which may be empty. The flag
	// afterOutage is set if the store had been unreachable for longer than [LongOutage], or was restored. Calls never
	// overlap.
	Apply func(changes []Change, afterOutage bool)
	// StoreProof is the proof that the store answers calls for any kind, shared by all followers of a node.
	StoreProof *sagefresh.Proof
	// ListNotBefore returns the instant before which a node without a copy doesn't list the kind itself but waits
	// for its peers to do so. It may change while the node waits. Nil means no wait.
	ListNotBefore func() sageclock.Instant
	// Prober follows another kind of the same store. While the calls of both followers fail, the store
	// is considered down, and only the prober retries at the usual rate until the store answers again.
	// It is nil if this follower is the prober.
	Prober *Follower
	// BatchDelay is how long a node waits after changes before it resumes the watch, so that changes in
	// quick succession cost one call.
	BatchDelay time.Duration
	// PeerProofDelay returns how much a peer's proof may age while heartbeats carry it to this node. Nil
	// means no delay.
	PeerProofDelay func() time.Duration
	// OnChange is called after a change of the content, to announce it to the peers. The flag fromStore
	// is set if the change came from the store and not from a peer. May be nil.
	OnChange func(fromStore bool)
	// OnCall is called after each call to the store; may be nil.
	OnCall func(ok bool)
	// Restore decides what stays in force after the store was restored from a copy.
	Restore RestorePolicy
	// OnRestored is called when the copy follows a restored store, with the new era; may be nil.
	OnRestored func(era uint64)
	// OnIgnored is called after an answer of the store was ignored because it is older than the copy; may be
	// nil.
	OnIgnored func()
	// OnGap is called when the copy is about to be proven to be complete again after its proof was older than MaxGap: objects may
	// have been created and deleted meanwhile that this node has never seen. Until it returns, the proof remains old. May be nil.
	OnGap  func()
	MaxGap func() time.Duration
	// Now is the clock; nil means [sageclock.Now].
	Now func() sageclock.Instant
	Log sagelog.Logger

	// Proof proves how fresh the copy is.
	Proof sagefresh.Proof

	mu             sync.Mutex
	pendingListing *listing          // unfinished and not in use by a call; may be nil
	lastAnswered   sageclock.Instant // start of the latest call that was answered
	content        content
	fetches        map[string]sageclock.Instant // starts of the fetches in progress by peer
	behindSince    sageclock.Instant            // when a peer first announced content that this copy lacks; 0 if none did
	failing        atomic.Bool
	point          atomic.Pointer[Point] // content.point(), readable while Apply runs with mu held
}

// Position returns the state of the copy that is announced to the peers.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Position{AsOf: f.content.asOf, Era: f.content.era, Base: f.content.base, ContentRevision: f.content.changedAt, ProofAgeMillis: -1}
	if !f.content.listed {
		return p
	}
	if age := f.Proof.Age(f.now()); age != sagefresh.Unproven {
		p.ProofAgeMillis = age.Milliseconds() + 1
	}
	return p
}

// Point returns the point up to which the copy is complete, the zero Point before it is listed. It may be called while
// [Follower.Apply] runs.
func (f *Follower) Point() Point {
	if p := f.point.Load(); p != nil {
		return *p
	}
	return Point{}
}

// AsOf returns the revision up to which the copy is complete, 0 before it is listed. It may be called while
// [Follower.Apply] runs.
func (f *Follower) AsOf() uint64 { return f.Point().Revision }

// State returns the point up to which the copy is complete, and a number that differs from that of any other content that
// this copy had.
func (f *Follower) State() (Point, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content.point(), f.content.version
}

// KeptObjects returns the number of objects that stay in force, or stay deleted, against what the restored store has.
func (f *Follower) KeptObjects() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.content.hidden)
	for _, o := range f.content.objects {
		if o.Era < f.content.era {
			n++
		}
	}
	return n
}

// DeltaSince returns what a peer lacks whose copy is complete up to a point, or the zero Delta before the
// kind has been listed.
func (f *Follower) DeltaSince(since Point) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.content.listed {
		return Delta{}
	}
	return f.content.deltaSince(since)
}

// FullDelta returns the whole content and its number as in [Follower.State], or zero before the kind has been listed.
func (f *Follower) FullDelta() (d Delta, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.content.listed {
		return Delta{}, 0
	}
	return f.content.fullDelta(), f.content.version
}

// HandlePosition handles the position that a peer announced after it had received stamp from this node. If this
// copy lacks nothing that the peer has, this node adopts the peer's proof, dated by the stamp. Otherwise it
// fetches what it lacks: immediately if fetchNow is set, because the peer distributes content in this data centre
// or this node does, else after remoteFetchDelay.
//
// The delay prevents all nodes from fetching a large copy at the same time from the nodes that query the store,
// whose links would need seconds for it. A peer that announces a change and then doesn't answer
// delays this node only until its proof is too old and it calls the store itself.
func (f *Follower) HandlePosition(ctx context.Context, peer string, p Position, stamp sageclock.Instant, fetchNow bool) {
	if p.AsOf == 0 || p.ProofAgeMillis < 0 {
		return
	}
	f.mu.Lock()
	since, complete := f.content.compare(&p)
	if !complete && since == nil {
		f.mu.Unlock()
		return
	}
	if complete {
		f.content.asOf = max(f.content.asOf, p.AsOf)
		f.storePoint()
		f.behindSince = 0
		f.mu.Unlock()
		age := time.Duration(p.ProofAgeMillis) * time.Millisecond
		f.reportGap(stamp.Add(-age))
		f.Proof.RecordRelayed(stamp, age)
		f.StoreProof.RecordRelayed(stamp, age)
		return
	}
	now := f.now()
	if f.behindSince == 0 {
		f.behindSince = now
	}
	if !fetchNow && now.Sub(f.behindSince) < remoteFetchDelay {
		f.mu.Unlock()
		return
	}
	startFetch := f.mayFetch(now, peer)
	if startFetch {
		f.fetches[peer] = now
	}
	f.mu.Unlock()
	if startFetch {
		go f.fetch(ctx, peer, *since)
	}
}

// mayFetch reports whether a fetch from a peer may start. A fetch that takes long is hedged with one from another peer: the
// first one may be unresponsive, and a node that the store turns away has nothing else. Nodes that start don't hedge, since
// all of them fetch everything at the same time. mu is held.
func (f *Follower) mayFetch(now sageclock.Instant, peer string) bool {
	if f.fetches == nil {
		f.fetches = make(map[string]sageclock.Instant)
	}
	if _, ok := f.fetches[peer]; ok || len(f.fetches) >= maxFetches {
		return false
	}
	for _, started := range f.fetches {
		if !f.content.listed || now.Sub(started) < fetchHedgeDelay {
			return false
		}
	}
	return true
}

func (f *Follower) fetch(ctx context.Context, peer string, since Point) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	d, err := f.Peers.Fetch(ctx, peer, f.Kind, since)
	f.mu.Lock()
	delete(f.fetches, peer)
	f.mu.Unlock()
	if err != nil {
		f.Log.Warn("Fetch from peer failed.", "kind", f.Kind, "peer", peer, "since", since.Revision, "era", since.Era, "err", err)
		return
	}
	if d.AsOf > 0 {
		f.applyDelta(since, d, false)
	}
}

// applyDelta applies a delta to the copy and calls Apply and OnChange as needed. It returns false if the delta is from an
// earlier era than the copy.
func (f *Follower) applyDelta(since Point, d Delta, fromStore bool) bool {
	f.mu.Lock()
	last := f.content.point()
	if f.content.listed && d.Era < last.Era {
		f.mu.Unlock()
		return false
	}
	firstListing := !f.content.listed
	afterOutage := !firstListing && f.StoreProof.Age(f.now()) > LongOutage
	f.content.policy = f.Restore
	applied := f.content.apply(f.now(), since, d)
	restored := !firstListing && f.content.era > last.Era
	f.storePoint()
	if restored {
		f.logRestore(last, applied, fromStore)
	}
	if len(applied) > 0 || afterOutage || restored || firstListing && f.content.listed {
		f.Apply(applied, afterOutage || restored)
	}
	f.mu.Unlock()
	if restored && f.OnRestored != nil {
		f.OnRestored(d.Era)
	}
	if (len(applied) > 0 || restored) && f.OnChange != nil {
		f.OnChange(fromStore)
	}
	return true
}

// logRestore logs that the copy follows a restored store. mu is held.
func (f *Follower) logRestore(last Point, applied []Change, fromStore bool) {
	c := &f.content
	kept := 0
	for name, o := range c.objects {
		if o.Era < c.era {
			kept++
			f.Log.Limited(sagelog.KindStateChange, "Object stays in force until it is written again.", "kind", f.Kind, "name", name, "era", o.Era, "revision", o.Revision)
		}
	}
	lost := 0
	for i := range applied {
		if applied[i].Lost {
			lost++
		}
	}
	f.Log.Info("Store was restored from a copy.", "kind", f.Kind, "era", c.era, "as_of", c.asOf, "last_era", last.Era, "last_as_of", last.Revision,
		"from_store", fromStore, "changes", len(applied), "kept", kept, "hidden", len(c.hidden), "lost", lost)
}

// expireKept ends what was kept over a restore for too long.
func (f *Follower) expireKept() {
	f.mu.Lock()
	applied := f.content.expire(f.now())
	if len(applied) > 0 {
		f.content.version++
		f.Log.Info("Kept objects were not written again.", "kind", f.Kind, "changes", len(applied), "era", f.content.era)
		f.Apply(applied, false)
	}
	f.mu.Unlock()
}

// storePoint publishes the point of the copy. mu is held.
func (f *Follower) storePoint() {
	p := f.content.point()
	f.point.Store(&p)
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { f.watch(ctx) })
	loops.Go(func() { f.poll(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			sageclock.Sleep(ctx, checkInterval)
			f.expireKept()
		}
	})
	loops.Wait()
	return nil
}

// reportGap calls OnGap if a proof that dates from an instant ends a gap.
func (f *Follower) reportGap(proven sageclock.Instant) {
	if f.OnGap == nil {
		return
	}
	now := f.now()
	if age := f.Proof.Age(now); age != sagefresh.Unproven && age > f.MaxGap() && now.Sub(proven) < age {
		f.Log.Limited(sagelog.KindStateChange, "Copy has a gap.", "kind", f.Kind, "gap_ms", age.Milliseconds())
		f.OnGap()
	}
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

// recordFailure records that a call started at the given instant failed. It is ignored if a call started
// later has been answered.
func (f *Follower) recordFailure(started sageclock.Instant, err error) {
	f.mu.Lock()
	overtaken := f.lastAnswered > started
	f.mu.Unlock()
	if !overtaken && !f.failing.Swap(true) {
		f.Log.Warn("Store does not answer.", "kind", f.Kind, "err", err)
	}
}

// recordAnswer records that a call started at the given instant was answered.
func (f *Follower) recordAnswer(started sageclock.Instant) {
	f.mu.Lock()
	f.lastAnswered = max(f.lastAnswered, started)
	f.mu.Unlock()
	if f.failing.Swap(false) {
		f.Log.Info("Store answers again.", "kind", f.Kind)
	}
}
