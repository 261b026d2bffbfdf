package sagedrain

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidPeriods reports a machine with negative periods.
var ErrInvalidPeriods = errors.New("malformed drain periods")

// Phase is the progress of the stop. It only moves forward.
type Phase int

// The phases.
const (
	// Serving: no stop was requested.
	Serving Phase = iota
	// Announced: leaving was announced; callers with unexpired answers are still served.
	Announced
	// Draining: no new work is accepted; running requests finish.
	Draining
	// Aborting: the deadline has passed while requests are running.
	Aborting
	// Done: no request is running.
	Done
)

// String returns the name of the phase as operators see it.
func (p Phase) String() string {
	names := [...]string{"serving", "honouring", "draining", "cutting", "done"}
	if p >= 0 && int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", int(p))
}

// Machine controls the stop of one resource. Its exported fields must be set before [Machine.Leave]. It
// is not safe for concurrent use.
type Machine struct {
	// AnswerTTL is the longest validity of an answer that names the resource.
	AnswerTTL time.Duration
	// PropagationDelay is the maximum time until no node gives such an answer any more.
	PropagationDelay time.Duration
	// DrainTimeout is how long running requests may take after that.
	DrainTimeout time.Duration

	phase       Phase
	acceptUntil time.Time
	drainBy     time.Time
}

// Check reports negative periods. Its error wraps [ErrInvalidPeriods].
func (m *Machine) Check() error {
	if m.AnswerTTL < 0 || m.PropagationDelay < 0 || m.DrainTimeout < 0 {
		return fmt.Errorf("period below 0: %w", ErrInvalidPeriods)
	}
	return nil
}

// Leave begins the stop. Further calls have no effect, so that the deadlines don't move.
func (m *Machine) Leave(now time.Time) {
	if m.phase != Serving {
		return
	}
	m.phase = Announced
	m.acceptUntil = now.Add(m.PropagationDelay + m.AnswerTTL)
	m.drainBy = m.acceptUntil.Add(m.DrainTimeout)
}

// AcceptsUntil returns the instant until which new work is accepted; zero before Leave.
func (m *Machine) AcceptsUntil() time.Time { return m.acceptUntil }

// DrainDeadline returns the instant at which running requests must be aborted; zero before Leave.
func (m *Machine) DrainDeadline() time.Time { return m.drainBy }

// Accepts reports whether new work may be accepted. It depends on now rather than on the last step, so
// that a late step can't admit work that would be aborted.
func (m *Machine) Accepts(now time.Time) bool {
	return m.phase == Serving || (m.phase == Announced && now.Before(m.acceptUntil))
}

// Step advances the phase as far as now and the number of running requests allow, and returns it.
func (m *Machine) Step(now time.Time, inFlight int) Phase {
	if m.phase == Announced && !now.Before(m.acceptUntil) {
		m.phase = Draining
	}
	// The stop is complete only when new work is no longer accepted either.
	if m.phase >= Draining && inFlight <= 0 {
		m.phase = Done
	}
	if m.phase == Draining && !now.Before(m.drainBy) {
		m.phase = Aborting
	}
	return m.phase
}

// NextDeadline returns the instant of the next deadline, for a timer; zero if there is none.
func (m *Machine) NextDeadline() time.Time {
	switch m.phase {
	case Announced:
		return m.acceptUntil
	case Draining:
		return m.drainBy
	}
	return time.Time{}
}
