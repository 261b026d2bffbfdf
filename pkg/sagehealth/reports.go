package sagehealth

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How much the other nodes' words weigh.
const (
	// enoughReporters is how many other nodes must say that an upstream is broken: one may have a link
	// of its own that broke. loadReporters is how many more must for each request in flight there.
	enoughReporters = 2
	loadReporters   = 0.75
	// toldFor is how long a node tells of an exchange that broke.
	toldFor = 2 * time.Second
	// ownFor is how long an answer that this node got itself counts more: an upstream may fail the
	// nodes of one data centre only.
	ownFor = time.Second
	// doubtFor is how long a broken exchange without a whole answer since casts doubt on an upstream: the time
	// in which the lease of one that crashed lapses.
	doubtFor = 4 * time.Second
	// mostTold bounds what one heartbeat tells, to a kilobyte.
	mostTold = 64
	// avoidFor is the mean time for which an upstream is avoided on others' words, from the last of
	// them on. The nodes' times differ between half and one and a half of it, so that not all try at
	// once when the words end.
	avoidFor = time.Second
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

// Told takes in with how many other nodes exchanges of an upstream broke of late, and how many requests are in
// flight there from all nodes, and reports whether the upstream is avoided from now on because of it.
//
// It guards against an ejection of half of a service while its upstreams lose some answers in a hundred: the
// others get their load as well, beyond the cap, and read again what the ejected ones hold. An upstream that is
// down has no requests in flight, or none that end well; of one that loses few answers, fewer nodes say so than
// there are requests.
//
// It guards against many nodes that each find out by themselves: in a large fleet a node sends an
// engine a request each ten seconds or more, so an engine that passes its health check and resets every
// connection fails one request of each node before all know.
func (b *Book) Told(now sageclock.Instant, service, upstream string, nodes, load int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service, upstream)
	if nodes > 0 {
		r.told = now
	}
	trusted := r.ok != 0 && now.Sub(r.ok) < ownFor
	need := max(enoughReporters, int(math.Ceil(loadReporters*float64(load))))
	if nodes < need || r.streak > 0 || trusted {
		return false
	}
	spread := time.Duration(xxhash.Sum64String(b.Self+upstream) % uint64(avoidFor))
	began := r.out <= now
	r.out = max(r.out, now.Add(avoidFor/2+spread))
	return began
}

// Doubtful reports whether an upstream may have stopped: an exchange of this node or of another one broke
// lately, and this node got no whole answer since.
func (b *Book) Doubtful(now sageclock.Instant, service, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service, upstream)
	if r == nil {
		return false
	}
	if r.streak > 0 && now.Sub(r.broke) < doubtFor {
		return true
	}
	return r.told > r.ok && now.Sub(r.told) < doubtFor
}
