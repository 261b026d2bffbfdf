package sagedrain

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidPeriods reports a machine whose periods can't hold.
var ErrInvalidPeriods = errors.New("malformed drain periods")

// Phase is how far the stop has come. It only moves forward.
type Phase int

// The phases.
const (
	// Serving: nobody asked for a stop.
	Serving Phase = iota
	// Honouring: announced as leaving, still serving callers whose answers name it.
	Announced
	// Draining: no new work; running requests finish.
	Draining
	// Cutting: the deadline has passed with requests still running.
	Aborting
	// Done: nothing is running any more.
	Done
)

// String returns the phase as operators read it.
func (p Phase) String() string {
	names := [...]string{"serving", "honouring", "draining", "cutting", "done"}
	if p >= 0 && int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", int(p))
}

// Machine is the stop of one thing. Its exported fields are set before [Machine.Leave]; it is not
// safe for concurrent use.
type Machine struct {
	// AnswersLast is how long an answer that names the thing is valid at most.
	AnswerTTL time.Duration
	// SpreadWithin is how long it takes at most until nobody gives such an answer any more.
	PropagationDelay time.Duration
	// DrainWithin is how long running requests may take after that.
	DrainTimeout time.Duration

	phase   Phase
	honour  time.Time
	drainBy time.Time
}

// Check reports periods below 0, wrapped around [ErrInvalidPeriods].
func (m *Machine) Check() error {
	if m.AnswerTTL < 0 || m.PropagationDelay < 0 || m.DrainTimeout < 0 {
		return fmt.Errorf("period below 0: %w", ErrInvalidPeriods)
	}
	return nil
}

// Leave begins the stop. A second call changes nothing: the deadlines are stated once.
func (m *Machine) Leave(now time.Time) {
	if m.phase != Serving {
		return
	}
	m.phase = Announced
	m.honour = now.Add(m.PropagationDelay + m.AnswerTTL)
	m.drainBy = m.honour.Add(m.DrainTimeout)
}

// HonourUntil returns the instant until which new work is taken; zero before Leave.
func (m *Machine) AcceptsUntil() time.Time { return m.honour }

// DrainBy returns the instant at which running requests have to be cut; zero before Leave.
func (m *Machine) DrainDeadline() time.Time { return m.drainBy }

// Accepts says whether new work may be taken. It goes by the instant rather than by the last step,
// so that a step that comes late can't let work in that will be cut.
func (m *Machine) Accepts(now time.Time) bool {
	return m.phase == Serving || (m.phase == Announced && now.Before(m.honour))
}

// Step moves on as far as now and the number of running requests allow, and returns the phase.
func (m *Machine) Step(now time.Time, inFlight int) Phase {
	if m.phase == Announced && !now.Before(m.honour) {
		m.phase = Draining
	}
	// Nothing running is enough only once nothing new is accepted.
	if m.phase >= Draining && inFlight <= 0 {
		m.phase = Done
	}
	if m.phase == Draining && !now.Before(m.drainBy) {
		m.phase = Aborting
	}
	return m.phase
}

// Next returns the instant of the next deadline, for a timer; zero when there is none.
func (m *Machine) NextDeadline() time.Time {
	switch m.phase {
	case Announced:
		return m.honour
	case Draining:
		return m.drainBy
	}
	return time.Time{}
}
