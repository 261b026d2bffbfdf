package sageplacement

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

const (
	// maxCachedLocations limits the chats whose location is remembered for callers that send no placement token.
	// They take 1 MB.
	maxCachedLocations = 1 << 14
	// maxContextWidths limits the contexts whose width, the number of engines they are spread over, is remembered.
	maxContextWidths = 1 << 10
	// maxGrantWait limits the wait for a unit of an upstream with spare capacity. It covers several grant
	// requests.
	maxGrantWait = 2 * time.Second
	// maxPreferredWait limits the wait for a unit of the preferred upstream, where the prompt prefix is or will be
	// cached, while others have units. It is shorter than prefilling a long prompt elsewhere.
	maxPreferredWait = 60 * time.Millisecond
	// grantPollInterval is the interval between attempts to acquire a unit.
	grantPollInterval = 10 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request may be retried.
	minRetryAfter = 500 * time.Millisecond
)

// Service implements [sageentry.Placement]. Its exported fields must be set before the first call of Pick.
type Service struct {
	Config sageentry.Config
	Load   Load
	// Circuits may be nil: failing upstreams then continue to get requests.
	Circuits Circuits
	// LoadBound is the highest permitted load of an upstream, as a multiple of the mean.
	LoadBound float64
	// TokenSigner signs and verifies placement tokens, which are valid for TokenTTL.
	TokenSigner sageplace.TokenSigner
	TokenTTL    time.Duration
	// Metrics may be nil.
	Metrics *metrics.Set

	mu        sync.Mutex
	state     *sageconfig.State
	groups    map[groupKey]*group
	useSeq    uint64
	releases  uint64 // units released so far
	placer    *sageplace.Placer[*sageplace.WidthByLoad]
	locations *sageplace.PrefixLocations
	pauses    sagebackoff.Pauses[upstreamBoot]
}

