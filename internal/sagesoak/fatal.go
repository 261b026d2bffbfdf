package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// Figures of a request that ends upstreams.
const (
	fatalBody = "a request that no runner survives"
	// fatalEvery is the mean pause between two attempts of it, downFor how long an ended runner is away.
	fatalEvery = 200 * time.Millisecond
	downFor    = 1500 * time.Millisecond
	// stopWithin is how long after the third end the nodes may take to stop it, mostLate how many sends more there
	// may be after that.
	stopWithin = 3 * time.Second
	mostLate   = 3
)

// fatal is a request that ends the upstreams which run it and comes again all the while.
type fatal struct {
	s *Soak

	replacing sync.WaitGroup

	mu     sync.Mutex
	starts map[int]int // runners that were started in a place
	ends   []time.Time
}

// newFatal returns the fatal request of a seed, or nil if it has none. Its draws are its own: seeds keep their other
// faults.
func (s *Soak) newFatal() *fatal {
	if s.NoFaults || rand.New(rand.NewPCG(s.Seed, 1)).IntN(5) >= 2 {
		return nil
	}
	return &fatal{s: s, starts: make(map[int]int)}
}

// call sends the request until ctx ends, to any node.
func (f *fatal) call(ctx context.Context) {
	c := f.s.sys.Caller(0)
	defer c.Close()
	for ctx.Err() == nil {
		c.SendOnce(context.WithoutCancel(ctx), standin.Reply, fatalBody)
		pause(ctx, fatalEvery/2+rand.N(fatalEvery))
	}
}

// ended takes note of a runner that ended, and has another one started in its place.
func (s *Soak) ended(i int) {
	f := s.fatal
	f.mu.Lock()
	f.ends = append(f.ends, time.Now())
	f.starts[i]++
	n := f.starts[i] + 1
	all, late := len(f.ends), f.late()
	f.mu.Unlock()
	if s.judged() && late > mostLate {
		s.sys.Ledger.RecordViolation("runner %d ended as the %dth under one request, %d of them later than %v after the third", i, all, late, stopWithin)
	}
	s.proxy(i).end()
	f.replacing.Go(func() {
		time.Sleep(downFor)
		f.replace(i, n)
	})
}

// late returns how many runners ended later than the bound after the third. mu is held.
func (f *fatal) late() int {
	n := 0
	for _, at := range f.ends[min(2, len(f.ends)):] {
		if at.Sub(f.ends[2]) > stopWithin {
			n++
		}
	}
	return n
}

// replace starts a runner behind a proxy of its own.
func (f *fatal) replace(i, n int) {
	s := f.s
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := s.sys.Replace(i, n); err != nil {
		s.sys.Ledger.RecordViolation("runner %d is not replaced: %v", i, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.proxies) - 1
	s.proxies[i] = s.proxies[last]
	s.proxies = s.proxies[:last]
}

// settled checks that the request no longer ends upstreams when all faults are over.
func (f *fatal) settled() {
	f.mu.Lock()
	before := len(f.ends)
	f.mu.Unlock()
	time.Sleep(stopWithin)
	f.mu.Lock()
	defer f.mu.Unlock()
	if more := len(f.ends) - before; more > mostLate {
		f.s.sys.Ledger.RecordViolation("%d runners ended under one request in %v after all faults, %d before", more, stopWithin, before)
	}
	f.s.done = append(f.s.done, fmt.Sprintf("%d runners ended under one request", len(f.ends)))
}
