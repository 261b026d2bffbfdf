package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of a request that crashes upstreams.
const (
	fatalBody = "a request that no runner survives"
	// fatalInterval is the mean time between two sends of the request, replaceDelay the time between the crash
	// of a runner and the start of its replacement.
	fatalInterval = 200 * time.Millisecond
	replaceDelay  = 1500 * time.Millisecond
	// stopTimeout is the time after the third crash within which the nodes must stop the request,
	// maxLateCrashes the number of crashes that are allowed after that.
	stopTimeout    = 3 * time.Second
	maxLateCrashes = 3
)

// fatalRequest is a request that crashes every upstream that runs it, and is sent repeatedly.
type fatalRequest struct {
	soak *Soak

	pendingReplacements sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
}

// newFatalRequest returns the fatal request of the seed, or nil if the seed has none. It uses its own random
// numbers, so the other faults of a seed don't depend on it.
func (s *Soak) newFatalRequest() *fatalRequest {
	if s.NoFaults || s.Parts || rand.New(rand.NewPCG(s.Seed, 1)).IntN(5) >= 2 {
		return nil
	}
	return &fatalRequest{soak: s}
}

// sendLoop sends the request to any node until ctx ends.
func (f *fatalRequest) sendLoop(ctx context.Context) {
	c := f.soak.sys.Caller(0)
	defer c.Close()
	for ctx.Err() == nil {
		c.SendOnce(context.WithoutCancel(ctx), standin.Reply, fatalBody)
		sageclock.Sleep(ctx, fatalInterval/2+rand.N(fatalInterval))
	}
}

// handleCrash records the crash of runner i and starts a replacement after replaceDelay.
func (s *Soak) handleCrash(i int) {
	f := s.fatal
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	total, late := len(f.crashes), f.lateCrashes()
	f.mu.Unlock()
	if s.delayBoundsApply() && late > maxLateCrashes {
		s.sys.Ledger.RecordViolation("runner %d crashed on the fatal request, crash %d in total, %d of them later than %v after the third", i, total, late, stopTimeout)
	}
	s.proxy(i).shutDown()
	f.pendingReplacements.Go(func() {
		time.Sleep(replaceDelay)
		f.replace(i)
	})
}

// lateCrashes returns the number of crashes later than stopTimeout after the third. The caller must hold mu.
func (f *fatalRequest) lateCrashes() int {
	n := 0
	for _, at := range f.crashes[min(2, len(f.crashes)):] {
		if at.Sub(f.crashes[2]) > stopTimeout {
			n++
		}
	}
	return n
}

// replace starts the next runner at index i, behind a new proxy.
func (f *fatalRequest) replace(i int) {
	s := f.soak
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := s.sys.Replace(i); err != nil {
		s.sys.Ledger.RecordViolation("runner %d was not replaced: %v", i, err)
	}
}

// checkStopped checks, after the last fault, that the request no longer crashes upstreams.
func (f *fatalRequest) checkStopped() {
	f.mu.Lock()
	before := len(f.crashes)
	f.mu.Unlock()
	time.Sleep(stopTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	if more := len(f.crashes) - before; more > maxLateCrashes {
		f.soak.sys.Ledger.RecordViolation("%d runners crashed on the fatal request in %v after the last fault, %d before", more, stopTimeout, before)
	}
	f.soak.injected = append(f.soak.injected, fmt.Sprintf("%d runners crashed on the fatal request", len(f.crashes)))
}
