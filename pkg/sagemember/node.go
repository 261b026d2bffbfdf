package sagemember

import (
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Errors of the table.
var (
	// ErrBadNode reports a node description with a missing or malformed field.
	ErrBadNode = errors.New("malformed node")
	// ErrBadDigest reports a digest that can't be decoded.
	ErrBadDigest = errors.New("malformed member digest")
	// ErrBadDelta reports a delta that can't be decoded.
	ErrBadDelta = errors.New("malformed member delta")
	// ErrFull reports that the table already holds [MaxNodes] nodes.
	ErrFull = errors.New("member table is full")
)

// Bounds on the memory that a peer can make a table use.
const (
	// MaxNodes bounds the number of nodes in the table, including dead and departed ones.
	MaxNodes = 4096
	// maxTextBytes bounds the length in bytes of a name, an address and the name of a data centre.
	maxTextBytes = 128
	// maxCounter is far above what heartbeat counters reach. A higher one is invalid and rejected: if
	// it were accepted, all real heartbeats of that node would be ignored as old.
	maxCounter = 1 << 48
)

// Phase is the lifecycle phase of a process. For an incarnation it only moves forward, so two reports
// are merged by taking the greater phase.
type Phase uint32

// The phases, in order.
const (
	Starting Phase = iota
	Serving
	Leaving
	Gone
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "leaving", "gone"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", uint32(p))
}

// State is the local node's belief about another node.
type State int

// The states.
const (
	// Unconfirmed: reported by peers, but this node has not yet seen its heartbeat advance.
	Unconfirmed State = iota
	Alive
	// Suspect: no contact for longer than the limit; other nodes are being asked about it. It still
	// counts as live.
	Suspect
	Dead
)

// String returns the name of the state.
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
	// Name is the node's name as shown to operators.
	Name string `json:"name"`
	// Address is the host:port at which other nodes call it.
	Address string `json:"address"`
	// Entry is the address to which clients connect.
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Phase      Phase  `json:"phase"`
	// Counter is its heartbeat counter.
	Counter uint64 `json:"counter"`
	// Revision is the configuration revision that it holds.
	Revision uint64 `json:"revision"`
	// Load is its approximate number of requests in flight.
	Load  uint32 `json:"load"`
	State State  `json:"state"`
	// LastContact is the local time at which its heartbeat counter last advanced.
	LastContact time.Time `json:"heard,omitzero"`
}

// Check returns an error that wraps [ErrBadNode] if the description is incomplete or malformed.
func (n *Node) Check() error {
	if len(n.Name) > maxTextBytes || len(n.Address) > maxTextBytes || len(n.DataCentre) > maxTextBytes || len(n.Entry) > maxTextBytes {
		return fmt.Errorf("text field longer than %d bytes: %w", maxTextBytes, ErrBadNode)
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		return fmt.Errorf("address %q (want host:port): %w", n.Address, ErrBadNode)
	}
	if n.DataCentre == "" {
		return fmt.Errorf("node %s has no data centre: %w", n.Address, ErrBadNode)
	}
	if n.Phase > Gone {
		return fmt.Errorf("node %s has invalid phase %v: %w", n.Address, n.Phase, ErrBadNode)
	}
	if n.Counter > maxCounter {
		return fmt.Errorf("node %s has invalid heartbeat counter %d: %w", n.Address, n.Counter, ErrBadNode)
	}
	return nil
}

// Limits are the time-outs and bounds of a table. SuspectAfter and DeadAfter count from the last
// contact. For nodes of other data centres they are RemoteFactor times as long when there are more such
// nodes than RemoteWindow, because their heartbeats arrive over more hops.
type Limits struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	RemoteFactor int
	// IndirectChecks is how many other nodes must have been asked about a suspect before it counts as
	// dead, or all others if there are fewer.
	IndirectChecks int
	// UncheckedDeadAfter is the time without contact after which a suspect counts as dead even though
	// too few nodes could be asked.
	UncheckedDeadAfter time.Duration
	// PauseThreshold is the gap since the last tick above which this process considers itself to have
	// been paused.
	PauseThreshold time.Duration
	// ForgetAfter is how long a dead or gone node stays in the table.
	ForgetAfter time.Duration
	// LocalWindow and RemoteWindow bound how many heartbeats of the local and of the other data centres
	// one digest carries.
	LocalWindow  int
	RemoteWindow int
}

// DefaultLimits returns the limits for one tick and one exchange per second.
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
