package sagegossip

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Errors of an exchange.
var (
	// ErrSection: a section failed on what a peer sent; the other sections were served.
	ErrSection = errors.New("exchange section failed")
	// ErrPanic: a section panicked on what a peer sent.
	ErrPanic = errors.New("exchange section panicked")
	// ErrTooManyParts: a peer sent more parts than any node has sections.
	ErrTooManyParts = errors.New("too many parts in an exchange")
)

// MaxParts bounds the parts of one message, so that a peer can't make a node work without end.
const MaxParts = 64

// Part is the payload of one section.
type Part struct {
	Section string
	Data    []byte
}

// Transport carries the messages of an exchange to the node at an address.
type Transport interface {
	// Meet hands over digests; the answer holds deltas and the peer's own digests.
	Meet(ctx context.Context, addr string, digests []Part) (deltas, own []Part, err error)
	// Push hands over deltas.
	Push(ctx context.Context, addr string, deltas []Part) error
}

// Observer is a [Section] that wants to know how direct contacts with peers end.
type Observer interface {
	// Calling is told that the node at addr is about to be met.
	Contacting(addr string)
	// Met is told that the node at addr answered, and with which digest.
	Contacted(addr string, digest []byte)
	// Failed is told that the node at addr could not be met.
	ContactFailed(addr string)
}

// Engine brings this node and a peer up to date on every section. Its fields are set before first
// use; its methods are safe for concurrent use.
type Engine struct {
	// Sections in the order in which they may take from the budget.
	Sections []Section
	// Budget is the greatest number of delta bytes that one message carries.
	Budget int

	panics atomic.Int64
	bad    atomic.Int64
}

// Panics returns how many times a section panicked on what a peer sent.
func (e *Engine) Panics() int64 { return e.panics.Load() }

// Bad returns how many parts a section refused with an error.
func (e *Engine) Rejected() int64 { return e.bad.Load() }

// Digests returns the digest of each section.
func (e *Engine) Digests() []Part {
	parts := make([]Part, 0, len(e.Sections))
	for _, s := range e.Sections {
		err := e.guard(s, func() error {
			parts = append(parts, Part{Section: s.Name(), Data: s.Digest()})
			return nil
		})
		_ = err // counted by guard; the other sections still take part
	}
	return parts
}

// Deltas returns what a peer with these digests lacks, within the budget. A section of which the
// peer sent no digest is left out: the peer doesn't have it.
func (e *Engine) Deltas(digests []Part) []Part {
	left := e.Budget
	var parts []Part
	for _, s := range e.Sections {
		digest, ok := find(digests, s.Name())
		if !ok || left <= 0 {
			continue
		}
		err := e.guard(s, func() error {
			d := s.Delta(digest, left)
			if len(d) == 0 {
				return nil
			}
			parts = append(parts, Part{Section: s.Name(), Data: d})
			left -= len(d)
			return nil
		})
		_ = err // counted by guard; the other sections still take part
	}
	return parts
}

// Answer is the part of a node that is met: what the peer lacks, and the own digests.
func (e *Engine) Answer(digests []Part) (deltas, own []Part, err error) {
	if len(digests) > MaxParts {
		return nil, nil, fmt.Errorf("answer to %d digests: %w", len(digests), ErrTooManyParts)
	}
	return e.Deltas(digests), e.Digests(), nil
}

// Merge takes a peer's deltas. It serves every section and returns the first error.
func (e *Engine) Merge(deltas []Part) error {
	if len(deltas) > MaxParts {
		return fmt.Errorf("merge of %d deltas: %w", len(deltas), ErrTooManyParts)
	}
	var first error
	for _, s := range e.Sections {
		d, ok := find(deltas, s.Name())
		if !ok {
			continue
		}
		err := e.guard(s, func() error { return s.Merge(d) })
		if err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Exchange meets the node at addr. A refusal of one section's part is returned, after the other
// sections have been served.
func (e *Engine) Exchange(ctx context.Context, c Transport, addr string) error {
	e.observe(func(o Observer) { o.Contacting(addr) })
	deltas, own, err := c.Meet(ctx, addr, e.Digests())
	if err != nil {
		e.observe(func(o Observer) { o.ContactFailed(addr) })
		return fmt.Errorf("meet %s: %w", addr, err)
	}
	mergeErr := e.Merge(deltas)
	e.observe(func(o Observer) {
		if d, ok := find(own, o.(Section).Name()); ok {
			o.Contacted(addr, d)
		}
	})
	if back := e.Deltas(own); len(back) > 0 {
		if err := c.Push(ctx, addr, back); err != nil {
			return fmt.Errorf("push to %s: %w", addr, err)
		}
	}
	if mergeErr != nil {
		return fmt.Errorf("merge of %s: %w", addr, mergeErr)
	}
	return nil
}

func (e *Engine) observe(f func(Observer)) {
	for _, s := range e.Sections {
		o, ok := s.(Observer)
		if !ok {
			continue
		}
		err := e.guard(s, func() error {
			f(o)
			return nil
		})
		_ = err // counted by guard
	}
}

// guard runs a section's step. A panic there is a mistake in one section that a peer's bytes
// brought out; without the recover, one bad message that travels from node to node would end every
// process of the fleet. The section keeps its own lock discipline by deferred unlocks.
func (e *Engine) guard(s Section, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			e.panics.Add(1)
			err = fmt.Errorf("section %s: %v: %w", s.Name(), p, ErrPanic)
		}
	}()
	if err := f(); err != nil {
		e.bad.Add(1)
		return fmt.Errorf("section %s: %v: %w", s.Name(), err, ErrSection)
	}
	return nil
}

func find(parts []Part, section string) ([]byte, bool) {
	for _, p := range parts {
		if p.Section == section {
			return p.Data, true
		}
	}
	return nil, false
}
