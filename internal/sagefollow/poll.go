package sagefollow

import (
	"context"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Which node polls the store, and when.
const (
	// pollFraction is the fraction of MaxStaleness after which the proof is renewed. It leaves capacity for
	// pollGrace, the delay of three ranks, a call and a heartbeat to all nodes within a bound of two seconds.
	pollFraction = 0.4
	// isolatedPollFraction is the same for a node without peers, whose proof nobody else has to receive.
	isolatedPollFraction = 0.6
	// pollRank is the rank of the node that polls. It differs from watchRank, so that changes still reach
	// the fleet, though later, while one of the two nodes is lost or cut off and this has not been noticed.
	pollRank = 1
	// pollGrace is by how much the age of a proof has to exceed the time between polls before another node
	// polls. It covers an answer of the store and the two heartbeats that carry the stamp and the proof.
	pollGrace = 500 * time.Millisecond
	// pollDelayPerRank is the additional delay of such a poll for each rank, up to maxDelayedRanks, so that
	// the answer to one node usually reaches the others before they poll.
	pollDelayPerRank = 40 * time.Millisecond
	maxDelayedRanks  = 25
	// peerCopyTimeout is how long a node without a copy tries to fetch it from peers before it lists the kind itself,
	// unless a fetch is in progress.
	peerCopyTimeout = 3 * time.Second
	// hedgeDelay is the time after which an unanswered call is hedged with a second one: a hundred times
	// the store's usual 4 ms.
	hedgeDelay = 400 * time.Millisecond
	// slowCallTimeout is the timeout of one of the calls in progress, for a store that answers slowly.
	// The other calls have answerTimeout.
	slowCallTimeout = 6 * time.Second
	// initialRetryDelay and maxRetryDelay bound the mean delay after a call that failed before it was hedged.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 600 * time.Millisecond
	// retryDelayPerRank, multiplied by the rank, is added to the delay of nodes above pollRank. While the store
	// is down for all nodes, the first two detect that it is back and report it to the others.
	retryDelayPerRank = 75 * time.Millisecond
	// deferredPollInterval is how often a kind is polled while its prober finds the store down. The prober
	// may be wrong for this kind, as the store may refuse the calls of a single kind.
	deferredPollInterval = 3 * time.Second
	// unreachableRetryInterval is how often a node whose last call failed retries while it gets fresh proofs
	// from its peers. Until a call is answered it neither watches nor polls for the fleet.
	unreachableRetryInterval = 2 * time.Second
)

// poller is the state of the polls in progress.
type poller struct {
	f       *Follower
	results chan result
	// slowCallPending says that a call with slowCallTimeout is in progress.
	slowCallPending bool
	retryDelay      time.Duration     // mean delay after the next failure
	lastStarted     sageclock.Instant // start of the last call
}

// result is the outcome of a call.
type result struct {
	started sageclock.Instant
	slow    bool // the call had slowCallTimeout
	err     error
}

// poll renews the proof whenever it is this node's turn.
//
// Calls that take long are hedged: the pending call continues, as the store may just be slow, another one is
// made on a new connection, and the first answer counts. Without hedging, a stalled store or connection would
// block the node until the call times out, long after the store is back.
func (f *Follower) poll(ctx context.Context) {
	p := &poller{f: f, results: make(chan result), retryDelay: initialRetryDelay}
	for ctx.Err() == nil {
		if wait := f.untilNextPoll(f.now(), p.lastStarted); wait > 0 {
			p.waitForResult(ctx, min(wait, checkInterval))
			continue
		}
		p.startCall(ctx)
		p.awaitNextCall(ctx)
	}
}

// untilNextPoll returns the time until this node has to poll; zero or less means now.
//
// While the store is down, kinds with a prober are polled rarely. Otherwise every node would keep calling the
// store for every kind during an outage.
func (f *Follower) untilNextPoll(now, lastStarted sageclock.Instant) time.Duration {
	if f.Prober != nil && f.Failing() && f.Prober.Failing() {
		return lastStarted.Add(deferredPollInterval).Sub(now)
	}
	if !f.listed() {
		return f.untilFirstListing(now)
	}
	rank := f.Rank(f.Failing())
	allowed := time.Duration(pollFraction * float64(f.MaxStaleness))
	switch {
	case f.isolated():
		allowed = time.Duration(isolatedPollFraction * float64(f.MaxStaleness))
	case rank != pollRank:
		allowed += pollGrace + time.Duration(min(rank, maxDelayedRanks))*pollDelayPerRank
		if f.PeerProofDelay != nil {
			allowed += f.PeerProofDelay()
		}
	}
	wait := allowed - f.Proof.Age(now)
	if f.Failing() {
		wait = min(wait, lastStarted.Add(unreachableRetryInterval).Sub(now))
	}
	return wait
}

func (f *Follower) isolated() bool { return f.Isolated != nil && f.Isolated() }

// untilFirstListing returns the time until this node lists the kind for the first time; zero or less means now.
//
// If each node of a large fleet listed a kind after a restart of all, the calls to the store would grow with the number of
// nodes and the number of objects. Once a peer has a copy, it is fetched from there.
func (f *Follower) untilFirstListing(now sageclock.Instant) time.Duration {
	f.mu.Lock()
	behindSince, fetching := f.behindSince, len(f.fetches) > 0
	f.mu.Unlock()
	if fetching {
		return checkInterval
	}
	var at sageclock.Instant
	if f.ListNotBefore != nil {
		at = f.ListNotBefore()
	}
	if behindSince != 0 {
		at = max(at, behindSince.Add(peerCopyTimeout))
	}
	return at.Sub(now)
}

// Refresh calls the store beside the polls, within the time of ctx. After a nil result the copy has every change that the store
// acknowledged before the call.
func (f *Follower) Refresh(ctx context.Context) error {
	started := f.now()
	if _, err := f.callStore(ctx, 0, answerTimeout); err != nil {
		return err // the polls find out whether the store is down
	}
	f.recordCall(started, nil)
	return nil
}

// startCall starts one call.
func (p *poller) startCall(ctx context.Context) {
	r := result{started: p.f.now(), slow: !p.slowCallPending}
	timeout := answerTimeout
	if r.slow {
		timeout, p.slowCallPending = slowCallTimeout, true
	}
	p.lastStarted = r.started
	go func() {
		_, r.err = p.f.callStore(ctx, 0, timeout)
		select {
		case p.results <- r:
		case <-ctx.Done():
		}
	}()
}

// awaitNextCall returns when the next call may be made: on an answer immediately, on a failure of the last call
// after the retry delay, and if neither comes, when the call is due to be hedged.
func (p *poller) awaitNextCall(ctx context.Context) {
	hedgeAt := p.lastStarted.Add(hedgeDelay + p.f.rankRetryDelay())
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-p.results:
			p.recordResult(r)
			switch {
			case r.err == nil:
				return
			case r.started == p.lastStarted:
				p.waitForResult(ctx, p.nextRetryDelay())
				return
			}
		case <-time.After(hedgeAt.Sub(p.f.now())):
			p.f.Source.ResetConnections()
			return
		}
	}
}

// waitForResult waits for d and records the results of calls that end meanwhile. An answer ends the wait.
func (p *poller) waitForResult(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case r := <-p.results:
			p.recordResult(r)
			if r.err == nil {
				return
			}
		}
	}
}

// recordResult records the outcome of a call.
func (p *poller) recordResult(r result) {
	if r.slow {
		p.slowCallPending = false
	}
	if r.err == nil {
		p.retryDelay = initialRetryDelay
	}
	p.f.recordCall(r.started, r.err)
}

// nextRetryDelay returns how long to wait after a failure and doubles the delay for the next one.
func (p *poller) nextRetryDelay() time.Duration {
	wait := p.retryDelay/2 + rand.N(p.retryDelay)
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	return wait + p.f.rankRetryDelay()
}

// rankRetryDelay returns the additional delay before the next call that follows from this node's rank.
func (f *Follower) rankRetryDelay() time.Duration {
	if rank := f.Rank(true); rank > pollRank {
		return time.Duration(rank) * retryDelayPerRank
	}
	return 0
}
