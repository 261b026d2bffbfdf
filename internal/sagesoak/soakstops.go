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

// Parameters of stops under long requests.
const (
	maxLeaveGap   = 2 * time.Second // between two stops
	lastLongSend  = 3600 * time.Millisecond
	longSendEvery = 100 * time.Millisecond
	minLongRun    = 2 * time.Second
	maxLongRun    = 6 * time.Second
	minLongLimit  = 3 * time.Second             // shortest deadline of long requests
	exitFrom      = standin.StopTimeout * 7 / 8 // when a node that stops begins to cut what is in progress
	restartIn     = standin.StopTimeout * 9 / 8 // when a node that was stopped starts again
	firstSend     = -500 * time.Millisecond     // of kept connections, counted from SIGTERM
	longTimeout   = stopDeadline                // of the routes
	maxLateExit   = standin.StopTimeout + time.Second
)

// stopFaults stops nodes under requests that run for long. It uses its own random numbers, so that the other faults of a seed
// don't depend on it.
type stopFaults struct {
	soak     *Soak
	rng      *rand.Rand
	pending  sync.WaitGroup
	outcomes standin.Outcomes
	mu       sync.Mutex
	sent     int // requests that were sent after SIGTERM
	refused  int
}

// newStopFaults returns the stops of the seed, or nil if the soak has none.
func (s *Soak) newStopFaults() *stopFaults {
	if !s.Stops {
		return nil
	}
	return &stopFaults{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 20))}
}

// run stops nodes until the soak's duration has passed.
func (f *stopFaults) run(ctx context.Context) {
	s := f.soak
	for s.injects(ctx) {
		node, seed := f.rng.IntN(s.Nodes), f.rng.Uint64()
		f.stop(ctx, node, seed)
		sageclock.Sleep(ctx, time.Duration(f.rng.Int64N(int64(maxLeaveGap))))
	}
}

// stop sends SIGTERM to a node, and requests until it has closed its listener.
func (f *stopFaults) stop(ctx context.Context, node int, seed uint64) {
	s := f.soak
	term := time.Now().Add(-firstSend)
	var callers []*standin.CheckedCaller
	for range lastLongSend / longSendEvery {
		callers = append(callers, &standin.CheckedCaller{
			Node: s.sys.EntryAddress(node), Key: func() string { return s.sys.Key(node) }, Ledger: &s.sys.Ledger, Outcomes: &f.outcomes, Timeout: longTimeout, Grace: standin.StopTimeout,
			Path: standin.RunPath(time.Millisecond, 0),
		})
	}
	var opened sync.WaitGroup
	for _, c := range callers {
		opened.Go(func() { c.Send(standin.Lookup, standin.NewRequestID(), nil) })
	}
	opened.Wait()
	sageclock.Sleep(ctx, time.Until(term))
	term = time.Now()
	name, revert := s.signalNodeAt(node, "term", syscall.SIGTERM)
	if name == "" {
		for _, c := range callers {
			c.Close()
		}
		return
	}
	s.recordInjected(name+" under long requests", restartIn)
	f.pending.Go(func() {
		time.Sleep(restartIn)
		revert()
	})
	for i, c := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		f.pending.Go(func() { f.send(ctx, c, i, term, rng) })
	}
}

// send sends the i-th request to a node that has got SIGTERM.
func (f *stopFaults) send(ctx context.Context, c *standin.CheckedCaller, i int, term time.Time, rng *rand.Rand) {
	defer c.Close()
	sageclock.Sleep(ctx, time.Until(term.Add(time.Duration(i)*longSendEvery)))
	kinds := [...]standin.Kind{standin.Chat, standin.Reply, standin.Booking}
	run := minLongRun + time.Duration(rng.Int64N(int64(maxLongRun-minLongRun)))
	deadline := minLongLimit + time.Duration(rng.Int64N(int64(longTimeout-minLongLimit)))
	c.Path, c.Timeout = standin.RunPath(run, 0), deadline.Truncate(time.Millisecond)
	c.OnEnd = func(e standin.RequestEnd) { f.check(e, term, run, c.Timeout) }
	c.Send(kinds[i%len(kinds)], standin.NewRequestID(), nil)
}

// check records a violation if a node has accepted a request after its SIGTERM and cut it at its exit. Requests that were sent
// early may be cut if their upstreams are still at work shortly before, and all at their deadline.
func (f *stopFaults) check(e standin.RequestEnd, term time.Time, run, deadline time.Duration) {
	s := f.soak
	sent, end := e.SentAt.Sub(term), e.EndAt.Sub(term)
	f.mu.Lock()
	f.sent++
	if e.Outcome == "503" {
		f.refused++
	}
	f.mu.Unlock()
	switch e.Outcome {
	case "cut", "lost", "closed", "closed late":
	default:
		return
	}
	atExit := end >= exitFrom && end < maxLateExit && end-sent < deadline
	long := sent+run >= ruleWorkFrom || s.enabled[upstreamFaults] || s.enabled[networkFaults] || s.enabled[nodeFaults] || s.disturbs()
	if e.Reached && atExit && !(sent <= ruleSentBy && long) {
		s.sys.Ledger.RecordViolation("%s %s, sent %v after SIGTERM, was cut by the exit of its node after %v: %s, run of %v", e.Kind, e.ID, sent.Round(time.Millisecond), end.Round(time.Millisecond), e.Outcome, run.Round(time.Millisecond))
	}
}

// disturbs reports whether the soak has faults beside those of its families that delay what upstreams run.
func (s *Soak) disturbs() bool {
	return s.fatal != nil || s.paths != nil || s.versions != nil || s.parts != nil || s.contention != nil || s.retries != nil || s.responses != nil
}

// summary says what became of the requests.
func (f *stopFaults) summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%d long requests at nodes that stop, %d refused", f.sent, f.refused)
}
