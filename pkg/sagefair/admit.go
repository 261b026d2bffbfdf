package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// earlyRefusal returns a refused item if the request can't be queued or would start too late, and nil
// if it may wait. It uses only counters, so that a refusal takes the same short time under any
// overload.
func (s *Scheduler) earlyRefusal(now time.Time, r Request) *Item {
	accountQueued, accountAhead := 0, 0
	totalWeight := s.waitingWeight + r.Weight
	if a := s.accounts[r.Account]; a != nil {
		accountQueued, accountAhead = a.waiting, a.queuedAhead(r.Priority)
		if accountQueued > 0 {
			totalWeight -= a.weight
		}
	}
	wait := s.estimateWait(r, accountAhead, totalWeight)
	if accountQueued >= s.queueLimit(r.Weight, totalWeight) {
		reason := sagewire.ReasonAccountLimit
		if accountQueued <= 1 {
			reason = sagewire.ReasonOverloaded
		}
		return refused(r, reason, now.Add(wait))
	}
	if now.Add(wait + s.serviceTime()).After(r.Deadline) {
		return refused(r, sagewire.ReasonDeadline, now.Add(wait))
	}
	return nil
}

// queuedAhead returns the number of the account's waiting requests that precede a new one of class p.
func (a *account) queuedAhead(p sagewire.Priority) int {
	n := 0
	for c := range a.queues[:p+1] {
		n += a.queues[c].live
	}
	return n
}

// queueLimit returns how many requests an account may have waiting: its weighted share of twice the
// free places, and at least one until 2*MaxQueue requests wait. A surging account is thus stopped while
// there are places for others.
func (s *Scheduler) queueLimit(weight, totalWeight float64) int {
	maxQueue := s.MaxQueue
	if maxQueue <= 0 {
		maxQueue = DefaultMaxQueue
	}
	if s.waiting >= 2*maxQueue {
		return 0
	}
	freePlaces := max(0, maxQueue-s.waiting)
	return max(1, min(freePlaces, int(2*float64(freePlaces)*weight/totalWeight)))
}

// estimateWait estimates how long a new request would wait: the time for its account's queue at the
// account's share of the rate, but at most the time for all requests of its class and above at the full
// rate. An account that is ahead of the others first has to wait until they have caught up; the
// estimate doesn't include that.
func (s *Scheduler) estimateWait(r Request, accountAhead int, totalWeight float64) time.Duration {
	startInterval := s.serviceTime().Seconds() / float64(max(s.slots, 1)) // time between two starts
	shareWait := float64(accountAhead+1) * startInterval * totalWeight / r.Weight
	queued := 1
	for c := range s.byClass[:r.Priority+1] {
		queued += s.byClass[c]
	}
	fullRateWait := float64(queued) * startInterval
	return sageclock.DurationOf(min(shareWait, fullRateWait), time.Second)
}
