package sagecapacity

import (
	"cmp"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// State is what a [Tracker] knows of an upstream, for metrics and logs.
type State struct {
	ID string
	// Slots is the reported number of requests that it runs at once; 0 if unknown.
	Slots int
	// InFlight is the average number of requests there from all nodes.
	InFlight float64
	// Run is the mean run; 0 if unknown.
	Run time.Duration
	// PerSecond is the number of requests that it is taken to run in a second; 0 if unknown.
	PerSecond float64
	// Load is what it reported of itself at LoadAt, which is 0 if it reported nothing or figures that make no sense.
	Load   Load
	LoadAt sageclock.Instant
}

// States returns what is known of the upstreams of a service, by ID.
func (t *Tracker) States(now sageclock.Instant, service string) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return nil
	}
	out := make([]State, 0, len(s.upstreams))
	for id, u := range s.upstreams {
		out = append(out, u.state(now, id, s.usualRun(now), s.own.mean))
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (u *upstream) state(now sageclock.Instant, id string, usual, own float64) State {
	run := u.capacityRun(now, usual, own, float64(u.slots))
	out := State{ID: id, Slots: u.slots, InFlight: u.inFlight.value, Run: seconds(run), Load: u.load, LoadAt: u.loadAt}
	if run > 0 {
		out.PerSecond = float64(u.slots) / run
	}
	return out
}
