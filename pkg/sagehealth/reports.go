package sagehealth

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How other nodes' reports weigh.
const (
	// leastReporters is how many other nodes must report an upstream before it is ejected: one may have a link of
	// its own that broke. reportersPerRequest is how many must for each request in flight there.
	leastReporters      = 2
	reportersPerRequest = 0.75
	// reportFor is how long a node reports an exchange that broke.
	reportFor = 2 * time.Second
	// ownFor is how long an answer that this node got itself counts more: an upstream may fail the
	// nodes of one data centre only.
	ownFor = time.Second
	// suspectFor is how long an upstream is suspect after a broken exchange without a whole answer since: the time
	// in which the lease of one that crashed lapses.
	suspectFor = 4 * time.Second
	// mostReported bounds what one heartbeat reports, to a kilobyte.
	mostReported = 64
	// ejectFor is the mean time for which an upstream is ejected from the last report on. The nodes' times
	// differ between half and one and a half of it, so that not all try at once when the reports end.
	ejectFor = time.Second
)

// Broken returns the upstreams with which this node's own exchanges broke of late, the last one among
// them.
func (b *Tracker) RecentlyBroken(now sageclock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, s := range b.services {
		for id, r := range s.records {
			if len(out) < mostReported && r.streak > 0 && now.Sub(r.broke) < reportFor {
				out = append(out, id)
			}
		}
	}
	return out
}

// Reported takes in how many other nodes report broken exchanges with an upstream, and how many requests are in
// flight there from all nodes, and reports whether the upstream is ejected from now on.
//
// It guards against many nodes that each find out by themselves: in a large fleet a node sends an
// engine a request each ten seconds or more, so an engine that passes its health check and resets every
// connection fails one request of each node before all know.
//
// It guards against the ejection of half of a service whose upstreams lose some answers: the others would exceed
// the load bound and read again what the ejected ones hold. Of an upstream that is down all requests break, so
// that there are as many reports as requests; of one that loses few answers there are fewer.
func (b *Tracker) RecordReports(now sageclock.Instant, service, upstream string, nodes, load int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service, upstream)
	if nodes > 0 {
		r.reported = now
	}
	trusted := r.ok != 0 && now.Sub(r.ok) < ownFor
	need := max(leastReporters, int(math.Ceil(reportersPerRequest*float64(load))))
	if nodes < need || r.streak > 0 || trusted {
		return false
	}
	spread := time.Duration(xxhash.Sum64String(b.Self+upstream) % uint64(ejectFor))
	began := r.out <= now
	r.out = max(r.out, now.Add(ejectFor/2+spread))
	return began
}

// Suspect reports whether an upstream may have stopped: an exchange of this node or of another one broke
// lately, and this node got no whole answer since.
func (b *Tracker) Suspected(now sageclock.Instant, service, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service, upstream)
	if r == nil {
		return false
	}
	if r.streak > 0 && now.Sub(r.broke) < suspectFor {
		return true
	}
	return r.reported > r.ok && now.Sub(r.reported) < suspectFor
}
