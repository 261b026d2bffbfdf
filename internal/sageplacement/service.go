package sageplacement

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

const (
	// evidenceSize is the number of chats whose place a node remembers for callers that bring no
	// token; 1 MB.
	evidenceSize = 1 << 14
	// hotContexts is the number of contexts whose width a node keeps.
	hotContexts = 1 << 10
	// grantWait bounds the wait for a unit of an upstream that has room: a few asks and answers.
	grantWait = 2 * time.Second
	// preferWait bounds the wait for a unit of the upstream where the request's prefix is cached or
	// will be, while others have units. It costs less than reading a long prompt anew.
	preferWait = 60 * time.Millisecond
	// grantPoll lies between two looks for a unit.
	grantPoll = 10 * time.Millisecond
	// retryAfter is the least time until a refused request may come back.
	retryAfter = 500 * time.Millisecond
)

// Service implements [sageentry.Placement]. Its exported fields are set before the first Pick.
type Service struct {
	Config sageentry.Config
	Load   Load
	// Circuits may be nil: then every upstream gets requests however often it fails.
	Circuits Circuits
	// Multiple is the multiple of the mean load that no upstream is to exceed.
	LoadBound float64
	// Sealer makes and opens the placement tokens, which hold for TokenValid.
	TokenSigner sageplace.TokenSigner
	TokenTTL    time.Duration
	// Metrics may be nil.
	Metrics *metrics.Set

	mu       sync.Mutex
	state    *sageconfig.State
	groups   map[groupKey]*group
	uses     uint64
	ended    uint64 // requests given back so far
	placer   *sageplace.Placer[*sageplace.WidthByLoad]
	evidence *sageplace.PrefixLocations
}

