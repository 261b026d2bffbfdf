package sagesoak

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of stops under the worst circumstances.
const (
	fastGap      = 250 * time.Millisecond // between two SIGTERM in a fast series
	hopGap       = time.Second            // between the stops of the two nodes of a hop
	byteInterval = time.Second            // between two bytes of a slow body
	slowBytes    = 6
	holdLead     = 20 * time.Millisecond // between SIGSTOP and SIGTERM
	maxStartWait = 10 * time.Second      // until a node that starts accepts connections
	// Nodes with so many callers for so long know how long the requests of all routes run.
	knownLoops  = 120
	knownWarmUp = 18 * time.Second
)

// lateVariant is how a case of [Stops] differs from stops of single nodes that run and serve.
type lateVariant struct {
	// Gap is the time between the SIGTERM of nodes that stop in the same round.
	Gap time.Duration
	// MinHold and MaxHold bound how long a node stands still across its SIGTERM; 0 means that it doesn't.
	MinHold, MaxHold time.Duration
	// HoldSecond has only the second node of a hop stand still.
	HoldSecond bool
	// BothOfHop has a node that is cut off stop in each round, and a node that it relays to: that one first, if SecondFirst is set.
	BothOfHop, SecondFirst bool
	// Early has nodes stop that have just started and aren't ready.
	Early bool
	// Deadline is that of the requests to nodes that stop; 0 means stopDeadline.
	Deadline time.Duration
	// Known has many callers send requests of all kinds to all nodes before the first stop.
	Known bool
	// SingleBytes is the largest number of bytes at the end of a body that are sent one at a time.
	SingleBytes int
}

// lateStopCases returns the cases of the variants. grid sets the times of requests.
func lateStopCases(grid func(*Stops) *Stops) []*Stops {
	ms := time.Millisecond
	late := lateVariant{MinHold: 300 * ms, MaxHold: 1500 * ms}
	bodies := stopVariant{MaxBodyPause: byteInterval, lateVariant: lateVariant{SingleBytes: slowBytes}}
	cases := []*Stops{
		grid(&Stops{Name: "all nodes at once", MinRun: 200 * ms, MaxRun: 5500 * ms, AtOnce: stopNodes, Rounds: 2}),
		grid(&Stops{Name: "all nodes in a fast series", MinRun: 200 * ms, MaxRun: 5500 * ms, AtOnce: stopNodes, Rounds: 2, stopVariant: stopVariant{lateVariant: lateVariant{Gap: fastGap}}}),
		grid(&Stops{Name: "late signal", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 3, stopVariant: stopVariant{lateVariant: late}}),
		grid(&Stops{Name: "late signal, runs of 4 to 5 s", MinRun: 4000 * ms, MaxRun: 5000 * ms, Rounds: 3, stopVariant: stopVariant{lateVariant: late}}),
		{Name: "late signal, deadlines before the exit", MinRun: 3800 * ms, MaxRun: 4400 * ms, From: 1500 * ms, To: 5000 * ms, Every: 50 * ms, Rounds: 2, stopVariant: stopVariant{lateVariant: lateVariant{MinHold: 1500 * ms, MaxHold: 1500 * ms, Deadline: 4500 * ms}}},
		grid(&Stops{Name: "hop both nodes stop at once", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, lateVariant: lateVariant{BothOfHop: true}}}),
		grid(&Stops{Name: "hop first node stops, then the second", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, lateVariant: lateVariant{BothOfHop: true, Gap: hopGap}}}),
		grid(&Stops{Name: "hop second node stops, then the first", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, lateVariant: lateVariant{BothOfHop: true, SecondFirst: true, Gap: hopGap}}}),
		grid(&Stops{Name: "again just after the start", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 3, Beside: hangups, Fresh: true, stopVariant: stopVariant{Repeated: true, lateVariant: lateVariant{Early: true}}}),
		grid(&Stops{Name: "a byte a second", MinRun: 200 * ms, MaxRun: 4000 * ms, Rounds: 2, stopVariant: bodies}),
		grid(&Stops{Name: "a byte a second, short runs", MinRun: 20 * ms, MaxRun: 200 * ms, Rounds: 2, stopVariant: bodies}),
		grid(&Stops{Name: "all nodes at once, runs of 2 to 4 s", MinRun: 2000 * ms, MaxRun: 4000 * ms, AtOnce: stopNodes, Rounds: 2}),
		grid(&Stops{Name: "late signal of all nodes", MinRun: 200 * ms, MaxRun: 5500 * ms, AtOnce: stopNodes, Rounds: 2, stopVariant: stopVariant{lateVariant: late}}),
		grid(&Stops{Name: "hop late signal of the second node", MinRun: 200 * ms, MaxRun: 5500 * ms, Rounds: 2, stopVariant: stopVariant{CutOff: 4, First: 4, lateVariant: lateVariant{BothOfHop: true, HoldSecond: true, MinHold: late.MinHold, MaxHold: late.MaxHold}}}),
	}
	for _, s := range cases {
		s.Known = true
	}
	return cases
}

// loops returns the number of callers that send all the time, and for how long they do before the first stop.
func (s *Stops) loops() (int, time.Duration) {
	if s.Known {
		return knownLoops, knownWarmUp
	}
	return stopLoops, stopWarmUp
}

// stoppingNodes returns the nodes that stop in a round, in the order of their SIGTERM.
func (s *Stops) stoppingNodes(round int) []int {
	if s.BothOfHop {
		first, second := round%s.CutOff, s.stopping(round, 0)
		if s.SecondFirst {
			return []int{second, first}
		}
		return []int{first, second}
	}
	var nodes []int
	for i := range max(1, s.AtOnce) {
		nodes = append(nodes, s.stopping(round, i))
	}
	return nodes
}

// nextNode returns the node that gets the requests that a leaving node refused.
func (s *Stops) nextNode(stopping int) int {
	return (stopping + max(1, s.AtOnce%stopNodes)) % stopNodes
}

// holdUp stops a node from shortly before its SIGTERM until a random time after it.
func (s *Stops) holdUp(ctx context.Context, node int, term time.Time) {
	if s.MaxHold == 0 || s.HoldSecond && node < s.CutOff {
		return
	}
	rng := rand.New(rand.NewPCG(s.Seed, uint64(2_000_000+node)))
	hold := s.MinHold + time.Duration(rng.Int64N(int64(s.MaxHold-s.MinHold)+1))
	sageclock.Sleep(ctx, time.Until(term.Add(-holdLead)))
	s.sys.Signal(node, syscall.SIGSTOP)
	time.AfterFunc(time.Until(term.Add(hold)), func() { s.sys.Signal(node, syscall.SIGCONT) })
}

// awaitStart waits until a node is ready, or with Early until it accepts connections.
func (s *Stops) awaitStart(ctx context.Context, node int) {
	started := func() bool { return s.sys.Ready(ctx, node) }
	if s.Early {
		started = func() bool {
			c, err := net.Dial("tcp4", s.sys.EntryAddress(node))
			if err != nil {
				return false
			}
			_ = c.Close()
			return true
		}
	}
	for deadline := time.Now().Add(maxStartWait); !started() && ctx.Err() == nil && time.Now().Before(deadline); {
		sageclock.Sleep(ctx, stopLoopThink)
	}
}
