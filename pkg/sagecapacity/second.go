package sagecapacity

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// clearBusy is the part of the slots in use below which there is capacity for second sends.
	clearBusy = 0.8
	// shortageHold is the time for which a shortage counts after it was seen last. Counts are up to half a second old.
	shortageHold = 500 * time.Millisecond
	// shortDeclines is the number of recent declines from which there is no capacity.
	shortDeclines = 0.5
)

// AllowSecondSend reports whether there is capacity for a request that may already run elsewhere. Where there is none, a second
// run takes the place of a first one, and may keep up the queue that caused it.
//
// It is true if the capacity is unknown or wasn't updated recently.
func (t *Tracker) AllowSecondSend(now sageclock.Instant, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return true
	}
	if s.declines.value(now, declineWindow) >= shortDeclines {
		return false
	}
	if s.lastShort != 0 && now.Sub(s.lastShort) < shortageHold {
		return false
	}
	return !s.isShort(now)
}

// recordShortage notes whether the capacity is short by the estimate.
func (s *service) recordShortage(now sageclock.Instant) {
	if s.isShort(now) {
		s.lastShort = now
	}
}

// isShort reports whether upstreams are asked for more than the target, are nearly all busy, or keep requests waiting for
// longer than a run.
func (s *service) isShort(now sageclock.Instant) bool {
	e := &s.estimate
	if e.PerSecond == 0 || now.Sub(e.At) > maxUpdateAge {
		return false
	}
	if s.asked.at != 0 && now.Sub(s.asked.at) <= maxUpdateAge && s.asked.value > e.Target {
		return true
	}
	return e.Wait > e.Run || s.busy > clearBusy
}
