package sagerollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// ErrOrder is returned for an order that can't be carried out.
var ErrOrder = errors.New("invalid rollout order")

// State is the state of an order in the store.
type State string

// The states. An order without a status is unstarted.
const (
	StateUnstarted  State = ""
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether an order in this state has ended.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Order requests that a service's traffic be moved to a version.
type Order struct {
	// ID identifies the order among those for the same service. It is the same on all nodes.
	ID uint64
	// Name is the name of the order's object in the store.
	Name    string
	Service string
	// Target is the version that the traffic is to be moved to.
	Target string
	// FirstSeen is when this node first saw the order, Deadline is when it must be completed or rolled back.
	FirstSeen, Deadline sageclock.Instant
	// Revision is the revision of the order's object. A status is written only if the object still has it.
	Revision uint64
	// State is the state in the store.
	State State
	// OnlyVersion says that no other version could serve when this node first saw the order.
	OnlyVersion bool
	// HadBaseline says that another version could serve then.
	HadBaseline bool
	// Rewritten says that the order was written again after the store had lost it. Its ID may be a new one.
	Rewritten bool
}

// OrderID returns the ID of an order. created distinguishes orders with the same content.
func OrderID(created uint64, service, target string, duration time.Duration) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", created, service, target, duration))
}

// Check returns an error that wraps [ErrOrder] if the order lacks a service or a target.
func (o *Order) Check() error {
	switch {
	case strings.TrimSpace(o.Service) == "":
		return fmt.Errorf("no service: %w", ErrOrder)
	case strings.TrimSpace(o.Target) == "":
		return fmt.Errorf("no target version: %w", ErrOrder)
	}
	return nil
}

// Bounds limit the requests that a bad version may get.
type Bounds struct {
	// ExposedShare is a share of the service's requests between order and deadline, ExposedSlack a number of
	// requests in addition.
	ExposedShare, ExposedSlack float64
}
