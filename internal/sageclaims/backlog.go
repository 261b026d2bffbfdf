package sageclaims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/pkg/sageclaim"
)

// Limits of the backlog.
const (
	maxBacklog    = 20_000
	backlogPause  = 250 * time.Millisecond
	backlogMost   = 4 * time.Second
	backlogAtOnce = 64
	// noClaimFor is how long after its deadline a claim may still be written by a slow owner, and so
	// how long a release that found no claim is repeated.
	noClaimFor = 30 * time.Second
	drainFor   = 5 * time.Second
)

// job is a finish or a release that has to reach the store.
type job struct {
	object string
	entry  sageclaim.Entry
	answer []byte
	// giveUp is when a job that finds no claim is dropped.
	giveUp time.Time
	// after is when a job that failed is tried again; its pauses double.
	after time.Time
	pause time.Duration
}

// failed returns the job as it is to be tried again.
func (j job) failed(now time.Time) job {
	j.pause = min(max(2*j.pause, backlogPause), backlogMost)
	j.after = now.Add(j.pause)
	return j
}

// backlog holds the jobs that wait.
type backlog struct {
	mu      sync.Mutex
	jobs    []job
	wake    chan struct{}
	dropped int64
}

func (b *backlog) signal() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// push adds jobs. Beyond the bound they are dropped: the claim then stays claimed, which refuses
// repeats and shows in the list of unsettled requests, but never runs anything twice.
func (b *backlog) push(jobs ...job) {
	wake := b.signal()
	b.mu.Lock()
	free := max(0, maxBacklog-len(b.jobs))
	b.dropped += int64(max(0, len(jobs)-free))
	b.jobs = append(b.jobs, jobs[:min(free, len(jobs))]...)
	b.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (b *backlog) take() []job {
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

func (s *Service) push(j job, deadline time.Time) {
	j.giveUp = deadline.Add(noClaimFor)
	s.backlog.push(j)
}

// Run brings finishes and releases to the store until ctx ends, and then for a while what is left.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	go s.sweepUntil(ctx)
	wake := s.backlog.signal()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-wake:
			if s.work(ctx, false) > 0 {
				// What failed comes back after a pause, so that an outage isn't met by a storm.
				wait(ctx, backlogPause)
				s.backlog.push()
			}
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainFor)
	defer cancel()
	for s.work(last, true) > 0 && wait(last, backlogPause) {
	}
	if n := s.backlog.len(); n > 0 {
		s.Log.Warn("Stopped with outcomes not recorded; they show as unsettled.", "count", n)
	}
	s.Committer.Wait()
	return nil
}

// work tries every waiting job that is due, or all, once and returns how many wait again.
func (s *Service) work(ctx context.Context, all bool) int {
	var mu sync.Mutex
	var again []job
	var g errgroup.Group
	g.SetLimit(backlogAtOnce)
	now := time.Now()
	for _, j := range s.backlog.take() {
		if now.Before(j.after) && !all {
			mu.Lock()
			again = append(again, j)
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			if !s.try(ctx, j) {
				mu.Lock()
				again = append(again, j.failed(time.Now()))
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	if len(again) > 0 {
		s.backlog.push(again...)
	}
	return len(again)
}

// try reports whether the job is done with. What memory shows may lag behind the store, so a job that
// seems to have no effect is tried once more on the object as the store has it.
func (s *Service) try(ctx context.Context, j job) bool {
	for _, fresh := range []bool{false, true} {
		rec, _, err := s.commit(ctx, j.object, j.entry, j.answer, fresh)
		switch {
		case err == nil && rec.ClaimID == j.entry.ClaimID && rec.State != sageclaim.StateClaimed:
			return s.listLate(ctx, &rec)
		case err == nil && fresh:
			return true // the claim is another's by now
		case err != nil && !errors.Is(err, sageclaim.ErrNoClaim):
			return false
		}
	}
	return time.Now().After(j.giveUp)
}

// listLate lists a request with an unknown outcome at once if the sweep has passed its bucket.
func (s *Service) listLate(ctx context.Context, rec *sageclaim.Record) bool {
	now := time.Now()
	key, err := sageclaim.ParseKey(rec.Key)
	if err != nil || rec.State != sageclaim.StateFinished || !rec.Unresolved(now) || now.Before(key.CreatedAt.Add(s.SweepAfter)) {
		return true
	}
	return s.addUnknown(ctx, now, []sageclaim.Record{*rec}) == nil
}
