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

// Times of a recall.
const (
	// peerWithin is how long a started node that knows its peers waits to hear of one that can tell it
	// everything: its heartbeat and the answer to it over the longest way between data centres, an
	// estimate. Meanwhile requests come in whose prompts are read again.
	peerWithin = 25 * time.Millisecond
	// registerPatience is how long a node waits to be registered before it takes the nodes that it
	// heard of for all: the store may refuse writes and answer reads.
	registerPatience = time.Second
	// recallPoll is how often it looks.
	recallPoll = 10 * time.Millisecond
	// askWithin bounds one question to a peer or an upstream.
	askWithin = time.Second
	// startsWithin is the time within which nodes that were stopped together start again, as the
	// platform states it.
	startsWithin = 300 * time.Millisecond
	// mostSettleInterval bounds the interval of heartbeats that a started node allows for: nodes are heard of as
	// soon as they start, in a fleet of any size.
	mostSettleInterval = time.Second
	// settleLeast is the least time that the other nodes have for telling what their engines said:
	// startsWithin, and as much for the engines' answers and a heartbeat.
	settleLeast = 2 * startsWithin
)

// Inspector asks an upstream which prompt parts it holds.
type Inspector interface {
	CachedParts(ctx context.Context, u *sageupstream.Entry) ([]uint64, error)
}

// recall finds out at the start which upstreams hold which prompt parts. Its exported fields are set
// before Run.
//
// It guards against a fleet that forgets: after all nodes were stopped at once, prompts go to other
// engines than before, which read the shared parts again. A node that starts alone asks a peer. Only a
// peer that is informed counts: one that has started a moment earlier knows no more than the few
// prompts that it sent itself. If there is none, the nodes divide the engines among themselves, ask
// each once and tell the others; what nobody told, because the node whose part it was is gone, is
// asked for by one of those that live. Engines answer such a question at the cost of their work, so
// each is asked once.
type recall struct {
	Self, DataCentre string
	// FirstStart says that the whole fleet starts for the first time: there is nothing to recall.
	FirstStart bool
	Placer     *sagechain.Placer
	Inspector  Inspector
	// Peers are the other live nodes.
	Peers func() []sagemesh.Member
	// Engines are the engines in service, false before they are known.
	Engines func() ([]*sageupstream.Entry, bool)
	// Named are the nodes in the store, as far as known; Registered says that they are, and were told of
	// this node.
	Named      func() []string
	Registered func() bool
	// Fetch asks a peer.
	Fetch func(ctx context.Context, address string) (sagemesh.Holders, error)
	// Tell has the other nodes told at once.
	Tell func()
	// Interval is the time in which the nodes that started with this one hear of each other.
	Interval func() time.Duration
	Log      sagelog.Logger

	// informed says that this node knows what the fleet knows.
	informed atomic.Bool

	began time.Time

	mu    sync.Mutex
	found map[string][]uint64 // what engines told this node, by upstream
}

// Run recalls once and waits for ctx.
func (r *recall) Run(ctx context.Context) error {
	r.began = time.Now()
	r.found = make(map[string][]uint64)
	if !r.FirstStart {
		r.once(ctx)
	}
	r.informed.Store(true)
	<-ctx.Done()
	return nil
}

// once asks a peer, or the engines.
func (r *recall) once(ctx context.Context) {
	r.until(ctx, func() bool { return r.anyInformed() || r.ready() })
	r.wait(ctx, peerWithin, r.anyInformed)
	if r.fromPeer(ctx) || ctx.Err() != nil {
		return
	}
	named := r.Named()
	r.fromEngines(ctx, func(upstream string) bool { return first(r.Self, named, upstream) })
	if r.settle(ctx) {
		return
	}
	living := r.living()
	r.fromEngines(ctx, func(upstream string) bool {
		return !first(r.Self, named, upstream) && !r.asked(named, living, upstream) && first(r.Self, living, upstream)
	})
}

