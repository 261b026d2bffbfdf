package sagemeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sagemember"
)

// errLost is the error of an exchange whose message or response was lost.
var errLost = errors.New("message lost")

// MemberFleet runs the member tables and exchanges of many nodes over a simulated network, in rounds of
// one second of virtual time.
type MemberFleet struct {
	Now  time.Time
	Rand *rand.Rand
	// LossRate is the fraction of exchanges that fail, half of them after the peer handled the message.
	LossRate float64
	// LinkDown reports whether the link is broken in the direction from one node to the other.
	LinkDown func(from, to *MemberNode) bool
	Nodes    []*MemberNode
	// MessageBytes is the total size of all messages, Exchanges the number of exchanges begun.
	MessageBytes int64
	Exchanges    int64
	// BaselineEvictions counts the evictions of the baseline, which evicts a node after
	// baselineFailures consecutive failed calls.
	BaselineEvictions int64

	consecutiveFailures map[[2]string]int
}

// baselineFailures is the number of consecutive failed calls after which the baseline considers a node
// dead.
const baselineFailures = 3

// MemberNode is one process of a MemberFleet.
type MemberNode struct {
	Table   *sagemember.Table
	Engine  *sagegossip.Engine
	Stopped bool
	Paused  bool

	chooser *sagegossip.Chooser
	fleet   *MemberFleet
}

// NewMemberFleet returns a fleet without nodes.
func NewMemberFleet(seed uint64) *MemberFleet {
	return &MemberFleet{
		Now: time.Unix(1_800_000_000, 0), Rand: rand.New(rand.NewPCG(seed, 1)), consecutiveFailures: make(map[[2]string]int),
	}
}

// AddNodes starts n nodes, assigned to the data centres in turn. The first node of the fleet is the
// seed of the others.
func (f *MemberFleet) AddNodes(n, dataCentres int, limits sagemember.Limits) error {
	for range n {
		i := len(f.Nodes)
		addr := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		if _, err := f.StartNode(addr, fmt.Sprintf("dc%d", i%dataCentres), limits); err != nil {
			return fmt.Errorf("add node %d: %w", i, err)
		}
	}
	return nil
}

// StartNode starts a process at an address and stops any process that runs there.
func (f *MemberFleet) StartNode(addr, dataCentre string, limits sagemember.Limits) (*MemberNode, error) {
	if previous := f.NodeAt(addr); previous != nil {
		previous.Stopped = true
	}
	t := &sagemember.Table{
		Self:   sagemember.Node{Address: addr, Entry: addr, DataCentre: dataCentre, Phase: sagemember.Serving},
		Limits: limits,
		Now:    func() time.Time { return f.Now },
		Random: f.Rand.Uint64,
	}
	if err := t.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", addr, err)
	}
	if len(f.Nodes) > 0 {
		t.AddSeeds(f.Nodes[0].Table.LocalNode().Address)
	}
	n := &MemberNode{
		Table:   t,
		Engine:  &sagegossip.Engine{Sections: []sagegossip.Section{t}, Budget: 8 << 10},
		chooser: &sagegossip.Chooser{Self: sagegossip.Peer{Address: addr, DataCentre: dataCentre}, Rand: f.Rand},
		fleet:   f,
	}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// NodeAt returns the running process at an address, or nil.
func (f *MemberFleet) NodeAt(addr string) *MemberNode {
	for _, n := range f.Nodes {
		if !n.Stopped && n.Table.Self.Address == addr {
			return n
		}
	}
	return nil
}

// Running returns the processes that are neither stopped nor paused.
func (f *MemberFleet) Running() []*MemberNode {
	var list []*MemberNode
	for _, n := range f.Nodes {
		if !n.Stopped && !n.Paused {
			list = append(list, n)
		}
	}
	return list
}

// RunRound advances the fleet by one second: every running node ticks and begins one exchange, in
// random order.
func (f *MemberFleet) RunRound() {
	f.Now = f.Now.Add(time.Second)
	list := f.Running()
	f.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, n := range list {
		n.Table.Tick()
		addr, ok := n.chooser.Next(n.Table.Peers(), n.Table.Urgent())
		if !ok {
			continue
		}
		f.Exchanges++
		f.recordBaseline(n, addr, n.Engine.Exchange(context.Background(), n, addr))
	}
}

// recordBaseline counts consecutive failed calls to running nodes for the baseline. The error isn't
// returned: failed exchanges are part of the simulation, and the engine reports them to the table.
func (f *MemberFleet) recordBaseline(from *MemberNode, addr string, err error) {
	link := [2]string{from.Table.Self.Address, addr}
	if to := f.NodeAt(addr); err == nil || to == nil || to.Paused {
		f.consecutiveFailures[link] = 0
		return
	}
	f.consecutiveFailures[link]++
	if f.consecutiveFailures[link] == baselineFailures {
		f.BaselineEvictions++
	}
}

// RunUntil runs rounds until done returns true, at most limit, and returns the number of rounds run.
func (f *MemberFleet) RunUntil(limit int, done func() bool) int {
	for i := range limit {
		if done() {
			return i
		}
		f.RunRound()
	}
	return limit
}

// deliver counts a message and reports whether it arrives.
func (f *MemberFleet) deliver(from, to *MemberNode, parts []sagegossip.Part) bool {
	for _, p := range parts {
		f.MessageBytes += int64(len(p.Section) + len(p.Data) + partOverheadBytes)
	}
	if to == nil || to.Stopped || to.Paused {
		return false
	}
	return f.LinkDown == nil || !f.LinkDown(from, to)
}

// partOverheadBytes is the size that the protobuf encoding adds to a part.
const partOverheadBytes = 8

// Meet implements [sagegossip.Transport].
func (n *MemberNode) Meet(_ context.Context, addr string, digests []sagegossip.Part) (deltas, own []sagegossip.Part, err error) {
	f, to := n.fleet, n.fleet.NodeAt(addr)
	lossDraw := f.Rand.Float64()
	if !f.deliver(n, to, digests) || lossDraw < f.LossRate/2 {
		return nil, nil, errLost
	}
	deltas, own, err = to.Engine.Answer(digests)
	if err != nil {
		return nil, nil, fmt.Errorf("answer: %w", err)
	}
	if !f.deliver(to, n, append(append([]sagegossip.Part(nil), deltas...), own...)) || lossDraw < f.LossRate {
		return nil, nil, errLost
	}
	return deltas, own, nil
}

// Push implements [sagegossip.Transport].
func (n *MemberNode) Push(_ context.Context, addr string, deltas []sagegossip.Part) error {
	to := n.fleet.NodeAt(addr)
	if !n.fleet.deliver(n, to, deltas) {
		return errLost
	}
	if err := to.Engine.Merge(deltas); err != nil {
		return fmt.Errorf("merge: %w", err)
	}
	return nil
}

// Converged reports whether the live nodes of every running node are exactly the running and the paused
// nodes.
func (f *MemberFleet) Converged() bool {
	running := make(map[uint64]bool)
	for _, n := range f.Nodes {
		if !n.Stopped {
			running[n.Table.LocalNode().Incarnation] = true
		}
	}
	for _, n := range f.Running() {
		live := n.Table.Live()
		if len(live) != len(running) {
			return false
		}
		for _, l := range live {
			if !running[l.Incarnation] {
				return false
			}
		}
	}
	return true
}

// Evictions returns the number of times that a node considered another dead.
func (f *MemberFleet) Evictions() int64 {
	sum := int64(0)
	for _, n := range f.Nodes {
		sum += n.Table.Evictions()
	}
	return sum
}
