package sageclaims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageclock"
)

// Limits of the backlog.
const (
	maxBacklogJobs    = 20_000
	initialJobDelay   = 250 * time.Millisecond
	maxJobDelay       = 4 * time.Second
	maxConcurrentJobs = 64
	// missingClaimTimeout is how long after its deadline a claim may still be written by a slow owner, and
	// therefore how long a job that finds no claim is retried.
	missingClaimTimeout = 30 * time.Second
	drainTimeout        = 5 * time.Second
)

// job is a finish or a release that has to be committed.
type job struct {
	object string
	entry  sageclaim.Entry
	answer []byte
	// abandonAt is when a job that finds no claim is abandoned.
	abandonAt time.Time
	// retryAt is when a failed job is due again; retryDelay, the time from the failure, doubles each time.
	retryAt    time.Time
	retryDelay time.Duration
}

// withBackoff returns the failed job with the time of its next attempt.
func (j job) withBackoff(now time.Time) job {
	j.retryDelay = min(max(2*j.retryDelay, initialJobDelay), maxJobDelay)
	j.retryAt = now.Add(j.retryDelay)
	return j
}

// backlog holds the jobs that are not committed yet.
type backlog struct {
	mu      sync.Mutex
	jobs    []job
	wake    chan struct{}
	dropped int64
}

func (b *backlog) wakeChannel() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// add adds jobs and wakes Run. Jobs beyond maxBacklogJobs are dropped: their claims stay claimed, so repeated
// requests are refused and the claims appear in the list of unknown outcomes, but no request runs twice.
func (b *backlog) add(jobs ...job) {
	wake := b.wakeChannel()
	b.mu.Lock()
	free := max(0, maxBacklogJobs-len(b.jobs))
	b.dropped += int64(max(0, len(jobs)-free))
	b.jobs = append(b.jobs, jobs[:min(free, len(jobs))]...)
	b.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (b *backlog) takeAll() []job {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := b.jobs
	b.jobs = nil
	return jobs
}

func (b *backlog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs)
}

func (s *Service) enqueue(j job, deadline time.Time) {
	j.abandonAt = deadline.Add(missingClaimTimeout)
	s.backlog.add(j)
}

// Run commits finishes and releases until ctx ends, and then tries for up to drainTimeout to commit the rest.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	go s.runSweeps(ctx)
	wake := s.backlog.wakeChannel()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-wake:
			if s.runJobs(ctx, false) > 0 {
				// Failed jobs are retried after a delay, so that an outage of the store doesn't cause a
				// burst of calls.
				sageclock.Sleep(ctx, initialJobDelay)
				s.backlog.add()
			}
		}
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	for s.runJobs(drainCtx, true) > 0 && sageclock.Sleep(drainCtx, initialJobDelay) {
	}
	if n := s.backlog.len(); n > 0 {
		s.Log.Warn("Stopped with outcomes not recorded; they are listed as unknown.", "count", n)
	}
	s.Committer.Wait()
	return nil
}

// runJobs runs the jobs that are due, or all jobs if all is set, once each. It returns the number of jobs left.
func (s *Service) runJobs(ctx context.Context, all bool) int {
	var mu sync.Mutex
	var retries []job
	var g errgroup.Group
	g.SetLimit(maxConcurrentJobs)
	now := time.Now()
	for _, j := range s.backlog.takeAll() {
		if now.Before(j.retryAt) && !all {
			mu.Lock()
			retries = append(retries, j)
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			if !s.runJob(ctx, j) {
				mu.Lock()
				retries = append(retries, j.withBackoff(time.Now()))
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	if len(retries) > 0 {
		s.backlog.add(retries...)
	}
	return len(retries)
}

// runJob commits the job and reports whether it needs no retry. The cache may be older than the store, so a job
// that seems to have no effect is committed again with the object read from the store.
func (s *Service) runJob(ctx context.Context, j job) bool {
	for _, bypassCache := range []bool{false, true} {
		rec, _, err := s.commit(ctx, j.object, j.entry, j.answer, bypassCache)
		switch {
		case err == nil && rec.ClaimID == j.entry.ClaimID && rec.State != sageclaim.StateClaimed:
			return s.listIfSwept(ctx, &rec)
		case err == nil && bypassCache:
			return true // the key has another claim by now
		case err != nil && !errors.Is(err, sageclaim.ErrNoClaim):
			return false
		}
	}
	return time.Now().After(j.abandonAt)
}

// listIfSwept lists a request with an unknown outcome immediately if the sweep may have passed its bucket. It
// returns false if that failed.
func (s *Service) listIfSwept(ctx context.Context, rec *sageclaim.Record) bool {
	now := time.Now()
	key, err := sageclaim.ParseKey(rec.Key)
	if err != nil || rec.State != sageclaim.StateFinished || !rec.Unresolved(now) || now.Before(key.CreatedAt.Add(s.SweepAfter)) {
		return true
	}
	return s.addUnknown(ctx, now, []sageclaim.Record{*rec}) == nil
}
