package sagerouter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// keyMargin is how much earlier than the bound on keys a node stops trusting them, for clocks that
// run at slightly different rates.
const keyMargin = 200 * time.Millisecond

// fleet implements [sagerelay.Fleet] on the node's view.
type fleet struct {
	view      *view
	keyProof  *sagefresh.Proof
	keyWithin atomic.Int64 // nanoseconds
	loadCap   atomic.Pointer[float64]
	known     func() []string
	lag       func() time.Duration // of the other nodes' counts
	placer    *sagechain.Placer
	// recalled says that the node knows what the engines hold, as far as the fleet does.
	recalled func() bool
	flights  sageflight.Counter
	broken   sageflight.Counter // nodes whose own exchanges broke
	health   sagehealth.Tracker
	paces    paces
	// rollouts is nil if the fleet carries none out; answers are the counts of their answers by key.
	rollouts     *sagerollout.Tracker
	rolloutPaces sagerollout.LatencyTracker
	answers      sageflight.Counter

	mu      sync.Mutex
	cold    sageshare.ColdLimiter
	retries sageshare.RetryLimiter
}

// bounds sets the bounds that settings may change.
func (f *fleet) bounds(b *Bounds) {
	f.keyWithin.Store(int64(millis(b.KeyWithinMillis)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.Ratio, f.retries.Slack = b.RetryRatio, b.RetrySlack
	f.loadCap.Store(&b.LoadCap)
}

// Table implements [sagerelay.Fleet]. A configuration is of no use before the upstreams are known.
func (f *fleet) Table() *sageroute.Table {
	if f.view.set.Load() == nil {
		return nil
	}
	return f.view.table.Load()
}

// Fresh implements [sagerelay.Fleet].
func (f *fleet) Fresh() bool {
	return f.keyProof.Age(sageclock.Now()) < time.Duration(f.keyWithin.Load())-keyMargin
}

// ProofAge implements [sagerelay.Fleet].
func (f *fleet) ProofAge() time.Duration { return f.keyProof.Age(sageclock.Now()) }

// Usable implements [sagerelay.Fleet].
func (f *fleet) Usable(u *sageupstream.Entry) bool { return f.view.set.Load().Usable(u) }

// Leaving implements [sagerelay.Fleet].
func (f *fleet) Leaving(u *sageupstream.Entry) bool {
	now := f.view.set.Load().Get(u.ID)
	return now == nil || now.Draining
}

// Pick implements [sagerelay.Fleet].
//
// While a rollout of the service runs, the request belongs to one of its arms.
func (f *fleet) Pick(q *sagerelay.Query) *sagerelay.Pick {
	now := sageclock.Now()
	set := f.view.set.Load()
	arm := f.arm(now, q.Service, q.Route, len(q.Tried) == 0)
	if p := f.pickFrom(now, set, arm, q); p != nil {
		return p
	}
	if other, ok := f.otherArm(set, q.Service, arm); ok {
		return f.pickFrom(now, set, other, q)
	}
	return nil
}

// pickFrom chooses one of the upstreams that an arm may use.
//
// Warm and healthy upstreams go first, then those that failed lately, then cold ones as far as this
// node's share of what they bear allows.
func (f *fleet) pickFrom(now sageclock.Instant, set *sageupstream.Set, arm sagerollout.Arm, q *sagerelay.Query) *sagerelay.Pick {
	var warm, failing, cold []*sageupstream.Entry
	for _, e := range f.versionsOf(set, q.Service, arm) {
		switch {
		case slices.Contains(q.Tried, e.ID):
		case e.ColdUntil > now:
			cold = append(cold, e)
		case f.health.Avoid(now, q.Service, e.ID):
			failing = append(failing, e)
		default:
			warm = append(warm, e)
		}
	}
	loads := f.flights.Sum(now)
	if len(warm) == 0 {
		warm = failing
	}
	if arm == sagerollout.ArmTarget {
		warm = f.canary(q.Service, warm)
	}
	all := set.All(q.Service)
	if e, c := f.choose(now, warm, all, loads, q); e != nil {
		return f.picked(set, e, c, loads, q)
	}
	perSecond := f.coldRate(q.Service)
	for len(cold) > 0 {
		e, c := f.choose(now, cold, all, loads, q)
		if f.allowCold(now, e.ID, perSecond) {
			return f.picked(set, e, c, loads, q)
		}
		cold = slices.DeleteFunc(cold, func(o *sageupstream.Entry) bool { return o == e })
	}
	return nil
}

// choose returns one of the entries, which are among all of the service: by the prompt's chain, or else the least loaded.
func (f *fleet) choose(now sageclock.Instant, es, all []*sageupstream.Entry, loads map[string]int, q *sagerelay.Query) (*sageupstream.Entry, sagechain.Choice) {
	if len(es) == 0 {
		return nil, sagechain.Choice{}
	}
	if len(q.Chain) == 0 {
		return leastLoaded(es, loads), sagechain.Choice{Reason: "least_loaded"}
	}
	cands := make([]sagechain.Candidate, len(es))
	rest := sagechain.BoundParams{ExcludedUpstreams: len(all) - len(es), CountLag: f.lag(), MeanRunTime: f.paces.of(q.Service).run.Value()}
	if limit := f.loadCap.Load(); limit != nil {
		rest.CapFactor = *limit
	}
	for _, e := range all {
		rest.ExcludedLoad += loads[e.ID]
	}
	for i, e := range es {
		cands[i] = sagechain.Candidate{ID: e.ID, Load: loads[e.ID]}
		rest.ExcludedLoad -= loads[e.ID]
	}
	c, _ := f.placer.Choose(now, cands, rest, q.Chain)
	return es[c.Index], c
}

// leastLoaded returns an entry with the least load; among equals any, so that the nodes, whose
// counts lag, don't all choose the same.
func leastLoaded(es []*sageupstream.Entry, loads map[string]int) *sageupstream.Entry {
	off := rand.IntN(len(es))
	best := es[off]
	for i := range es {
		if e := es[(off+i)%len(es)]; loads[e.ID] < loads[best.ID] {
			best = e
		}
	}
	return best
}

func (f *fleet) picked(set *sageupstream.Set, e *sageupstream.Entry, c sagechain.Choice, loads map[string]int, q *sagerelay.Query) *sagerelay.Pick {
	p := &sagerelay.Pick{
		Upstream: e, Rule: string(c.Reason), Load: loads[e.ID], UncachedTokens: q.Chain.Tokens() - max(c.HeldTokens, c.CopyTokens), Done: f.flights.Start(e.ID),
	}
	if from := set.Reachable(sageclock.Now(), c.CopyFrom); from != nil {
		p.CacheSource = from.Address
	}
	return p
}

// source judges whether an upstream can be copied from: it runs, and its answers don't break.
func (f *fleet) source(upstream string) sagechain.SourceTrust {
	now := sageclock.Now()
	e := f.view.set.Load().Reachable(now, upstream)
	switch {
	case e == nil || f.health.Excluded(now, e.Service, upstream):
		return sagechain.SourceUnusable
	case f.health.Suspected(now, e.Service, upstream):
		return sagechain.SourceSuspect
	}
	return sagechain.SourceTrusted
}

func (f *fleet) coldRate(service string) float64 {
	if s := f.Table().Services[service]; s != nil {
		return s.ColdPerSecond
	}
	return 0
}

func (f *fleet) allowCold(now sageclock.Instant, upstream string, perSecond float64) bool {
	known := f.known()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.Allow(now, known, upstream, perSecond)
}

// First implements [sagerelay.Fleet].
func (f *fleet) RecordFirstSend(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.RecordFirstSend(sageclock.Now(), service)
}

// Again implements [sagerelay.Fleet].
func (f *fleet) AllowRetry(service string) bool {
	nodes := len(f.known())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.Allow(sageclock.Now(), service, nodes)
}

// Began implements [sagerelay.Fleet].
func (f *fleet) RecordFirstEvent(p *sagerelay.Pick, took time.Duration) {
	if p.UncachedTokens > 0 {
		f.paces.of(p.Upstream.Service).read.Add(float64(p.UncachedTokens), took)
	}
}

// Ran implements [sagerelay.Fleet].
func (f *fleet) RecordServiceTime(service string, took time.Duration) {
	f.paces.of(service).run.Add(took)
}

// Reads implements [sagerelay.Fleet].
func (f *fleet) PrefillTime(service string, tokens int) time.Duration {
	return time.Duration(tokens) * f.paces.of(service).read.Slope()
}

// Ended implements [sagerelay.Fleet].
func (f *fleet) RecordExchange(u *sageupstream.Entry, res sagehealth.Result) {
	f.health.Record(sageclock.Now(), u.Service, u.ID, res)
}

// told takes in with how many other nodes' exchanges each upstream broke.
func (f *fleet) told(now sageclock.Instant) {
	set, table, loads := f.view.set.Load(), f.view.table.Load(), f.flights.Sum(now)
	for id, nodes := range f.broken.SumOthers(now) {
		e := set.Get(id)
		if e == nil {
			continue
		}
		load := 0
		if holdsPrompts(table, e.Service) {
			load = loads[id]
		}
		if f.health.RecordReports(now, e.Service, id, nodes, load) {
			f.view.log.Limited(sagelog.KindStateChange, "Upstream is avoided, as other nodes' exchanges broke.", "upstream", id, "service", e.Service, "nodes", nodes, "load", load)
		}
	}
}

// holdsPrompts reports whether the upstreams of a service hold prompts, which ejecting one costs.
func holdsPrompts(t *sageroute.Table, service string) bool {
	return t != nil && t.Services[service] != nil && t.Services[service].Engine
}

// Read implements [sagerelay.Fleet].
func (f *fleet) RecordPrompt(u *sageupstream.Entry, c sagechain.Chain) {
	f.placer.Record(sageclock.Now(), u.ID, c)
}

// Gone implements [sagerelay.Fleet].
func (f *fleet) RecordMisdirected(u *sageupstream.Entry) {
	f.health.Record(sageclock.Now(), u.Service, u.ID, sagehealth.Broken)
	f.placer.Forget(u.ID)
}
