package sagerouter

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of a recall.
const (
	// peerWithin is how long a started node waits to hear of a peer that has been serving: half a
	// heartbeat, since requests come in meanwhile.
	peerWithin = 120 * time.Millisecond
	// recallPoll is how often it looks.
	recallPoll = 10 * time.Millisecond
	// askWithin bounds one question to a peer or an upstream.
	askWithin = time.Second
	// startWithin is how long a node waits for its first view of the upstreams.
	startWithin = 10 * time.Second
)

// Inspector asks an upstream which prompt parts it holds.
type Inspector interface {
	Held(ctx context.Context, u *sageupstream.Entry) ([]uint64, error)
}

// recall finds out at the start which upstreams hold which prompt parts.
//
// It guards against a fleet that forgets: after all nodes were killed at once, prompts go to other
// engines than before, which read the shared parts again. A node that starts alone asks a peer; if no
// peer knows anything, the nodes divide the engines among themselves, ask each once and tell the
// others. Engines answer such a question at the cost of their work, so nobody asks twice.
type recall struct {
	node    *Node
	fetcher *sagemesh.Fetcher
}

// Run recalls once and waits for ctx.
func (r *recall) Run(ctx context.Context) error {
	if !r.node.Settings.FirstStart && r.wait(ctx, startWithin, func() bool { return r.node.view.set.Load() != nil && r.node.fleet.Table() != nil }) {
		r.once(ctx)
	}
	<-ctx.Done()
	return nil
}

func (r *recall) once(ctx context.Context) {
	var peer string
	r.wait(ctx, peerWithin, func() bool {
		for _, m := range r.node.mesh.Live() {
			if m.Ready {
				peer = m.Address
			}
		}
		return peer != ""
	})
	if peer != "" && r.fromPeer(ctx, peer) {
		return
	}
	r.fromUpstreams(ctx)
}

// wait polls until done says yes or the time is over, and returns whether it did.
func (r *recall) wait(ctx context.Context, within time.Duration, done func() bool) bool {
	until := time.Now().Add(within)
	for !done() {
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		time.Sleep(recallPoll)
	}
	return true
}

// fromPeer learns what a peer knows, and reports whether that was anything.
func (r *recall) fromPeer(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	held, err := r.fetcher.Held(ctx, peer)
	if err != nil {
		r.node.Log.Part("recall").Warn("Peer did not tell what engines hold.", "peer", peer, "err", err)
		return false
	}
	r.node.fleet.placer.Learn(sageclock.Now(), held)
	r.node.Log.Part("recall").Info("Learnt from a peer what engines hold.", "peer", peer, "upstreams", len(held))
	return len(held) > 0
}

// fromUpstreams asks this node's part of the engines.
func (r *recall) fromUpstreams(ctx context.Context) {
	table, set := r.node.fleet.Table(), r.node.view.set.Load()
	for name, s := range table.Services {
		if !s.Engine {
			continue
		}
		for _, e := range set.Of(name) {
			if r.mine(e.ID) {
				go r.ask(ctx, e)
			}
		}
	}
}

// mine reports whether this node is the one to ask an upstream, by rendezvous hashing over the nodes
// in the store.
func (r *recall) mine(upstream string) bool {
	self := r.node.Settings.Node
	best := xxhash.Sum64String(self + upstream)
	for _, n := range r.node.registered() {
		if n != self && xxhash.Sum64String(n+upstream) > best {
			return false
		}
	}
	return true
}

func (r *recall) ask(ctx context.Context, e *sageupstream.Entry) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	parts, err := r.node.Inspector.Held(ctx, e)
	log := r.node.Log.Part("recall")
	if err != nil {
		log.Warn("Engine did not tell what it holds.", "upstream", e.ID, "err", err)
		return
	}
	r.node.fleet.placer.Found(sageclock.Now(), e.ID, parts)
	log.Info("Engine told what it holds.", "upstream", e.ID, "parts", len(parts))
}
