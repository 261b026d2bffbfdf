package sagerouter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageupstream"
)

const (
	// pathPollInterval is how often paths that aren't open are checked for due probes.
	pathPollInterval = 50 * time.Millisecond
	// answerValidity is how long an answer over a new connection shows that the path is open.
	answerValidity = 200 * time.Millisecond
	// minPathReturn and maxPathReturn limit the Retry-After of callers whose service no node reaches.
	minPathReturn = 500 * time.Millisecond
	maxPathReturn = 3 * time.Second
)

// pathProber probes the paths to services that are suspected or lost.
type pathProber struct {
	node *Node
	wake chan struct{} // receives a value when a path is suspected
}

// Run probes until ctx ends. While all paths are open it does nothing.
func (p *pathProber) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
			p.probeUntilOpen(ctx)
		}
	}
}

func (p *pathProber) probeUntilOpen(ctx context.Context) {
	t := time.NewTicker(pathPollInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		services := p.node.fleet.reach.Services(sagereach.Suspected, sagereach.Lost)
		if len(services) == 0 {
			return
		}
		for _, s := range services {
			p.startRound(ctx, s)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// startRound starts the probes of a round if one is due.
func (p *pathProber) startRound(ctx context.Context, service string) {
	f := p.node.fleet
	set := f.view.upstreams.Load()
	candidates := probeCandidates(sageclock.Now(), set.Available(service))
	if len(candidates) == 0 {
		f.reach.Forget(service)
		return
	}
	for _, id := range f.reach.StartRound(sageclock.Now(), service, candidates) {
		go p.probe(ctx, set.Get(id), f.healthPath(service))
	}
}

// probeCandidates returns the IDs of the warm upstreams, or of all if there are none.
func probeCandidates(now sageclock.Instant, es []*sageupstream.Entry) []string {
	var all, warm []string
	for _, e := range es {
		all = append(all, e.ID)
		if e.ColdUntil <= now {
			warm = append(warm, e.ID)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return all
}

func (p *pathProber) probe(ctx context.Context, e *sageupstream.Entry, healthPath string) {
	f := p.node.fleet
	res := p.node.relay.ProbePath(ctx, e.Address, healthPath)
	now := sageclock.Now()
	if f.isFull(now, e) {
		res = res.IfFull()
	}
	if t := f.reach.RecordProbe(now, e.Service, e.ID, res); t != nil {
		p.node.handleTransition(now, t)
	}
}

// assumedSlots stands for the slots of an upstream that doesn't register them.
const assumedSlots = 8

// isFull reports whether an upstream has as many requests in flight from all nodes as it executes at once.
func (f *fleet) isFull(now sageclock.Instant, e *sageupstream.Entry) bool {
	return f.inFlight.Sum(now)[e.ID] >= cmp.Or(e.Slots, assumedSlots)
}

// handleTransition applies the loss or return of the path to a service.
func (n *Node) handleTransition(now sageclock.Instant, t *sagereach.Transition) {
	n.fleet.health.Forgive(t.Service, t.Since)
	msg := "Path to upstreams regained."
	if t.Lost {
		msg = "Path to upstreams lost."
		n.metrics.GetOrCreateCounter(`sagestand_paths_lost_total{service="` + t.Service + `"}`).Inc()
	}
	n.Log.Component("path").Info(msg, "service", t.Service, "since_ms", now.Sub(t.Since).Milliseconds(), "unanswered", t.Unanswered, "probes", t.Probes,
		"answered_others", n.fleet.countAnsweredOthers(now, t.Service), "helpers", len(n.fleet.helperCandidates(now, t.Service)))
	n.mesh.TriggerHeartbeats(true)
}

// healthPath returns the path of the health check of a service's upstreams.
func (f *fleet) healthPath(service string) string {
	if t := f.view.table.Load(); t != nil && t.Services[service] != nil {
		return t.Services[service].HealthPath
	}
	return ""
}

// PathState implements [sagerelay.Fleet].
func (f *fleet) PathState(service string) sagereach.PathState { return f.reach.State(service) }

// Answered implements [sagerelay.Fleet].
func (f *fleet) Answered(service string) bool {
	return f.reach.AnsweredSince(service, "", sageclock.Now().Add(-answerValidity))
}

// ReachedByOthers implements [sagerelay.Fleet].
func (f *fleet) ReachedByOthers(upstreams []string) bool {
	answered := f.answeredNodes.SumOthers(sageclock.Now())
	return slices.ContainsFunc(upstreams, func(id string) bool { return answered[id] > 0 })
}

// PathReturn implements [sagerelay.Fleet]. The longer the path has been lost, the longer it is expected to stay lost.
func (f *fleet) PathReturn(service string) time.Duration {
	since := f.reach.LostSince(service)
	if since == 0 {
		return minPathReturn
	}
	return min(max(sageclock.Now().Sub(since)/2, minPathReturn), maxPathReturn)
}

// suspectPath suspects the path to a service if its upstreams stopped answering, and wakes the prober.
func (f *fleet) suspectPath(now sageclock.Instant, service string) {
	if !f.reach.Suspect(now, service, len(f.view.upstreams.Load().Available(service))) {
		return
	}
	select {
	case f.pathSuspected <- struct{}{}:
	default:
	}
}

// reportableBroken returns the upstreams to report to the other nodes as broken, and those that may only be out of this
// node's reach.
func (f *fleet) reportableBroken(now sageclock.Instant) (broken, unanswered []string) {
	set := f.view.upstreams.Load()
	for _, id := range f.health.RecentlyBroken(now) {
		if e := set.Get(id); e != nil && f.reach.State(e.Service) != sagereach.Open {
			unanswered = append(unanswered, id)
		} else {
			broken = append(broken, id)
		}
	}
	return broken, unanswered
}

// candidateCacheDuration is how long the list of peers with a path is reused. Sorting the live nodes of a large fleet
// for each request would cost more than relaying it.
const candidateCacheDuration = 100 * time.Millisecond

// helperCache holds the peers with a path by service.
type helperCache struct {
	mu       sync.Mutex
	services map[string]cachedCandidates
}

type cachedCandidates struct {
	until      sageclock.Instant
	candidates []sagereach.Candidate // in this region
	nodes      []string              // in all regions
}

// helperCandidates returns the peers in this region that have a path to the upstreams of a service. Requests never leave the
// region that their callers chose.
func (f *fleet) helperCandidates(now sageclock.Instant, service string) []sagereach.Candidate {
	return f.peersWithPath(now, service).candidates
}

// peersWithPath returns the peers that have a path to the upstreams of a service.
func (f *fleet) peersWithPath(now sageclock.Instant, service string) cachedCandidates {
	f.helperCache.mu.Lock()
	defer f.helperCache.mu.Unlock()
	if c := f.helperCache.services[service]; now < c.until {
		return c
	}
	out := cachedCandidates{until: now.Add(candidateCacheDuration)}
	for _, m := range f.livePeers() {
		if !m.Ready || m.Leaving || slices.Contains(m.Unreachable, service) {
			continue
		}
		out.nodes = append(out.nodes, m.Node)
		if m.Region == f.region {
			out.candidates = append(out.candidates, sagereach.Candidate{Node: m.Node, Address: m.Address, Local: m.DataCentre == f.dataCentre})
		}
	}
	if f.helperCache.services == nil {
		f.helperCache.services = make(map[string]cachedCandidates)
	}
	f.helperCache.services[service] = out
	return out
}

// PickHelper implements [sagerelay.Fleet].
func (f *fleet) PickHelper(service string, tried []string) *sagerelay.Helper {
	now := sageclock.Now()
	c, ok := f.helpers.Start(now, f.helperCandidates(now, service), tried)
	if !ok {
		return nil
	}
	return &sagerelay.Helper{Node: c.Node, Address: c.Address, Done: func(refused bool) { f.helpers.End(sageclock.Now(), c.Node, refused) }}
}

// retainHelpers drops the records of peers that are gone.
func (f *fleet) retainHelpers() {
	live := make(map[string]bool)
	for _, m := range f.livePeers() {
		live[m.Node] = true
	}
	f.helpers.Retain(func(node string) bool { return live[node] })
}

// RelaySaturated implements [sagerelay.Fleet].
func (f *fleet) RelaySaturated() bool { return f.saturation.check(sageclock.Now()) }
