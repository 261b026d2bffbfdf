package sagerollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// ErrOrder reports an order that can't be carried out.
var ErrOrder = errors.New("unusable rollout order")

// State is how far an order is, as the store shows it.
type State string

// The states. The empty one is that of an order of which nothing was written.
const (
	StateUnstarted  State = ""
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether the state is the last one of its order.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Order asks that a service's traffic be moved to a version.
type Order struct {
	// ID distinguishes orders about the same service, on all nodes alike.
	ID uint64
	// Name is the order's name in the store.
	Name    string
	Service string
	// ArmTarget is the version that the traffic is to be moved to.
	Target string
	// Given is when this node first saw the order, Deadline when it has to be completed or rolled back.
	FirstSeen, Deadline sageclock.Instant
	// Revision is that of the order's object; a status is written under the condition that it holds.
	Revision uint64
	// State is what the store shows.
	State State
}

// OrderID returns the identity of an order.
func OrderID(created uint64, service, target string, duration time.Duration) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", created, service, target, duration))
}

// Check returns what is wrong with an order, or nil.
func (o *Order) Check() error {
	switch {
	case strings.TrimSpace(o.Service) == "":
		return fmt.Errorf("no service: %w", ErrOrder)
	case strings.TrimSpace(o.Target) == "":
		return fmt.Errorf("no target version: %w", ErrOrder)
	}
	return nil
}

// Bounds are what the fleet must keep while an order runs.
type Bounds struct {
	// Share and Slack bound what a bad version gets: Share of the service's requests between order and
	// deadline, and Slack requests.
	ExposedShare, ExposedSlack float64
}
