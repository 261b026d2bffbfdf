package sageplacement

import (
	"time"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// upstreamBoot identifies one start of an upstream.
type upstreamBoot struct{ name, boot string }

func (g *group) bootOf(i int) upstreamBoot {
	return upstreamBoot{g.table.Upstreams[i].Name, g.boots[i]}
}

// recordPause records the pause that an upstream asked for when it refused a request. The boot id in the response counts
// only for upstreams whose boot id is known otherwise, since the pause would not be found under it.
func (s *Service) recordPause(now time.Time, u upstreamBoot, res *sagedispatch.Result) {
	if res == nil || res.Reason != sagewire.ReasonUpstreamRefused || res.RetryAt.IsZero() {
		return
	}
	if u.boot != "" && res.BootID != "" {
		u.boot = res.BootID
	}
	at := sageclock.Now()
	s.pauses.Pause(at, u, at.Add(res.RetryAt.Sub(now)))
}

// pausedUpstreams returns the indexes of the upstreams in g that are paused, and the time until the first pause ends.
func (s *Service) pausedUpstreams(g *group) (paused []int, firstEnd time.Duration) {
	now := sageclock.Now()
	if s.pauses.Len(now) == 0 {
		return nil, 0
	}
	for i := range g.upstreams {
		until := s.pauses.PausedUntil(now, g.bootOf(i))
		if until == 0 {
			continue
		}
		if left := until.Sub(now); len(paused) == 0 || left < firstEnd {
			firstEnd = left
		}
		paused = append(paused, i)
	}
	return paused, firstEnd
}

// recordDecline records whether an upstream refused a request without asking for a pause.
func (g *group) recordDecline(u upstreamBoot, res *sagedispatch.Result) {
	switch {
	case res == nil:
	case res.Outcome == sagewire.Complete:
		g.declines.RecordAccept(u)
	case res.Reason == sagewire.ReasonUpstreamRefused && res.RetryAt.IsZero():
		g.declines.RecordDecline(sageclock.Now(), u)
	}
}

// decliningUpstreams returns the indexes of the upstreams to which others should be preferred.
func (g *group) decliningUpstreams() []int {
	now := sageclock.Now()
	var out []int
	for i := range g.upstreams {
		if g.declines.State(now, g.bootOf(i)) == sagebackoff.BackingOff {
			out = append(out, i)
		}
	}
	return out
}

// pausedRefusal returns the refusal of a request while all upstreams of its group are paused. Retry times are spread by
// request id.
func pausedRefusal(now time.Time, r *sageentry.Request, firstEnd time.Duration) *sagewire.Refusal {
	at := now.Add(firstEnd + spreadByID(r, minRetryAfter))
	return sagewire.Refuse(sagewire.ReasonOverloaded, "every upstream of the set asked for a pause", at)
}
