package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of the failures of a whole service while nodes restart.
const (
	maxFailureTime  = 4 * time.Second
	maxRestartGap   = 1500 * time.Millisecond
	maxRestartDelay = 600 * time.Millisecond // until a killed node starts again
	maxFreeze       = 2 * time.Second
)

// retryFaults makes all upstreams of a service fail, and kills and freezes many nodes meanwhile. It uses its own random
// numbers, so that the other faults of a seed don't depend on it.
type retryFaults struct {
	soak    *Soak
	rng     *rand.Rand
	pending sync.WaitGroup
}

// newRetryFaults returns the faults of the seed, or nil if the soak has none.
func (s *Soak) newRetryFaults() *retryFaults {
	if !s.Retries {
		return nil
	}
	return &retryFaults{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 8))}
}

// run injects the faults until the soak's duration has passed.
func (f *retryFaults) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.restartNodes(ctx, rand.New(rand.NewPCG(f.soak.Seed, 9))) })
	for f.soak.injects(ctx) {
		f.failService(ctx)
		sageclock.Sleep(ctx, time.Duration(f.rng.Int64N(int64(time.Second))))
	}
	wg.Wait()
}

// failService makes all upstreams of a service fail requests in the same way for a while.
func (f *retryFaults) failService(ctx context.Context) {
	s := f.soak
	share := 0.5 + f.rng.Float64()/2
	faults := [...]standin.RunnerFaults{{Declined: share}, {Lost: share}, {Errors: share}, {Hang: share}}[f.rng.IntN(4)]
	from, to, name := 0, s.sys.Engines, "engines"
	if f.rng.IntN(2) == 0 {
		from, to, name = s.sys.Engines, len(s.sys.Runners), "applications"
	}
	duration := time.Second + time.Duration(f.rng.Int64N(int64(maxFailureTime)))
	s.recordInjected(fmt.Sprintf("all %s %+v", name, faults), duration)
	for i := from; i < to; i++ {
		s.sys.Runner(i).InjectFaults(faults)
	}
	sageclock.Sleep(ctx, duration)
	for i := from; i < to; i++ {
		s.sys.Runner(i).InjectFaults(standin.RunnerFaults{})
	}
}

// restartNodes kills or freezes all nodes, or each with a drawn probability, again and again.
func (f *retryFaults) restartNodes(ctx context.Context, rng *rand.Rand) {
	s := f.soak
	for s.injects(ctx) {
		probability := max(rng.Float64(), float64(rng.IntN(2)))
		name, sig, limit := "kill", syscall.SIGKILL, maxRestartDelay
		if rng.IntN(4) == 0 {
			name, sig, limit = "freeze", syscall.SIGSTOP, maxFreeze
		}
		for i := range s.Nodes {
			if rng.Float64() < probability {
				s.signalFor(&f.pending, name, sig, i, time.Duration(rng.Int64N(int64(limit))))
			}
		}
		sageclock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxRestartGap))))
	}
}
