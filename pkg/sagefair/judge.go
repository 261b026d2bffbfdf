package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// judge refuses a request that can't be queued or would start too late; nil means that it may
// wait. It looks at sums only, so a refusal takes the same short time in any overload.
func (s *Scheduler) judge(now time.Time, r Request) *Item {
	own, ownAhead := 0, 0
	weight := s.weights + r.Weight
	if a := s.accounts[r.Account]; a != nil {
		own, ownAhead = a.waiting, a.ahead(r.Priority)
		if own > 0 {
			weight -= a.weight
		}
	}
	wait := s.wait(r, ownAhead, weight)
	if own >= s.limit(r.Weight, weight) {
		reason := sagewire.ReasonAccountLimit
		if own <= 1 {
			reason = sagewire.ReasonOverloaded
		}
		return refused(r, reason, now.Add(wait))
	}
	if now.Add(wait + s.serviceTime()).After(r.Deadline) {
		return refused(r, sagewire.ReasonDeadline, now.Add(wait))
	}
	return nil
}

// ahead returns the account's waiting requests that go before a new one of class p.
func (a *account) ahead(p sagewire.Priority) int {
	n := 0
	for c := range a.queues[:p+1] {
		n += a.queues[c].live
	}
	return n
}

// limit is how many requests an account may have waiting: its weighted part of twice the room that
// is left, at least one until the queue holds twice MaxQueue. A surging account thus stops while
// there is room for others, however many it sends.
func (s *Scheduler) limit(weight, weights float64) int {
	most := s.MaxQueue
	if most <= 0 {
		most = DefaultMaxQueue
	}
	if s.waiting >= 2*most {
		return 0
	}
	room := max(0, most-s.waiting)
	return max(1, min(room, int(2*float64(room)*weight/weights)))
}

// wait estimates how long a new request would wait: its account's queue at the account's share of
// the rate, but no longer than everything of its class and above at the whole rate. An account
// that is ahead of the others first waits for them to catch up.
func (s *Scheduler) wait(r Request, ownAhead int, weights float64) time.Duration {
	each := s.serviceTime().Seconds() / float64(max(s.slots, 1)) // time between two starts
	share := float64(ownAhead+1) * each * weights / r.Weight
	all := 1
	for c := range s.byClass[:r.Priority+1] {
		all += s.byClass[c]
	}
	whole := float64(all) * each
	return time.Duration(min(share, whole) * float64(time.Second))
}