// Pick implements [sageentry.Placement]. It waits for a unit while an upstream has room that this
// node only lacks the allotment for; a request for which no upstream has room is refused at once.
func (s *Service) Pick(ctx context.Context, r *sageentry.Request, tried []string) (*sageentry.Pick, *sagewire.Refusal) {
	start := time.Now()
	until, preferUntil := start.Add(grantWait), start.Add(preferWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(start.Add(10*preferWait)) {
		preferUntil = start
	}
	for {
		p, ref, wait := s.try(r, tried, preferUntil)
		if !wait || !time.Now().Before(until) {
			return p, ref
		}
		select {
		case <-ctx.Done():
			return nil, ref
		case <-time.After(grantPoll):
		}
	}
}

// try looks for an upstream once. It reports wait with a refusal that may be over with the next grant.
func (s *Service) try(r *sageentry.Request, tried []string, preferUntil time.Time) (p *sageentry.Pick, ref *sagewire.Refusal, wait bool) {
	now := time.Now()
	state := s.Config.State()
	key, ref := groupOf(state, r, now)
	if ref != nil {
		return nil, ref, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(state, key)
	g.refresh(now, s.Load, s.ended)
	q := s.query(now, r, key)
	q.Tried = g.find(tried)
	if c := s.lacking(now, g, q); c.Index >= 0 {
		name := g.table.Upstreams[c.Index].Name
		if s.Load.Acquire(name, now) {
			if s.lets(now, name, r.Deadline) {
				s.count(c.Reason)
				return s.pick(now, r, g, c.Index), nil, false
			}
		} else if now.Before(preferUntil) {
			return nil, refuse(now, r, g, false), true
		}
	}
	passed := false
	for {
		c := s.placer.Choose(now, g.table, g.loads, q)
		if c.Index < 0 && g.endedBefore != s.ended {
			// Requests of other groups have ended on the same upstreams since the loads were read:
			// refusing by them would call an upstream full that has room.
			g.read(now, s.Load, s.ended)
			continue
		}
		if c.Index < 0 {
			return s.wanted(now, r, g, q, c.Reason == sageplace.ReasonNoCandidate && !passed)
		}
		if s.take(now, g.table.Upstreams[c.Index].Name, r.Deadline) {
			s.count(c.Reason)
			return s.pick(now, r, g, c.Index), nil, false
		}
		// The allotment went since the loads were read, or the circuit is open. The upstream is
		// passed over, so each round has a candidate less and the loop ends.
		q.Tried = append(q.Tried, c.Index)
		passed = true
	}
}

// wanted looks for the upstream that would take the request if this node had a unit of it, and asks
// for one by trying to take it.
//
// It guards against refusing what the fleet has room for: units lie with the routers that last used
// them, so a router whose callers have just turned to it holds none, while the upstreams idle.
func (s *Service) wanted(now time.Time, r *sageentry.Request, g *group, q *sageplace.Query, allTried bool) (*sageentry.Pick, *sagewire.Refusal, bool) {
	c := s.placer.Choose(now, g.table, g.loads.WithFreeUnits(), q)
	if c.Index >= 0 && s.take(now, g.table.Upstreams[c.Index].Name, r.Deadline) {
		s.count(c.Reason)
		return s.pick(now, r, g, c.Index), nil, false
	}
	s.count(sageplace.ReasonAllAtBound)
	return nil, refuse(now, r, g, allTried), c.Index >= 0
}

// lacking returns the upstream that the request's prefix leads to, if this node has no unit of it
// while it has room; else its index is -1.
//
// It guards against a chat that leaves its warm engine for want of a unit, unheard: a router asks for
// units of the upstreams that it uses, so one that it never reaches would never be asked for.
func (s *Service) lacking(now time.Time, g *group, q *sageplace.Query) sageplace.Choice {
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

// take takes a unit of the upstream's allotment for a request, if its circuit lets it.
func (s *Service) take(now time.Time, name string, deadline time.Time) bool {
	return s.Load.Acquire(name, now) && s.lets(now, name, deadline)
}

// lets reports whether the circuit lets a request to the upstream that has a unit; else the unit goes
// back.
func (s *Service) lets(now time.Time, name string, deadline time.Time) bool {
	if s.Circuits == nil || s.Circuits.AllowSend(now, name, deadline) {
		return true
	}
	s.Load.Release(name, now, false)
	return false
}

// groupOf returns the candidates that the request may use.
func groupOf(state *sageconfig.State, r *sageentry.Request, now time.Time) (groupKey, *sagewire.Refusal) {
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

// group returns the compiled group of a key. A new state of the configuration replaces all groups at
// the first request after it, so nothing is placed by an earlier state.
func (s *Service) group(state *sageconfig.State, key groupKey) *group {
	if s.placer == nil {
		bound, fresh := sageplace.LoadBounds(s.LoadBound)
		s.placer = &sageplace.Placer[*sageplace.WidthByLoad]{LoadBound: bound, UncachedLoadBound: fresh, WidthPolicy: sageplace.NewWidthByLoad(hotContexts)}
		s.evidence = sageplace.NewPrefixLocations(evidenceSize)
	}
	if s.state != state {
		s.state, s.groups = state, make(map[groupKey]*group)
	}
	g := s.groups[key]
	if g == nil {
		s.makeRoom()
		g = compile(state, key)
		s.groups[key] = g
	}
	s.uses++
	g.used = s.uses
	return g
}

// makeRoom drops the group that was used longest ago if there are too many.
func (s *Service) makeRoom() {
	if len(s.groups) < maxGroups {
		return
	}
	var oldest groupKey
	least := s.uses + 1
	for k, g := range s.groups {
		if g.used < least {
			oldest, least = k, g.used
		}
	}
	delete(s.groups, oldest)
}

// query says what the request is to placement. Contexts are told apart by upstream set: the width of
// one belongs to the engines it is spread over.
func (s *Service) query(now time.Time, r *sageentry.Request, key groupKey) *sageplace.Query {
	q := &sageplace.Query{Request: sageplace.Key(r.ID), Headroom: sageplace.DefaultHeadroom[r.Priority]}
	if r.Context != "" {
		q.Context = sageplace.Key(key.set + "/" + r.Context)
	}
	if r.ChatID == "" {
		return q
	}
	q.Chat = chatKey(r)
	if place, ok := s.TokenSigner.Verify(r.PlacementToken, r.Account, r.ChatID, now); ok {
		q.Location = place
	} else if place, ok := s.evidence.Lookup(q.Chat); ok {
		q.Location = place
	}
	return q
}

func chatKey(r *sageentry.Request) uint64 { return sageplace.Key(r.Account + "/" + r.ChatID) }

func (s *Service) pick(now time.Time, r *sageentry.Request, g *group, i int) *sageentry.Pick {
	g.loads.AddRequests(i, 1)
	u, name := g.upstreams[i], g.table.Upstreams[i].Name
	p := &sageentry.Pick{Upstream: name, Address: u.Address, Engine: u.Kind == sageconfig.Engine}
	place := sageplace.Location{Upstream: sageplace.Key(name), Generation: g.loads.At(i).CacheGeneration}
	if p.Engine {
		p.PlacementToken = s.TokenSigner.Sign(r.Account, r.ChatID, place, now.Add(s.TokenTTL))
	}
	var once sync.Once
	p.Release = func(res *sagedispatch.Result) { once.Do(func() { s.done(r, g, i, place, res) }) }
	return p
}

func (s *Service) done(r *sageentry.Request, g *group, i int, place sageplace.Location, res *sagedispatch.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, name := time.Now(), g.table.Upstreams[i].Name
	completed := res != nil && res.Outcome == sagewire.Complete
	s.Load.Release(name, now, completed)
	g.loads.AddRequests(i, -1)
	s.ended++
	if s.Circuits != nil {
		s.Circuits.RecordResult(now, name, res)
	}
	if completed && r.Kind == sageconfig.RouteChat && r.ChatID != "" {
		s.evidence.RecordStored(chatKey(r), place.Upstream, place.Generation)
	}
}

// refuse says why nothing was chosen. It is true that the request was not run here: nothing has left
// this node for the attempt. Callers come back at different instants, the less urgent ones later.
func refuse(now time.Time, r *sageentry.Request, g *group, allTried bool) *sagewire.Refusal {
	wait := retryAfter * time.Duration(1+2*int(r.Priority))
	wait += time.Duration(sageplace.Key(r.ID) % uint64(wait))
	at := now.Add(wait)
	switch {
	case len(g.upstreams) == 0:
		return sagewire.Refuse(sagewire.ReasonNoUpstream, "no upstream of the set is in service for this route", at)
	case allTried:
		return sagewire.Refuse(sagewire.ReasonNoUpstream, "every upstream of the set was tried", at)
	}
	return sagewire.Refuse(sagewire.ReasonOverloaded, "every upstream of the set is at its bound", at)
}

var whyNames = [...]string{
	sageplace.ReasonNoCandidate: "empty", sageplace.ReasonAllAtBound: "over", sageplace.ReasonCachedPrefix: "kept",
	sageplace.ReasonHashOrder: "first", sageplace.ReasonSpilled: "spilled", sageplace.ReasonLoadUnknown: "silent",
}

func (s *Service) count(why sageplace.Reason) {
	if s.Metrics != nil {
		s.Metrics.GetOrCreateCounter(fmt.Sprintf("sagestand_placements_total{rule=%q}", whyNames[why])).Inc()
	}
}
