package sagerouter

import (
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// declines holds the back-off from declining upstreams of all services.
type declines struct {
	services byService[sagebackoff.Declines[sageupstream.Start]]
}

func (d *declines) of(service string) *sagebackoff.Declines[sageupstream.Start] {
	return d.services.get(service, func() *sagebackoff.Declines[sageupstream.Start] {
		return new(sagebackoff.Declines[sageupstream.Start])
	})
}

// sweep drops the records of streaks that are over.
func (d *declines) sweep(now sageclock.Instant) {
	d.services.each(func(v *sagebackoff.Declines[sageupstream.Start]) { v.Sweep(now) })
}

// RecordDecline implements [sagerelay.Fleet].
func (f *fleet) RecordDecline(p *sagerelay.Pick, paused bool) {
	now := sageclock.Now()
	f.brittle.limits.RecordDecline(now, p.Place)
	if !paused {
		f.declines.of(p.Upstream.Service).RecordDecline(now, p.Upstream.Start())
	}
}

// RecordAccept implements [sagerelay.Fleet].
func (f *fleet) RecordAccept(p *sagerelay.Pick) {
	f.declines.of(p.Upstream.Service).RecordAccept(p.Upstream.Start())
}

// backsOff reports whether other upstreams should be preferred to one that has declined requests. Its next request is
// a trial, which has to leave retries for other failures.
func (f *fleet) backsOff(now sageclock.Instant, d *sagebackoff.Declines[sageupstream.Start], e *sageupstream.Entry) bool {
	switch d.State(now, e.Start()) {
	case sagebackoff.BackingOff:
		return true
	case sagebackoff.TrialDue:
		nodes := f.fleetSize()
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.retryLimiter.AllowTrial(now, e.Service, nodes)
	}
	return false
}
