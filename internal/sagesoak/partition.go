package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of a partition between data centres.
const (
	partitionNodes     = 6
	partitionUpstreams = 6
	partitionCallers   = 300
	partitionDeadline  = 2 * time.Second
	partitionPause     = 2 * time.Second // longest pause between two requests of a caller
	partitionRun       = 3               // times the usual time of a run
	partitionWarmUp    = 2 * time.Second
	partitionSettle    = 3 * time.Second // after the heal, for what was held up
	closureDelay       = 200 * time.Millisecond
	partitionSignal    = 150 * time.Millisecond // after the start of the partition
	minLeave           = 100 * time.Millisecond
	maxLeave           = 400 * time.Millisecond
)

// Partition holds what nodes of one data centre and upstreams of the other send each other, and counts what is executed although
// it was given up. What is held is lost if its sender resets the connection. Exported fields are set before Run.
type Partition struct {
	Name         string
	Program, Dir string
	// Hold is the length of the partition; 0 means none.
	Hold time.Duration
	// Closes has the data centre of most upstreams closed just after the start.
	Closes bool
	// BodyBytes is the length of the bodies of bookings.
	BodyBytes int
	// Signal is sent to the nodes on the other side just after the start; 0 means none.
	Signal syscall.Signal
	// Leaves has callers leave before their deadline.
	Leaves bool

	sys     *standin.System
	proxies map[string]*proxy // by the address that the upstream registers
	asked   atomic.Int64
}

// PartitionResult is what became of the requests of a [Partition].
type PartitionResult struct {
	Asked int64 `json:"asked"`
	// Late is the number of executions that began a second or more after their caller's end.
	Late int `json:"late"`
	// Violations are those that the ledger found, requests to the closed data centre among them.
	Violations []string `json:"violations"`
}

// Failed reports whether a promise was broken.
func (r *PartitionResult) Failed() bool { return r.Late > 0 || len(r.Violations) > 0 }

// Partitions returns the cases of a partition.
func Partitions() []*Partition {
	const long, short = 5500 * time.Millisecond, 3200 * time.Millisecond
	return []*Partition{
		{Name: "data centre closed", Hold: long, Closes: true},
		{Name: "short partition alone", Hold: short},
		{Name: "large bodies", Hold: long, Closes: true, BodyBytes: 400 << 10},
		{Name: "nodes killed", Hold: long, Closes: true, Signal: syscall.SIGKILL},
		{Name: "nodes terminated", Hold: long, Closes: true, Signal: syscall.SIGTERM},
		{Name: "callers leave", Hold: long, Closes: true, Leaves: true},
		{Name: "no partition", Closes: true},
	}
}

// Run plays the case. It returns an error if it can't be played.
func (p *Partition) Run(ctx context.Context) (PartitionResult, error) {
	p.proxies = make(map[string]*proxy)
	p.sys = &standin.System{Nodes: partitionNodes, Apps: partitionUpstreams, Program: p.Program, Dir: p.Dir, Subnet: 1, Advertise: p.advertise, RunnerDataCentre: dataCentreOfUpstream}
	defer p.sys.Stop()
	if err := p.sys.Start(ctx); err != nil {
		return PartitionResult{}, fmt.Errorf("start system: %w", err)
	}
	for _, r := range p.sys.Runners {
		r.InjectFaults(standin.RunnerFaults{SlowTimes: partitionRun})
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range partitionCallers {
		callers.Go(func() { p.sendLoop(loadCtx, i) })
	}
	sageclock.Sleep(ctx, partitionWarmUp)
	p.disrupt(ctx)
	sageclock.Sleep(ctx, partitionSettle)
	stop()
	callers.Wait()
	return PartitionResult{Asked: p.asked.Load(), Late: len(p.sys.Ledger.LateRuns()), Violations: p.sys.Ledger.Violations()}, nil
}

// dataCentreOfUpstream has all upstreams but the last one in the first data centre.
func dataCentreOfUpstream(i int) string {
	if i == partitionUpstreams-1 {
		return "south"
	}
	return "north"
}

func (p *Partition) advertise(address string) (string, error) {
	x := &proxy{target: address}
	registered, err := x.listen()
	p.proxies[registered] = x
	return registered, err
}

// disrupt begins the partition and what goes with it, and ends the partition.
func (p *Partition) disrupt(ctx context.Context) {
	if p.Hold > 0 {
		p.setHeld(linkHeld)
	}
	if p.Signal != 0 {
		sageclock.Sleep(ctx, partitionSignal)
		for i := range partitionNodes {
			if p.isCutOff(i) {
				p.sys.Signal(i, p.Signal)
			}
		}
	}
	if p.Closes {
		sageclock.Sleep(ctx, closureDelay)
		p.sys.CloseDataCentre(0, true)
	}
	sageclock.Sleep(ctx, max(p.Hold, partitionSettle))
	p.setHeld(linkOpen)
}

// isCutOff reports whether a node is on the other side of the partition than most upstreams.
func (p *Partition) isCutOff(node int) bool { return p.sys.DataCentre(node) == "south" }

func (p *Partition) setHeld(mode linkMode) {
	for i, r := range p.sys.Runners {
		for n := range partitionNodes {
			if dataCentreOfUpstream(i) != p.sys.DataCentre(n) {
				p.proxies[r.Address()].setSourceMode(p.sys.NodeIP(n), mode)
			}
		}
	}
}

// sendLoop sends the requests of a caller, which keeps its node.
func (p *Partition) sendLoop(ctx context.Context, i int) {
	c := p.sys.Caller(i)
	c.Node, c.Timeout = p.sys.EntryAddress(i%partitionNodes), partitionDeadline
	defer c.Close()
	for ctx.Err() == nil {
		sageclock.Sleep(ctx, rand.N(partitionPause))
		p.send(context.WithoutCancel(ctx), c)
	}
}

func (p *Partition) send(ctx context.Context, c *standin.Caller) {
	if p.Leaves {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, minLeave+rand.N(maxLeave-minLeave))
		defer cancel()
	}
	kind := standin.Lookup
	if rand.IntN(2) == 0 {
		kind = standin.Booking
	}
	p.asked.Add(1)
	c.SendOnce(ctx, kind, strings.Repeat("x", max(1, p.BodyBytes)))
}
