package sagehealth

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the ejection by other nodes' reports.
const (
	// minReporters is how many other nodes must report an upstream before it is ejected: with a single one, the fault
	// may be in that node's link. reportersPerRequest is how many are needed for each request in flight there.
	minReporters        = 2
	reportersPerRequest = 0.75
	// reportDuration is how long a node reports an upstream after a broken exchange.
	reportDuration = 2 * time.Second
	// responseTolerance is how long a sound upstream may be unresponsive.
	responseTolerance = 1200 * time.Millisecond
	// ownAnswerDuration is how long an answer that this node got itself overrides the reports of others: an upstream
	// may be unreachable from one data centre only.
	ownAnswerDuration = time.Second
	// suspicionDuration is how long an upstream is suspected after a broken exchange without a complete answer since.
	// Within this time the lease of a crashed upstream lapses.
	suspicionDuration = 4 * time.Second
	// maxReported limits the upstreams in one heartbeat, to about a kilobyte.
	maxReported = 64
	// meanEjection is the mean time of an ejection after the last report. The time of a node is between 0.5 and 1.5
	// of it, so that not all nodes try the upstream again at the same time.
	meanEjection = time.Second
)

// RecentlyBroken returns the upstreams to report to the other nodes: those whose last exchange with this node
// broke recently.
func (t *Tracker) RecentlyBroken(now sageclock.Instant) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, s := range t.services {
		for id, r := range s.upstreams {
			if len(out) < maxReported && r.reportable(now) {
				out = append(out, id)
			}
		}
	}
	return out
}

// reportable reports whether the upstream's last exchange broke recently. Stalled ones count once the upstream has been
// unresponsive for longer than sound upstreams are.
func (r *upstreamRecord) reportable(now sageclock.Instant) bool {
	if r.brokenStreak == 0 || now.Sub(r.lastBroken) >= reportDuration {
		return false
	}
	return !r.onlyStalled || r.lastBroken.Sub(r.brokenSince) >= responseTolerance
}

// RecordReports records how many other nodes report broken exchanges with an upstream. load is the number of
// requests in flight there from all nodes. It returns true if the upstream is newly ejected.
//
// Without reports, each node would have to find out by itself: in a large fleet a node sends a request to an
// engine only every ten seconds or more, so an engine that passes its health check and resets every connection
// would fail one request of each node.
//
// The number of reports is compared with the load to keep upstreams that lose only some answers. When an upstream
// is down, all its requests break, and there are as many reports as requests; otherwise there are fewer. Ejecting
// half of a service for a few lost answers would push the rest above the load bound, and the cached prompts of the
// ejected upstreams would be processed again.
func (t *Tracker) RecordReports(now sageclock.Instant, service, upstream string, nodes, load int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(service, upstream)
	if nodes > 0 {
		r.lastReported = now
	}
	ownAnswer := r.lastOK != 0 && now.Sub(r.lastOK) < ownAnswerDuration
	required := max(minReporters, int(math.Ceil(reportersPerRequest*float64(load))))
	if nodes < required || r.brokenStreak > 0 || ownAnswer {
		return false
	}
	jitter := time.Duration(xxhash.Sum64String(t.Self+upstream) % uint64(meanEjection))
	newlyEjected := r.excludedUntil <= now
	r.excludedUntil = max(r.excludedUntil, now.Add(meanEjection/2+jitter))
	return newlyEjected
}

// Suspected reports whether an upstream may have stopped: an exchange of this or another node broke recently, and
// this node got no complete answer since.
func (t *Tracker) Suspected(now sageclock.Instant, service, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(service, upstream)
	if r == nil {
		return false
	}
	if r.brokenStreak > 0 && now.Sub(r.lastBroken) < suspicionDuration {
		return true
	}
	return r.lastReported > r.lastOK && now.Sub(r.lastReported) < suspicionDuration
}
