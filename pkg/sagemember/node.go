package sagemember

import (
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Errors of the table.
var (
	// ErrBadNode: a node's description lacks a field or has a malformed one.
	ErrBadNode = errors.New("malformed node")
	// ErrBadDigest: a digest can't be read.
	ErrBadDigest = errors.New("malformed member digest")
	// ErrBadDelta: a delta can't be read.
	ErrBadDelta = errors.New("malformed member delta")
	// ErrFull: the table holds [MaxNodes] nodes.
	ErrFull = errors.New("member table is full")
)

// Bounds on what a peer can make a table hold.
const (
	// MaxNodes bounds the table, dead and departed nodes included.
	MaxNodes = 4096
	// maxText bounds an address and the name of a data centre.
	maxText = 128
	// maxCounter is far above what heartbeats reach. A higher one is garbage; taken as it is, it
	// would silence the node that it names, whose real heartbeats would all look old.
	maxCounter = 1 << 48
)

// Phase is where a process is in its life. It only moves forward for an incarnation, so that the
// merge of two reports is the greater of them.
type Phase uint32

// The phases.
const (
	Starting Phase = iota
	Serving
	Leaving
	Gone
)

// String returns the phase as operators read it.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "leaving", "gone"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", uint32(p))
}

// State is what this node believes of another.
type State int

// The states.
const (
	// Unconfirmed: heard of, but no heartbeat advanced yet in this node's sight.
	Unconfirmed State = iota
	Alive
	// Suspect: silent for long; others are being asked. Still counted as live.
	Suspect
	Dead
)

// String returns the state as operators read it.
func (s State) String() string {
	names := [...]string{"unconfirmed", "alive", "suspect", "dead"}
	if s >= 0 && int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", int(s))
}

// Node is one incarnation of a node as the table knows it.
type Node struct {
	Incarnation uint64 `json:"incarnation"`
	// Name is what operators call it.
	Name string `json:"name"`
	// Address is where other nodes call it.
	Address string `json:"address"`
	// Entry is where callers connect.
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Phase      Phase  `json:"phase"`
	// Counter is its heartbeat.
	Counter uint64 `json:"counter"`
	// Revision is the configuration revision that it holds.
	Revision uint64 `json:"revision"`
	// Load is its number of requests in flight, as a hint.
	Load  uint32 `json:"load"`
	State State  `json:"state"`
	// Heard is the local instant at which its heartbeat last advanced.
	LastContact time.Time `json:"heard,omitzero"`
}

// Check reports a node that can't be called, wrapped around [ErrBadNode].
func (n *Node) Check() error {
	if len(n.Name) > maxText || len(n.Address) > maxText || len(n.DataCentre) > maxText || len(n.Entry) > maxText {
		return fmt.Errorf("text above %d bytes: %w", maxText, ErrBadNode)
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		return fmt.Errorf("address %q (want host:port): %w", n.Address, ErrBadNode)
	}
	if n.DataCentre == "" {
		return fmt.Errorf("node %s without data centre: %w", n.Address, ErrBadNode)
	}
	if n.Phase > Gone {
		return fmt.Errorf("node %s in %v: %w", n.Address, n.Phase, ErrBadNode)
	}
	if n.Counter > maxCounter {
		return fmt.Errorf("node %s with counter %d: %w", n.Address, n.Counter, ErrBadNode)
	}
	return nil
}

// Limits are the periods of a table. Those that concern a node of another data centre are
// FarFactor times as long, because its heartbeats arrive over more hops.
type Limits struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	RemoteFactor int
	// Checks is how many other nodes must have been asked before a suspect counts as dead; fewer
	// when fewer are there.
	IndirectChecks int
	// GiveUpAfter is when a suspect counts as dead although too few could be asked.
	UncheckedDeadAfter time.Duration
	// PauseAfter is the gap between two ticks from which on this process takes itself for paused.
	PauseThreshold time.Duration
	// ForgetAfter is how long a dead or gone node is remembered.
	ForgetAfter time.Duration
	// NearWindow and FarWindow bound how many heartbeats of the own and of other data centres one
	// digest carries.
	LocalWindow  int
	RemoteWindow int
}

// DefaultLimits returns the limits for one tick and one exchange a second.
func DefaultLimits() Limits {
	return Limits{
		SuspectAfter:       6 * time.Second,
		DeadAfter:          12 * time.Second,
		RemoteFactor:       4,
		IndirectChecks:     3,
		UncheckedDeadAfter: 2 * time.Minute,
		PauseThreshold:     4 * time.Second,
		ForgetAfter:        15 * time.Minute,
		LocalWindow:        48,
		RemoteWindow:       80,
	}
}
