package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of restores of the store.
const (
	maxRestoreGap     = 4 * time.Second
	maxCopyAge        = 3 * time.Second
	maxAwayTime       = 800 * time.Millisecond
	maxRestoreSeries  = 3
	maxLostChanges    = 6                      // changes that the store loses beside those of the other faults
	restoreInterval   = 300 * time.Millisecond // between the restores of a series
	maxWriteDelay     = 1500 * time.Millisecond
	noticeTime        = time.Second     // within which the nodes have followed a change before the store goes away
	registrationLimit = 2 * time.Second // within which all nodes are registered again
)

// restorer replaces the store's content by earlier copies. The operator and the runners write their present state again. It
// uses its own random numbers, so that the other faults of a seed don't depend on it.
type restorer struct {
	soak *Soak
	rng  *rand.Rand
	// away is held while the store is away and until it is restored. Leaves aren't written meanwhile.
	away     sync.RWMutex
	restores int
	pending  sync.WaitGroup // writes after restores
}

// newRestorer returns the restorer of the seed, or nil if the soak has no restores.
func (s *Soak) newRestorer() *restorer {
	if !s.Restores || s.NoFaults {
		return nil
	}
	return &restorer{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 3))}
}

func (r *restorer) randomTime(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// run restores the store, once or in series, until the soak's duration has passed.
func (r *restorer) run(ctx context.Context) {
	s := r.soak
	for ctx.Err() == nil {
		sageclock.Sleep(ctx, maxRestoreGap/4+r.randomTime(maxRestoreGap))
		if time.Since(s.start) > s.Duration {
			return
		}
		c := s.sys.Store.Copy()
		for range r.rng.IntN(maxLostChanges) {
			s.sys.Configure()
		}
		sageclock.Sleep(ctx, r.randomTime(maxCopyAge))
		for range 1 + r.rng.IntN(maxRestoreSeries) {
			r.restore(ctx, c)
			sageclock.Sleep(ctx, r.randomTime(restoreInterval))
		}
		r.changeAtOnce()
	}
}

// changeAtOnce revokes a key and lets a runner leave right after a restore, so that the changes get revisions which the store
// had given out before.
func (r *restorer) changeAtOnce() {
	s := r.soak
	if r.rng.IntN(2) == 0 {
		key := s.sys.Key(0)
		s.sys.RotateKey()
		caller := r.rng.IntN(s.Nodes)
		r.pending.Go(func() { s.probe(caller, key) })
	}
	if leaving := s.sys.Runner(r.rng.IntN(len(s.sys.Runners))); r.rng.IntN(2) == 0 {
		leaving.RegisterDraining()
		leaving.SetDrainLimit(standin.MaxDrainDelay, s.delayBoundsApply())
		r.pending.Go(func() {
			time.Sleep(maxFaultDuration)
			leaving.MarkReady()
		})
	}
}

// probe sends requests with a revoked key until its limit has passed for long.
func (s *Soak) probe(caller int, key string) {
	c := s.sys.Caller(caller)
	c.Key = func() string { return key }
	defer c.Close()
	for end := time.Now().Add(2 * standin.MaxRevocationDelay); time.Now().Before(end); time.Sleep(requestInterval) {
		c.Do(context.Background(), standin.Lookup)
	}
}

// restore makes the store unavailable for a moment and replaces its content by a copy.
func (r *restorer) restore(ctx context.Context, c *standin.Copy) {
	s := r.soak
	mode := [...]standin.Mode{standin.ModeStalled, standin.ModeReset, standin.ModeBusy}[r.rng.IntN(3)]
	awayTime := r.randomTime(maxAwayTime)
	answerDelay := time.Duration(r.rng.IntN(2)) * maxAwayTime / 2
	r.away.Lock()
	unseenSince := time.Now().Add(-noticeTime)
	for i := range s.sys.Runners {
		s.sys.Runner(i).SuspendDrainLimit(unseenSince)
	}
	s.sys.Store.SetAnswerDelay(answerDelay)
	s.sys.Store.SetMode("", mode)
	sageclock.Sleep(ctx, awayTime)
	s.sys.Store.Restore(c)
	s.sys.Store.SetMode("", standin.ModeServing)
	s.sys.Store.SetAnswerDelay(0)
	r.away.Unlock()
	r.restores++
	s.mu.Lock()
	s.injected = append(s.injected, fmt.Sprintf("%.1fs store restored, %s for %.1fs", time.Since(s.start).Seconds(), mode, awayTime.Seconds()))
	s.mu.Unlock()
	r.writeAgain(unseenSince)
}

// writeAgain lets the operator and the runners write again, each after a time of its own.
func (r *restorer) writeAgain(unseenSince time.Time) {
	s := r.soak
	r.pending.Go(func(delay time.Duration) func() {
		return func() {
			time.Sleep(delay)
			s.sys.WriteAgain(unseenSince)
		}
	}(r.randomTime(maxWriteDelay)))
	for i := range s.sys.Runners {
		delay := r.randomTime(maxWriteDelay)
		r.pending.Go(func() {
			time.Sleep(delay)
			s.sys.Runner(i).WriteAgain(standin.MaxDrainDelay, s.delayBoundsApply())
		})
	}
}

// checkRegistered checks that all nodes are registered in the store.
func (r *restorer) checkRegistered(ctx context.Context) {
	if r.restores == 0 {
		return
	}
	s := r.soak
	var names []string
	for deadline := time.Now().Add(registrationLimit); time.Now().Before(deadline) && ctx.Err() == nil; sageclock.Sleep(ctx, requestInterval) {
		if names = s.sys.Store.Names("routers"); len(names) == s.Nodes {
			return
		}
	}
	s.sys.Ledger.RecordViolation("of %d nodes only %v are registered after %d restores of the store", s.Nodes, slices.Clone(names), r.restores)
}
