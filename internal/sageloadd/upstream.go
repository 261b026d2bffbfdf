package sageloadd

import (
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// upstream is the service's state of one upstream.
type upstream struct {
	name         string
	address      string
	dataCentre   string
	voters       []sageload.Member
	engine       bool
	outOfService bool // leaving, or its data centre is out of service
	maxInFlight  int

	allotment      sageload.Allotment
	estimate       sageload.Estimate
	cap            int
	detector       sageload.Detector
	coldObserved   bool // the latency has indicated a cold engine since the last request
	lastUsed       time.Time
	missedAcquires int // bounded count of failed acquires since the last request
	peakInUse      int // maximum of units in use since the last request
	queued         int
	requestedUnits int  // units of the last request
	exhausted      bool // the coordinator granted less than requested; another request before the next round won't help

	// State as coordinator.
	ledger          *sageload.Ledger
	ramp            sageload.Ramp
	probing         bool
	rampRestartedAt time.Time // when the ramp was last restarted for latency
}

// reserveUnits is the number of units beyond those in use that a router requests, so that most requests find a
// free unit.
const reserveUnits = 2

// minRampRestartInterval is the minimum time between two restarts of a ramp that routers cause by reporting cold
// latency, as several routers report the same cold engine.
const minRampRestartInterval = 10 * time.Second

func (u *upstream) view(now time.Time) sageload.View {
	r := u.estimate.Report()
	v := sageload.View{
		Upstream: u.name, InFlight: u.estimate.InFlight(), Cap: u.cap, Free: u.allotment.Free(now),
		Known: u.estimate.Known(now), BootID: u.allotment.BootID(), CacheGeneration: r.CacheGeneration,
	}
	if !u.engine {
		v.Cap, v.Known = u.maxInFlight, true
	}
	return v
}

// unitsToRequest returns how many units to request, and how many of them are reserve. The others cover the units
// in use, the failed acquires since the last request and the queued requests. The reserve covers the peak of use
// since the last request and, while the upstream is in use, a few more units.
func (u *upstream) unitsToRequest(now time.Time) (units, reserve int) {
	required := u.allotment.InUse() + u.missedAcquires + u.queued
	units = max(required, u.peakInUse+u.missedAcquires+u.queued)
	if !u.lastUsed.IsZero() && now.Sub(u.lastUsed) <= reserveIdleTimeout {
		units += reserveUnits + units/4
	}
	return units, units - required
}

// urgent reports whether a request can't wait for the next round.
func (u *upstream) urgent() bool {
	return u.coldObserved || !u.exhausted && (u.missedAcquires > 0 || u.queued > 0)
}

// lookup returns the state of an upstream, or nil. If it has none, it first applies the current configuration.
func (s *Service) lookup(name string) *upstream {
	if u := s.upstreams[name]; u != nil {
		return u
	}
	s.applyConfig()
	return s.upstreams[name]
}

// applyConfig applies the current configuration if it has changed; the caller holds mu.
func (s *Service) applyConfig() {
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
			u = s.addUpstream(name, c)
		}
		s.updateUpstream(u, c, st)
		s.byAddress[c.Address] = u
	}
	for name, u := range s.upstreams {
		if _, ok := st.Upstream(name); !ok && u.allotment.InUse() == 0 {
			delete(s.upstreams, name)
		}
	}
}

func (s *Service) addUpstream(name string, c *sageconfig.Upstream) *upstream {
	u := &upstream{name: name, engine: c.Kind == sageconfig.Engine, dataCentre: c.DataCentre}
	u.estimate.MaxReportAge = maxReportAgeGrants * s.Limits.GrantDuration
	u.ramp = sageload.Ramp{InitialCap: 1, CompletionsPerUnit: s.RampCompletions}
	u.voters = sageload.Voters(name, c.DataCentre, s.Roster)
	u.allotment = sageload.Allotment{
		Upstream: name, Holder: s.processID, Node: s.Node, Limits: s.Limits, Voter: contains(u.voters, s.Node),
		AbstainUntil:   s.started.Add(s.Limits.PromiseDuration + s.Limits.PromiseDuration/10),
		GuaranteedFrom: s.started.Add(s.Limits.RequestLifetime),
	}
	s.upstreams[name] = u
	return u
}

// updateUpstream applies the fields that a change ticket can change. An upstream that returns to service counts
// as cold, because while it was out of service its caches were used by other clients or not at all.
func (s *Service) updateUpstream(u *upstream, c *sageconfig.Upstream, st *sageconfig.State) {
	outOfService := c.Leaving
	if dc, ok := st.DataCentre(c.DataCentre); ok && !dc.InService {
		outOfService = true
	}
	if u.outOfService && !outOfService {
		u.ramp.Restart()
	}
	u.outOfService, u.address, u.maxInFlight = outOfService, c.Address, c.MaxInFlight
	u.ramp.MaxCap = c.MaxInFlight
	floor := min(s.Floor, c.MaxInFlight)
	if !u.engine {
		floor = c.MaxInFlight
		u.allotment.Static, u.allotment.GuaranteedFrom = true, time.Time{}
	}
	u.allotment.Guaranteed = sageload.GuaranteedShare(u.name, s.Node, s.Roster, floor)
}

func contains(members []sageload.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}
