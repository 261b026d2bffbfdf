package sagegossip

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Errors of an exchange.
var (
	// ErrSection reports that a section rejected a peer's data. The other sections were processed.
	ErrSection = errors.New("exchange section failed")
	// ErrPanic reports that a section panicked on a peer's data.
	ErrPanic = errors.New("exchange section panicked")
	// ErrTooManyParts reports a message with more than [MaxParts] parts.
	ErrTooManyParts = errors.New("too many parts in an exchange")
)

// MaxParts limits the parts of one message, so that a peer can't cause unlimited work.
const MaxParts = 64

// Part is the digest or delta of one section.
type Part struct {
	Section string
	Data    []byte
}

// Transport sends the messages of an exchange to the node at an address.
type Transport interface {
	// Meet sends digests. The answer holds the deltas that this node lacks and the peer's own digests.
	Meet(ctx context.Context, addr string, digests []Part) (deltas, own []Part, err error)
	// Push sends the deltas that the peer lacks.
	Push(ctx context.Context, addr string, deltas []Part) error
}

// Observer is a [Section] that is notified of direct contacts with peers.
type Observer interface {
	// Contacting is called before the node at addr is contacted.
	Contacting(addr string)
	// Contacted is called with the node's digest of this section after it has answered.
	Contacted(addr string, digest []byte)
	// ContactFailed is called if the node at addr did not answer.
	ContactFailed(addr string)
}

// Engine synchronizes the sections of this node with those of a peer. Its exported fields are set before first
// use. Its methods are safe for concurrent use.
type Engine struct {
	// Sections are listed in the order in which they may use the budget.
	Sections []Section
	// Budget is the maximum number of delta bytes in one message.
	Budget int

	panics   atomic.Int64
	rejected atomic.Int64
}

// Panics returns how many times a section panicked on a peer's data.
func (e *Engine) Panics() int64 { return e.panics.Load() }

// Rejected returns how many parts were rejected with an error.
func (e *Engine) Rejected() int64 { return e.rejected.Load() }

// Digests returns the digest of each section.
func (e *Engine) Digests() []Part {
	parts := make([]Part, 0, len(e.Sections))
	for _, s := range e.Sections {
		err := e.runSection(s, func() error {
			parts = append(parts, Part{Section: s.Name(), Data: s.Digest()})
			return nil
		})
		_ = err // counted by runSection; the other sections still take part
	}
	return parts
}

// Deltas returns the deltas that a peer with these digests lacks, within the budget. Sections without a digest are
// omitted, since the peer doesn't have them.
func (e *Engine) Deltas(digests []Part) []Part {
	left := e.Budget
	var parts []Part
	for _, s := range e.Sections {
		digest, ok := findPart(digests, s.Name())
		if !ok || left <= 0 {
			continue
		}
		err := e.runSection(s, func() error {
			d := s.Delta(digest, left)
			if len(d) == 0 {
				return nil
			}
			parts = append(parts, Part{Section: s.Name(), Data: d})
			left -= len(d)
			return nil
		})
		_ = err // counted by runSection; the other sections still take part
	}
	return parts
}

// Answer handles a Meet message: it returns the deltas that the peer lacks and this node's digests.
func (e *Engine) Answer(digests []Part) (deltas, own []Part, err error) {
	if len(digests) > MaxParts {
		return nil, nil, fmt.Errorf("answer to %d digests: %w", len(digests), ErrTooManyParts)
	}
	return e.Deltas(digests), e.Digests(), nil
}

// Merge handles a Push message: it merges a peer's deltas. All sections are processed; the first error is
// returned.
func (e *Engine) Merge(deltas []Part) error {
	if len(deltas) > MaxParts {
		return fmt.Errorf("merge of %d deltas: %w", len(deltas), ErrTooManyParts)
	}
	var first error
	for _, s := range e.Sections {
		d, ok := findPart(deltas, s.Name())
		if !ok {
			continue
		}
		err := e.runSection(s, func() error { return s.Merge(d) })
		if err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Exchange runs one exchange with the node at addr. If a section rejects the peer's delta, the error is returned
// after the other sections have been processed.
func (e *Engine) Exchange(ctx context.Context, t Transport, addr string) error {
	e.notifyObservers(func(o Observer) { o.Contacting(addr) })
	deltas, own, err := t.Meet(ctx, addr, e.Digests())
	if err != nil {
		e.notifyObservers(func(o Observer) { o.ContactFailed(addr) })
		return fmt.Errorf("meet %s: %w", addr, err)
	}
	mergeErr := e.Merge(deltas)
	e.notifyObservers(func(o Observer) {
		if d, ok := findPart(own, o.(Section).Name()); ok {
			o.Contacted(addr, d)
		}
	})
	if reply := e.Deltas(own); len(reply) > 0 {
		if err := t.Push(ctx, addr, reply); err != nil {
			return fmt.Errorf("push to %s: %w", addr, err)
		}
	}
	if mergeErr != nil {
		return fmt.Errorf("merge of %s: %w", addr, mergeErr)
	}
	return nil
}

func (e *Engine) notifyObservers(f func(Observer)) {
	for _, s := range e.Sections {
		o, ok := s.(Observer)
		if !ok {
			continue
		}
		err := e.runSection(s, func() error {
			f(o)
			return nil
		})
		_ = err // counted by runSection
	}
}

// runSection runs one step of a section and converts a panic into an error. A panic is a bug in one section
// triggered by a peer's data. Without the recover, one bad message passed from node to node would crash every
// process of the fleet. Sections must release their locks with deferred unlocks.
func (e *Engine) runSection(s Section, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			e.panics.Add(1)
			err = fmt.Errorf("section %s: %v: %w", s.Name(), p, ErrPanic)
		}
	}()
	if err := f(); err != nil {
		e.rejected.Add(1)
		return fmt.Errorf("section %s: %v: %w", s.Name(), err, ErrSection)
	}
	return nil
}

func findPart(parts []Part, section string) ([]byte, bool) {
	for _, p := range parts {
		if p.Section == section {
			return p.Data, true
		}
	}
	return nil, false
}