// settle gives the other nodes time to tell what their engines said, and tells those that join
// meanwhile what this node's engines said. It reports whether a peer told everything instead.
//
// It guards against nodes that start some hundred milliseconds after the others: facts on prompt parts
// are told once, to the nodes that are known then. And it guards against a node that starts alone in a
// large fleet and hears of no peer at first, because its seeds are gone: it would know its own part of the
// engines only. A peer that is informed this early has been so before; later, nodes that started
// together are, and have nothing to add.
func (r *recall) settle(ctx context.Context) bool {
	began := time.Now()
	until := began.Add(max(settleLeast, 2*r.Interval()))
	early := began.Add(settleLeast - startsWithin)
	for ctx.Err() == nil && time.Now().Before(until) {
		before := len(r.Peers())
		r.wait(ctx, min(r.Interval(), startsWithin), func() bool { return time.Now().Before(early) && r.anyInformed() })
		if time.Now().Before(early) && r.fromPeer(ctx) {
			return true
		}
		if len(r.Peers()) > before {
			r.tell()
		}
	}
	return false
}

// tell tells all nodes what this node's engines said.
func (r *recall) tell() {
	r.mu.Lock()
	for upstream, parts := range r.found {
		r.Placer.RecordListed(sageclock.Now(), upstream, parts)
	}
	r.mu.Unlock()
	r.Tell()
}

// asked reports whether the node that comes first among those named for an upstream lives.
func (r *recall) asked(named, living []string, upstream string) bool {
	return slices.ContainsFunc(living, func(n string) bool { return first(n, named, upstream) })
}

// wait polls until done says yes or the time is over.
func (r *recall) wait(ctx context.Context, within time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r.until(ctx, done)
}

// until polls until done says yes or ctx ends.
func (r *recall) until(ctx context.Context, done func() bool) {
	t := time.NewTicker(recallPoll)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *recall) anyInformed() bool {
	return slices.ContainsFunc(r.Peers(), func(m sagemesh.Member) bool { return m.Synced })
}

// ready reports whether the engines can be asked and divided among the nodes.
func (r *recall) ready() bool {
	_, ok := r.Engines()
	return ok && (r.Registered() || time.Since(r.began) > registerPatience)
}

// fromPeer learns what an informed peer knows, and reports whether one told it. One of this data centre
// is asked if there is any, else any.
func (r *recall) fromPeer(ctx context.Context) bool {
	peers := slices.DeleteFunc(r.Peers(), func(m sagemesh.Member) bool { return !m.Synced })
	if len(peers) == 0 {
		return false
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	near := func(m sagemesh.Member) int {
		if m.DataCentre == r.DataCentre {
			return 0
		}
		return 1
	}
	peer := slices.MinFunc(peers, func(a, b sagemesh.Member) int { return cmp.Compare(near(a), near(b)) }).Address
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	held, err := r.Fetch(ctx, peer)
	if err != nil {
		r.Log.Warn("Peer did not tell what engines hold.", "peer", peer, "err", err)
		return false
	}
	r.Placer.Merge(sageclock.Now(), held.Observed)
	r.Placer.MergeListed(sageclock.Now(), held.Listed)
	r.Log.Info("Learnt from a peer what engines hold.", "peer", peer, "told", len(held.Observed), "listed", len(held.Listed))
	return true
}

// fromEngines asks the engines that are this node's to ask, all at once, and tells the others.
func (r *recall) fromEngines(ctx context.Context, mine func(upstream string) bool) {
	engines, _ := r.Engines()
	var asking sync.WaitGroup
	for _, e := range engines {
		if mine(e.ID) {
			asking.Go(func() { r.ask(ctx, e) })
		}
	}
	asking.Wait()
	r.tell()
}

// living returns the names of the nodes that live.
func (r *recall) living() []string {
	var out []string
	for _, m := range r.Peers() {
		out = append(out, m.Node)
	}
	return out
}

// first reports whether a node comes first among others for an upstream, by rendezvous hashing.
func first(self string, others []string, upstream string) bool {
	mine := xxhash.Sum64String(self + upstream)
	return !slices.ContainsFunc(others, func(n string) bool { return n != self && xxhash.Sum64String(n+upstream) > mine })
}

func (r *recall) ask(ctx context.Context, e *sageupstream.Entry) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	parts, err := r.Inspector.CachedParts(ctx, e)
	if err != nil {
		r.Log.Warn("Engine did not tell what it holds.", "upstream", e.ID, "err", err)
		return
	}
	r.mu.Lock()
	r.found[e.ID] = parts
	r.mu.Unlock()
	r.Log.Info("Engine told what it holds.", "upstream", e.ID, "parts", len(parts))
}
