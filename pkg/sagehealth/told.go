package sagehealth

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How much the other nodes' words weigh.
const (
	// enoughTellers is how many other nodes must say that an upstream is broken: one may have a link
	// of its own that broke.
	enoughTellers = 2
	// toldFor is how long a statement counts: two heartbeats of a fleet of a hundred nodes.
	toldFor = 2 * time.Second
	// ownFor is how long an answer that this node got itself counts more: an upstream may fail the
	// nodes of one data centre only.
	ownFor = time.Second
	// mostTold bounds what one heartbeat tells, to a kilobyte.
	mostTold = 64
	// shunFor is the mean time for which an upstream is avoided on others' words, from the last of
	// them on. The nodes' times differ between half and one and a half of it, so that not all try at
	// once when the words end.
	shunFor = time.Second
)

// Broken returns the upstreams with which this node's own exchanges broke of late, the last one among
// them.
func (b *Book) Broken(now sageclock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, s := range b.services {
		for id, r := range s.records {
			if len(out) < mostTold && r.streak > 0 && now.Sub(r.broke) < toldFor {
				out = append(out, id)
			}
		}
	}
	return out
}

// Told takes in that another node's exchanges with an upstream broke.
//
// It guards against many nodes that each find out by themselves: in a large fleet a node sends an
// engine a request each ten seconds, so an engine that passes its health check and resets every
// connection fails one request of each node before all know. In the model of load_test.go, with 27 of
// 60 engines broken for five seconds, it is the difference between 46 and 20 requests of a hundred.
func (b *Book) Told(now sageclock.Instant, service, upstream, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service, upstream)
	if r.tellers == nil {
		r.tellers = make(map[string]sageclock.Instant)
	}
	r.tellers[node] = now
	for n, at := range r.tellers {
		if now.Sub(at) >= toldFor {
			delete(r.tellers, n)
		}
	}
	trusted := r.ok != 0 && now.Sub(r.ok) < ownFor
	if len(r.tellers) < enoughTellers || r.streak > 0 || trusted {
		return
	}
	spread := time.Duration(xxhash.Sum64String(b.Self+upstream) % uint64(shunFor))
	r.out = max(r.out, now.Add(shunFor/2+spread))
}
