package sagerouter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of a cache resync.
const (
	// peerTimeout is how long a started node waits for the heartbeat of a synced peer: an estimate of one round trip
	// on the longest network path between data centres. Requests that arrive meanwhile are placed without knowledge
	// of the caches.
	peerTimeout = 25 * time.Millisecond
	// registrationTimeout is how long a node waits for its registration before it assumes that the discovered nodes
	// are all there are: the store may answer reads and refuse writes.
	registrationTimeout = time.Second
	// resyncPollInterval is how often the conditions of a resync are checked.
	resyncPollInterval = 10 * time.Millisecond
	// queryTimeout limits one query to a peer or an engine.
	queryTimeout = time.Second
	// maxStartSkew is the platform's limit on the time within which nodes that were stopped together start again.
	maxStartSkew = 300 * time.Millisecond
	// maxPropagationInterval limits the heartbeat interval that a started node waits for: in a fleet of any size,
	// nodes are discovered as soon as they start.
	maxPropagationInterval = time.Second
	// minPropagationTime is the least time that the other nodes get to report their engines' answers: maxStartSkew,
	// and as much for the engines' answers and a heartbeat.
	minPropagationTime = 2 * maxStartSkew
)

// CacheList is an upstream's answer to the query for its cached prompt parts.
type CacheList struct {
	Parts []uint64
	// Leaving is set if the answer announces that the upstream leaves, also if the query failed.
	Leaving bool
}

// Inspector queries an upstream for the prompt parts in its cache.
type Inspector interface {
	CachedParts(ctx context.Context, u *sageupstream.Entry) (CacheList, error)
}

// cacheResync finds out after the start which upstreams have which prompt parts in their caches. Its exported
// fields are set before Run.
//
// Without it, after a restart of the whole fleet, prompts would be sent to other engines than before and their
// shared parts processed again.
//
// A node that starts alone queries a synced peer. Peers that aren't synced don't count: one that has just started
// knows only the few prompts that it sent itself. If no peer is synced, the nodes divide the engines among
// themselves, and each broadcasts the answers of its engines. Engines whose assigned node is gone are then queried
// by a live one. Answering delays an engine's other work, so each engine is queried only once.
type cacheResync struct {
	Self, DataCentre string
	// FirstStart says that the whole fleet starts for the first time and all caches are empty.
	FirstStart bool
	Placer     *sagechain.Placer
	Inspector  Inspector
	// Peers returns the other live nodes.
	Peers func() []sagemesh.Member
	// Engines returns the engines in service, or false before they are known.
	Engines func() ([]*sageupstream.Entry, bool)
	// RegisteredNodes returns the names of the nodes in the store, as far as known. RegistrationDone reports whether
	// this node is registered and has listed the others.
	RegisteredNodes  func() []string
	RegistrationDone func() bool
	// FetchHolders queries a peer for all cached parts that it knows of.
	FetchHolders func(ctx context.Context, address string) (sagemesh.Holders, error)
	// Broadcast sends heartbeats to all peers immediately.
	Broadcast func()
	// OnLeaving is called if an engine's answer announces that it leaves.
	OnLeaving func(e *sageupstream.Entry)
	// PropagationInterval returns the time within which nodes that start together discover each other.
	PropagationInterval func() time.Duration
	Log                 sagelog.Logger

	// synced says that the resync is complete.
	synced atomic.Bool

	startedAt time.Time

	mu          sync.Mutex
	listedParts map[string][]uint64 // answers of the engines queried by this node, by upstream
}

// Run resyncs once and returns when ctx ends.
func (r *cacheResync) Run(ctx context.Context) error {
	r.startedAt = time.Now()
	r.listedParts = make(map[string][]uint64)
	if !r.FirstStart {
		r.resync(ctx)
	}
	r.synced.Store(true)
	<-ctx.Done()
	return nil
}

// resync queries a synced peer, or the engines if there is none.
func (r *cacheResync) resync(ctx context.Context) {
	r.pollUntil(ctx, func() bool { return r.anyPeerSynced() || r.enginesAssignable() })
	r.pollFor(ctx, peerTimeout, r.anyPeerSynced)
	if r.fetchFromPeer(ctx) || ctx.Err() != nil {
		return
	}
	registered := r.RegisteredNodes()
	r.queryEngines(ctx, func(upstream string) bool { return isAssigned(r.Self, registered, upstream) })
	if r.propagate(ctx) {
		return
	}
	live := r.liveNodes()
	r.queryEngines(ctx, func(upstream string) bool {
		return !isAssigned(r.Self, registered, upstream) && !r.assigneeAlive(registered, live, upstream) && isAssigned(r.Self, live, upstream)
	})
}