// Pick implements [sageentry.Placement]. It waits for a unit while an upstream has spare capacity for which this
// node only lacks the allotment. If no upstream has capacity, the request is refused immediately.
func (s *Service) Pick(ctx context.Context, r *sageentry.Request, tried []string) (*sageentry.Pick, *sagewire.Refusal) {
	start := time.Now()
	until, preferUntil := start.Add(maxGrantWait), start.Add(maxPreferredWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(start.Add(10*maxPreferredWait)) {
		preferUntil = start
	}
	for {
		p, ref, wait := s.tryPick(r, tried, preferUntil)
		if !wait || !time.Now().Before(until) {
			return p, ref
		}
		select {
		case <-ctx.Done():
			return nil, ref
		case <-time.After(grantPollInterval):
		}
	}
}

// tryPick tries once to select an upstream. If it returns wait with a refusal, the next grant may resolve it.
func (s *Service) tryPick(r *sageentry.Request, tried []string, preferUntil time.Time) (p *sageentry.Pick, ref *sagewire.Refusal, wait bool) {
	now := time.Now()
	state := s.Config.State()
	key, ref := groupKeyOf(state, r, now)
	if ref != nil {
		return nil, ref, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(state, key)
	g.refresh(now, s.Load, s.releases)
	q := s.query(now, r, key)
	paused, firstEnd := s.pausedUpstreams(g)
	if len(paused) > 0 && len(paused) == len(g.upstreams) {
		return nil, pausedRefusal(now, r, firstEnd), false
	}
	excluded := append(g.indexes(tried), paused...)
	if declining := g.decliningUpstreams(); len(declining) > 0 {
		q.Tried = append(declining, excluded...)
		if p, _, _ := s.place(now, r, g, q, preferUntil); p != nil {
			return p, nil, false
		}
	}
	q.Tried = excluded
	return s.place(now, r, g, q, preferUntil)
}

// place selects one of the upstreams that aren't in q.Tried. The results are those of tryPick.
func (s *Service) place(now time.Time, r *sageentry.Request, g *group, q *sageplace.Query, preferUntil time.Time) (p *sageentry.Pick, ref *sagewire.Refusal, wait bool) {
	if c := s.preferredWithoutUnit(now, g, q); c.Index >= 0 {
		name := g.table.Upstreams[c.Index].Name
		if s.Load.Acquire(name, now) {
			if s.checkCircuit(now, name, r.Deadline) {
				s.countPlacement(c.Reason)
				return s.pick(now, r, g, c.Index), nil, false
			}
		} else if now.Before(preferUntil) {
			return nil, newRefusal(now, r, g, false), true
		}
	}
	skipped := false
	for {
		c := s.placer.Choose(now, g.table, g.loads, q)
		if c.Index < 0 && g.releasesAtRead != s.releases {
			// Requests of other groups have ended on the same upstreams since the loads were read, so the loads
			// may show an upstream as full that now has capacity.
			g.readLoads(now, s.Load, s.releases)
			continue
		}
		if c.Index < 0 {
			return s.pickIgnoringUnits(now, r, g, q, c.Reason == sageplace.ReasonNoCandidate && !skipped)
		}
		if s.acquire(now, g.table.Upstreams[c.Index].Name, r.Deadline) {
			s.countPlacement(c.Reason)
			return s.pick(now, r, g, c.Index), nil, false
		}
		// The allotment was used up since the loads were read, or the circuit is open. The upstream is excluded,
		// so each iteration has one candidate less and the loop terminates.
		q.Tried = append(q.Tried, c.Index)
		skipped = true
	}
}

// pickIgnoringUnits selects the upstream that would take the request if this node had a unit of it. Trying to
// acquire the unit also requests a grant.
//
// Prevents refusals while the fleet has spare capacity: units are held by the routers that last used them, so a
// router whose callers have just switched to it has none while the upstreams are idle.
func (s *Service) pickIgnoringUnits(now time.Time, r *sageentry.Request, g *group, q *sageplace.Query, allTried bool) (*sageentry.Pick, *sagewire.Refusal, bool) {
	c := s.placer.Choose(now, g.table, g.loads.WithFreeUnits(), q)
	if c.Index >= 0 && s.acquire(now, g.table.Upstreams[c.Index].Name, r.Deadline) {
		s.countPlacement(c.Reason)
		return s.pick(now, r, g, c.Index), nil, false
	}
	s.countPlacement(sageplace.ReasonAllAtBound)
	return nil, newRefusal(now, r, g, allTried), c.Index >= 0
}

// preferredWithoutUnit returns the upstream preferred for the request's prefix, if it has spare capacity but this
// node has no unit of it. Otherwise the index of the choice is -1.
//
// Prevents a chat from permanently losing the engine that has its prefix cached: a router requests units only of
// upstreams that it tries to use, so it would never request one of the preferred engine.
func (s *Service) preferredWithoutUnit(now time.Time, g *group, q *sageplace.Query) sageplace.Choice {
	none := sageplace.Choice{Index: -1}
	if !g.loads.LacksUnits() {
		return none
	}
	c := s.placer.Choose(now, g.table, g.loads.WithFreeUnits(), q)
	if c.Reason != sageplace.ReasonCachedPrefix && c.Reason != sageplace.ReasonHashOrder || g.loads.At(c.Index).Free > 0 {
		return none
	}
	return c
}

// acquire takes a unit of the upstream's allotment for a request if the upstream's circuit allows it.
func (s *Service) acquire(now time.Time, name string, deadline time.Time) bool {
	return s.Load.Acquire(name, now) && s.checkCircuit(now, name, deadline)
}

// checkCircuit reports whether the upstream's circuit allows a request for which a unit was acquired. If not, it
// releases the unit.
func (s *Service) checkCircuit(now time.Time, name string, deadline time.Time) bool {
	if s.Circuits == nil || s.Circuits.AllowSend(now, name, deadline) {
		return true
	}
	s.Load.Release(name, now, false)
	return false
}

// groupKeyOf returns the key of the candidates for a request.
func groupKeyOf(state *sageconfig.State, r *sageentry.Request, now time.Time) (groupKey, *sagewire.Refusal) {
	if state == nil {
		return groupKey{}, sagewire.Refuse(sagewire.ReasonNoConfig, "no configuration yet", now.Add(time.Second))
	}
	route, ok := state.Route(r.Route)
	if !ok || route.Kind != r.Kind {
		return groupKey{}, sagewire.Refuse(sagewire.ReasonNoRoute, fmt.Sprintf("no %s route %q", r.Kind, r.Route), time.Time{})
	}
	key := groupKey{kind: route.Kind, set: route.UpstreamSet, modelSet: route.ModelSet}
	if a, ok := state.ClientAccount(r.Account); ok && a.UpstreamSet != "" && route.Kind == sageconfig.RouteChat {
		key.set = a.UpstreamSet
	}
	return key, nil
}

// group returns the compiled group for a key. The first request under a new configuration state discards all
// groups, so that no request is placed by an earlier state.
func (s *Service) group(state *sageconfig.State, key groupKey) *group {
	if s.placer == nil {
		bound, fresh := sageplace.LoadBounds(s.LoadBound)
		s.placer = &sageplace.Placer[*sageplace.WidthByLoad]{LoadBound: bound, UncachedLoadBound: fresh, WidthPolicy: sageplace.NewWidthByLoad(maxContextWidths)}
		s.locations = sageplace.NewPrefixLocations(maxCachedLocations)
	}
	if s.state != state {
		s.state, s.groups = state, make(map[groupKey]*group)
	}
	g := s.groups[key]
	if g == nil {
		s.evictGroup()
		g = compileGroup(state, key)
		s.groups[key] = g
	}
	s.useSeq++
	g.lastUse = s.useSeq
	return g
}

// evictGroup drops the least recently used group if there are maxGroups.
func (s *Service) evictGroup() {
	if len(s.groups) < maxGroups {
		return
	}
	var oldest groupKey
	oldestUse := s.useSeq + 1
	for k, g := range s.groups {
		if g.lastUse < oldestUse {
			oldest, oldestUse = k, g.lastUse
		}
	}
	delete(s.groups, oldest)
}

// query returns the placement query for a request. The context key includes the upstream set, because the width
// of a context applies to the engines over which it is spread.
func (s *Service) query(now time.Time, r *sageentry.Request, key groupKey) *sageplace.Query {
	q := &sageplace.Query{Request: sageplace.Key(r.ID), Headroom: sageplace.DefaultHeadroom[r.Priority]}
	if r.Context != "" {
		q.Context = sageplace.Key(key.set + "/" + r.Context)
	}
	if r.ChatID == "" {
		return q
	}
	q.Chat = chatKey(r)
	if location, ok := s.TokenSigner.Verify(r.PlacementToken, r.Account, r.ChatID, now); ok {
		q.Location = location
	} else if location, ok := s.locations.Lookup(q.Chat); ok {
		q.Location = location
	}
	return q
}

func chatKey(r *sageentry.Request) uint64 { return sageplace.Key(r.Account + "/" + r.ChatID) }

func (s *Service) pick(now time.Time, r *sageentry.Request, g *group, i int) *sageentry.Pick {
	g.loads.AddRequests(i, 1)
	u, name := g.upstreams[i], g.table.Upstreams[i].Name
	p := &sageentry.Pick{Upstream: name, Address: u.Address, Engine: u.Kind == sageconfig.Engine}
	location := sageplace.Location{Upstream: sageplace.Key(name), Generation: g.loads.At(i).CacheGeneration}
	if p.Engine {
		p.PlacementToken = s.TokenSigner.Sign(r.Account, r.ChatID, location, now.Add(s.TokenTTL))
	}
	boot := g.bootOf(i)
	g.declines.BeginTrial(sageclock.Now(), boot)
	var once sync.Once
	p.Release = func(res *sagedispatch.Result) {
		once.Do(func() {
			s.recordPause(time.Now(), boot, res)
			g.recordDecline(boot, res)
			s.release(r, g, i, location, res)
		})
	}
	return p
}

func (s *Service) release(r *sageentry.Request, g *group, i int, location sageplace.Location, res *sagedispatch.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, name := time.Now(), g.table.Upstreams[i].Name
	completed := res != nil && res.Outcome == sagewire.Complete
	s.Load.Release(name, now, completed)
	g.loads.AddRequests(i, -1)
	s.releases++
	if s.Circuits != nil {
		s.Circuits.RecordResult(now, name, res)
	}
	if completed && r.Kind == sageconfig.RouteChat && r.ChatID != "" {
		s.locations.RecordStored(chatKey(r), location.Upstream, location.Generation)
	}
}

// newRefusal returns the reason why no upstream was selected. The request counts as not run, since nothing was
// sent for the attempt. Retry times are spread by request id, and are later for less urgent requests.
func newRefusal(now time.Time, r *sageentry.Request, g *group, allTried bool) *sagewire.Refusal {
	wait := minRetryAfter * time.Duration(1+2*int(r.Priority))
	at := now.Add(wait + spreadByID(r, wait))
	switch {
	case len(g.upstreams) == 0:
		return sagewire.Refuse(sagewire.ReasonNoUpstream, "no upstream of the set is in service for this route", at)
	case allTried:
		return sagewire.Refuse(sagewire.ReasonNoUpstream, "every upstream of the set was tried", at)
	}
	return sagewire.Refuse(sagewire.ReasonOverloaded, "every upstream of the set is at its bound", at)
}

// spreadByID returns a time below limit that depends on the request id.
func spreadByID(r *sageentry.Request, limit time.Duration) time.Duration {
	return time.Duration(sageplace.Key(r.ID) % uint64(limit))
}

// ruleNames holds the value of the metric label "rule" for each reason.
var ruleNames = [...]string{
	sageplace.ReasonNoCandidate: "empty", sageplace.ReasonAllAtBound: "over", sageplace.ReasonCachedPrefix: "kept",
	sageplace.ReasonHashOrder: "first", sageplace.ReasonSpilled: "spilled", sageplace.ReasonLoadUnknown: "load_unknown",
}

func (s *Service) countPlacement(reason sageplace.Reason) {
	if s.Metrics != nil {
		s.Metrics.GetOrCreateCounter(fmt.Sprintf("sagestand_placements_total{rule=%q}", ruleNames[reason])).Inc()
	}
}
