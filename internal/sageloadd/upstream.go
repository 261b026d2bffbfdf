package sageloadd

import (
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// upstream is what the service holds for one upstream.
type upstream struct {
	name       string
	address    string
	dataCentre string
	electorate []sageload.Member
	engine     bool
	out        bool // leaving, or its data centre is out of service
	max        int

	holding  sageload.Allotment
	estimate sageload.Estimate
	capacity int
	detector sageload.Detector
	cold     bool // latency turned cold since the last ask
	used     time.Time
	missed   int // acquires without a free unit since the last ask
	peak     int // most in use since the last ask
	queued   int
	wanted   int  // units of the last ask
	full     bool // the home had fewer than wanted; asking again before the next round won't help

	// As home.
	ledger    *sageload.Ledger
	ramp      sageload.Ramp
	probing   bool
	restarted time.Time // when the ramp was last restarted for latency
}

// reserve is how many units beyond those in use a router asks for, so that most requests find one.
const reserve = 2

// coldSpacing is the least time between two restarts of a ramp because routers see cold latency:
// several see the same one.
const coldSpacing = 10 * time.Second

func (u *upstream) view(now time.Time) sageload.View {
	r := u.estimate.Report()
	v := sageload.View{
		Upstream: u.name, InFlight: u.estimate.InFlight(), Cap: u.capacity, Free: u.holding.Free(now),
		Known: u.estimate.Known(now), BootID: u.holding.BootID(), CacheGeneration: r.CacheGeneration,
	}
	if !u.engine {
		v.Cap, v.Known = u.max, true
	}
	return v
}

// units returns how many units to ask for: what is in use, was missed since the last ask or waits; and
// spare of them in reserve, up to the most in use since the last ask and a few more, for as long as the
// upstream is used.
func (u *upstream) units(now time.Time) (units, spare int) {
	need := u.holding.InUse() + u.missed + u.queued
	units = max(need, u.peak+u.missed+u.queued)
	if !u.used.IsZero() && now.Sub(u.used) <= idleAfter {
		units += reserve + units/4
	}
	return units, units - need
}

// hasty reports whether an ask can't wait for the next round.
func (u *upstream) hasty() bool {
	return u.cold || !u.full && (u.missed > 0 || u.queued > 0)
}

// find returns the record of an upstream; a new one if the configuration has it.
func (s *Service) find(name string) *upstream {
	if u := s.upstreams[name]; u != nil {
		return u
	}
	s.follow()
	return s.upstreams[name]
}

// follow takes over the configuration if it has changed.
func (s *Service) follow() {
	st := s.Config.State()
	if st == nil || st == s.state {
		return
	}
	s.state = st
	clear(s.byAddress)
	for _, name := range st.Names(sageconfig.KindUpstream) {
		c, ok := st.Upstream(name)
		if !ok {
			continue
		}
		u := s.upstreams[name]
		if u == nil || u.engine != (c.Kind == sageconfig.Engine) {
			u = s.add(name, c)
		}
		s.update(u, c, st)
		s.byAddress[c.Address] = u
	}
	for name, u := range s.upstreams {
		if _, ok := st.Upstream(name); !ok && u.holding.InUse() == 0 {
			delete(s.upstreams, name)
		}
	}
}

func (s *Service) add(name string, c *sageconfig.Upstream) *upstream {
	u := &upstream{name: name, engine: c.Kind == sageconfig.Engine, dataCentre: c.DataCentre}
	u.estimate.MaxReportAge = silentGrants * s.Limits.GrantDuration
	u.ramp = sageload.Ramp{InitialCap: 1, CompletionsPerUnit: s.RampCompletions}
	u.electorate = sageload.Voters(name, c.DataCentre, s.Roster)
	u.holding = sageload.Allotment{
		Upstream: name, Holder: s.process, Node: s.Node, Limits: s.Limits, Voter: contains(u.electorate, s.Node),
		AbstainUntil:   s.started.Add(s.Limits.PromiseDuration + s.Limits.PromiseDuration/10),
		GuaranteedFrom: s.started.Add(s.Limits.RequestLifetime),
	}
	s.upstreams[name] = u
	return u
}

// update takes over what a change ticket may change. An upstream that comes back from an exit is
// cold: its caches served others or nobody meanwhile.
func (s *Service) update(u *upstream, c *sageconfig.Upstream, st *sageconfig.State) {
	out := c.Leaving
	if dc, ok := st.DataCentre(c.DataCentre); ok && !dc.InService {
		out = true
	}
	if u.out && !out {
		u.ramp.Restart()
	}
	u.out, u.address, u.max = out, c.Address, c.MaxInFlight
	u.ramp.MaxCap = c.MaxInFlight
	floor := min(s.Floor, c.MaxInFlight)
	if !u.engine {
		floor = c.MaxInFlight
		u.holding.Static, u.holding.GuaranteedFrom = true, time.Time{}
	}
	u.holding.Guaranteed = sageload.GuaranteedShare(u.name, s.Node, s.Roster, floor)
}

func contains(members []sageload.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}
