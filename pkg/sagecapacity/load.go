package sagecapacity

import (
	"errors"
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// ErrLoad is wrapped by the errors of [Load.Check].
var ErrLoad = errors.New("load figures make no sense")

const (
	// maxLoadAge is the age from which the figures of an upstream aren't used: they change many times a second.
	maxLoadAge = 300 * time.Millisecond
	// maxLoadCount limits the counts of a [Load].
	maxLoadCount = 100_000
	// maxSlowness limits the slowness of a [Load], in per cent.
	maxSlowness = 10_000
	// usualSlowness is the slowness of an upstream that runs at its usual speed, in per cent.
	usualSlowness = 100
)

// Load is what an upstream reports of itself.
type Load struct {
	// Running is the number of requests that run, Waiting the number of those that wait for one of the Slots.
	Running, Waiting, Slots int
	// Slowness is how long a run takes at the moment, in per cent of what is usual there.
	Slowness int
}

// Check returns an error that wraps [ErrLoad] if the figures can't be true.
func (l Load) Check() error {
	switch {
	case l.Slots <= 0 || l.Slots > maxLoadCount:
		return fmt.Errorf("%d slots: %w", l.Slots, ErrLoad)
	case l.Running < 0 || l.Running > l.Slots:
		return fmt.Errorf("%d running in %d slots: %w", l.Running, l.Slots, ErrLoad)
	case l.Waiting < 0 || l.Waiting > maxLoadCount:
		return fmt.Errorf("%d waiting: %w", l.Waiting, ErrLoad)
	case l.Slowness <= 0 || l.Slowness > maxSlowness:
		return fmt.Errorf("slowness of %d per cent: %w", l.Slowness, ErrLoad)
	}
	return nil
}

// wait returns how long a new request waits by the figures, where a run usually takes run seconds.
func (l Load) wait(run float64) float64 {
	ahead := l.Waiting
	if l.Running == l.Slots {
		ahead++
	}
	return float64(ahead) / float64(l.Slots) * l.run(run)
}

// run returns how long a run takes by the figures, where it usually takes run seconds.
func (l Load) run(run float64) float64 { return run * float64(l.Slowness) / usualSlowness }

// RecordLoad records what an upstream reports of itself. Figures that make no sense leave it without figures, and their
// error is returned.
func (t *Tracker) RecordLoad(now sageclock.Instant, service, upstream string, l Load) error {
	err := l.Check()
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(now, service, upstream)
	if err != nil {
		u.load, u.loadAt = Load{}, 0
		return fmt.Errorf("load of %s: %w", upstream, err)
	}
	u.load, u.loadAt = l, now
	return nil
}

// freshLoad returns the upstream's figures if they are recent enough to be used.
func (u *upstream) freshLoad(now sageclock.Instant) (Load, bool) {
	age := now.Sub(u.loadAt)
	return u.load, u.loadAt != 0 && age >= 0 && age < maxLoadAge
}