// propagate waits until the other nodes have reported their engines' answers, and broadcasts this node's answers
// again when more nodes join. It reports whether a synced peer was queried successfully instead.
//
// Updates on cached parts are sent only once, to the nodes known at that time, so nodes that start a few hundred
// milliseconds later would miss them.
//
// A node that starts alone and discovers its peers late, because its seeds are gone, would know only the engines
// assigned to it. It therefore still queries a peer that is found synced during maxStartSkew: such a peer was
// synced before this node started. A peer that becomes synced later started together with this node and knows no
// more.
func (r *cacheResync) propagate(ctx context.Context) bool {
	start := time.Now()
	end := start.Add(max(minPropagationTime, 2*r.PropagationInterval()))
	fetchUntil := start.Add(minPropagationTime - maxStartSkew)
	for ctx.Err() == nil && time.Now().Before(end) {
		known := len(r.Peers())
		r.pollFor(ctx, min(r.PropagationInterval(), maxStartSkew), func() bool { return time.Now().Before(fetchUntil) && r.anyPeerSynced() })
		if time.Now().Before(fetchUntil) && r.fetchFromPeer(ctx) {
			return true
		}
		if len(r.Peers()) > known {
			r.broadcastListed()
		}
	}
	return false
}

// broadcastListed records the answers of the engines queried by this node and broadcasts them.
func (r *cacheResync) broadcastListed() {
	r.mu.Lock()
	for upstream, parts := range r.listedParts {
		r.Placer.RecordListed(sageclock.Now(), upstream, parts)
	}
	r.mu.Unlock()
	r.Broadcast()
}

// assigneeAlive reports whether the registered node to which an upstream is assigned is alive.
func (r *cacheResync) assigneeAlive(registered, live []string, upstream string) bool {
	return slices.ContainsFunc(live, func(n string) bool { return isAssigned(n, registered, upstream) })
}

// pollFor polls until done returns true or the time-out expires.
func (r *cacheResync) pollFor(ctx context.Context, timeout time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.pollUntil(ctx, done)
}

// pollUntil polls until done returns true or ctx ends.
func (r *cacheResync) pollUntil(ctx context.Context, done func() bool) {
	t := time.NewTicker(resyncPollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *cacheResync) anyPeerSynced() bool {
	return slices.ContainsFunc(r.Peers(), func(m sagemesh.Member) bool { return m.Synced })
}

// enginesAssignable reports whether the engines are known and can be divided among the registered nodes. If the
// registration takes too long, they are divided among the discovered nodes.
func (r *cacheResync) enginesAssignable() bool {
	_, ok := r.Engines()
	return ok && (r.RegistrationDone() || time.Since(r.startedAt) > registrationTimeout)
}

// fetchFromPeer queries one synced peer and merges its answer. It prefers a peer of this data centre, and reports
// whether a peer answered.
func (r *cacheResync) fetchFromPeer(ctx context.Context) bool {
	peers := slices.DeleteFunc(r.Peers(), func(m sagemesh.Member) bool { return !m.Synced })
	if len(peers) == 0 {
		return false
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	distance := func(m sagemesh.Member) int {
		if m.DataCentre == r.DataCentre {
			return 0
		}
		return 1
	}
	peer := slices.MinFunc(peers, func(a, b sagemesh.Member) int { return cmp.Compare(distance(a), distance(b)) }).Address
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	holders, err := r.FetchHolders(ctx, peer)
	if err != nil {
		r.Log.Warn("Peer did not answer the query for cached parts.", "peer", peer, "err", err)
		return false
	}
	r.Placer.Merge(sageclock.Now(), holders.Observed)
	r.Placer.MergeListed(sageclock.Now(), holders.Listed)
	r.Log.Info("Cached parts fetched from a peer.", "peer", peer, "observed", len(holders.Observed), "listed", len(holders.Listed))
	return true
}

// queryEngines queries the engines assigned to this node in parallel and broadcasts their answers.
func (r *cacheResync) queryEngines(ctx context.Context, assigned func(upstream string) bool) {
	engines, _ := r.Engines()
	var queries sync.WaitGroup
	for _, e := range engines {
		if assigned(e.ID) {
			queries.Go(func() { r.queryEngine(ctx, e) })
		}
	}
	queries.Wait()
	r.broadcastListed()
}

// liveNodes returns the names of the other live nodes.
func (r *cacheResync) liveNodes() []string {
	var out []string
	for _, m := range r.Peers() {
		out = append(out, m.Node)
	}
	return out
}

// isAssigned reports whether an upstream is assigned to self rather than to one of the others, by rendezvous
// hashing.
func isAssigned(self string, others []string, upstream string) bool {
	weight := xxhash.Sum64String(self + upstream)
	return !slices.ContainsFunc(others, func(n string) bool { return n != self && xxhash.Sum64String(n+upstream) > weight })
}

func (r *cacheResync) queryEngine(ctx context.Context, e *sageupstream.Entry) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	list, err := r.Inspector.CachedParts(ctx, e)
	if list.Leaving {
		r.OnLeaving(e)
	}
	if err != nil {
		r.Log.Warn("Engine did not answer the query for cached parts.", "upstream", e.ID, "err", err)
		return
	}
	r.mu.Lock()
	r.listedParts[e.ID] = list.Parts
	r.mu.Unlock()
	r.Log.Info("Engine listed its cached parts.", "upstream", e.ID, "parts", len(list.Parts), "leaving", list.Leaving)
}
