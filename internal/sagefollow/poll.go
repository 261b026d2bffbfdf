package sagefollow

import (
	"context"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Who polls the store, and when.
const (
	// pollShare is the part of the bound on what a node knows after which the proof is renewed. With
	// lateAfter, three ranks, a call and a heartbeat to all it stays below the bound of two seconds.
	pollShare = 0.4
	// pollRank is the rank of the node that polls. It isn't the one that watches, so that the fleet hears
	// of changes, though later, while either is gone or cut off unnoticed.
	pollRank = 1
	// lateAfter is by how much the age of a proof has to exceed the time between polls for another node
	// to poll: two heartbeats, by which the stamps and the proof come, and an answer.
	lateAfter = 500 * time.Millisecond
	// perRank spreads the nodes that do so, up to spreadRanks of them, so that one of them serves the
	// others in time.
	perRank     = 40 * time.Millisecond
	spreadRanks = 25
	// freshAfter is when a call that isn't answered gets another one beside it: a hundred times the
	// store's usual 4 ms.
	freshAfter = 400 * time.Millisecond
	// patientWithin is how long one of the calls under way may take, for a store that answers slowly.
	// The others have answerWithin.
	patientWithin = 6 * time.Second
	// firstPause and longestPause bound the pause after a call that failed at once.
	firstPause   = 100 * time.Millisecond
	longestPause = 600 * time.Millisecond
	// perRankFailing is added to it for each place in the ranks: while the store is down for all, the
	// first two find out when it is back and tell the others.
	perRankFailing = 75 * time.Millisecond
	// scoutedAfter is how often a kind is asked for whose scout finds the store away: the scout may be
	// wrong about it, as the store may refuse calls of one kind.
	scoutedAfter = 3 * time.Second
	// seeAgainAfter is how often a node whose last call failed tries again although others' proofs
	// reach it: until then it neither watches nor polls for the others.
	seeAgainAfter = 2 * time.Second
)

// poller is the state of the polls under way.
type poller struct {
	f       *Follower
	results chan result
	// patient says that one call is under way that may take long.
	patient bool
	pause   time.Duration
	began   sageclock.Instant // of the last call
}

// result is how a call ended.
type result struct {
	began   sageclock.Instant
	patient bool
	err     error
}

// poll renews the proof whenever this node is the one to.
//
// It guards against a call that is never answered: a silent store, or a connection that went silent,
// would hold a node up until the call's time is over, long after the store is back. A call that takes
// long goes on, as the store may be slow, and a fresh one on a connection of its own goes beside it;
// the first answer counts for all.
func (f *Follower) poll(ctx context.Context) {
	p := &poller{f: f, results: make(chan result), pause: firstPause}
	for ctx.Err() == nil {
		if wait := f.untilDue(f.now(), p.began); wait > 0 {
			p.idle(ctx, min(wait, checkEvery))
			continue
		}
		p.start(ctx)
		p.await(ctx)
	}
}

// untilDue returns the time until this node has to poll, zero or less if that is now.
//
// It guards against an outage in which every node asks for every kind over and over: of three kinds two
// wait for what the scout finds.
func (f *Follower) untilDue(now, last sageclock.Instant) time.Duration {
	if f.Prober != nil && f.Failing() && f.Prober.Failing() {
		return last.Add(scoutedAfter).Sub(now)
	}
	if !f.listed() {
		return f.ListNotBefore.Sub(now)
	}
	rank := f.Rank(f.Failing())
	allowed := time.Duration(pollShare * float64(f.MaxStaleness))
	if rank != pollRank {
		allowed += lateAfter + time.Duration(min(rank, spreadRanks))*perRank
		if f.PeerProofDelay != nil {
			allowed += f.PeerProofDelay()
		}
	}
	wait := allowed - f.Proof.Age(now)
	if f.Failing() {
		wait = min(wait, last.Add(seeAgainAfter).Sub(now))
	}
	return wait
}

// start makes one call.
func (p *poller) start(ctx context.Context) {
	r := result{began: p.f.now(), patient: !p.patient}
	within := answerWithin
	if r.patient {
		within, p.patient = patientWithin, true
	}
	p.began = r.began
	go func() {
		_, r.err = p.f.ask(ctx, 0, within)
		select {
		case p.results <- r:
		case <-ctx.Done():
		}
	}()
}

// await returns when the next call may be made: after an answer at once, after a call that failed at once
// when a pause is over, and when nothing came for a while.
func (p *poller) await(ctx context.Context) {
	overdue := p.began.Add(freshAfter + p.f.spreadFailing())
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-p.results:
			p.settle(r)
			switch {
			case r.err == nil:
				return
			case r.began == p.began:
				p.idle(ctx, p.nextPause())
				return
			}
		case <-time.After(overdue.Sub(p.f.now())):
			p.f.Source.ResetConnections()
			return
		}
	}
}

// idle waits, and notes how calls under way end meanwhile. An answer ends the wait.
func (p *poller) idle(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case r := <-p.results:
			p.settle(r)
			if r.err == nil {
				return
			}
		}
	}
}

// settle notes how a call ended.
func (p *poller) settle(r result) {
	if r.patient {
		p.patient = false
	}
	if r.err == nil {
		p.pause = firstPause
	}
	p.f.ended(r.began, r.err)
}

// nextPause is how long to wait after a failure.
func (p *poller) nextPause() time.Duration {
	wait := p.pause/2 + rand.N(p.pause)
	p.pause = min(2*p.pause, longestPause)
	return wait + p.f.spreadFailing()
}

// spreadFailing is what a node waits longer before the next call for its place in the ranks.
func (f *Follower) spreadFailing() time.Duration {
	if rank := f.Rank(true); rank > pollRank {
		return time.Duration(rank) * perRankFailing
	}
	return 0
}
