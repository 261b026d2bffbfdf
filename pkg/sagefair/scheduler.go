package sagefair

import (
	"container/heap"
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// A waiting class gets at least one of this many starts, even if higher classes wait too.
const (
	NormalEvery = 4
	BulkEvery   = 16
)

// Defaults of a [Scheduler].
const (
	DefaultMaxQueue    = 1024
	DefaultUrgentSlack = 2 * time.Second
	// DefaultServiceTime is the service time assumed before the first request has ended.
	DefaultServiceTime = 200 * time.Millisecond
)

// Scheduler admits requests to a number of slots.
type Scheduler struct {
	// MaxQueue is the number of waiting requests from which on an account may queue only one. From
	// twice that number on, no account may queue any. Zero means [DefaultMaxQueue].
	MaxQueue int
	// UrgentSlack is how far an account may be ahead of others, in slot time divided by weight, and
	// still have its urgent requests served first. Zero means [DefaultUrgentSlack].
	UrgentSlack time.Duration

	slots           int
	running         int
	waiting         int
	waitingWeight   float64 // sum of the weights of accounts with waiting requests
	virtualTime     float64
	meanServiceTime time.Duration // moving mean of the time for which a request holds its slot
	accounts        map[string]*account
	activeAccounts  int // accounts with waiting or running requests
	callsSinceSweep int // calls of evictIdleAccounts since its last scan
	byClass         [sagewire.NumPriorities]int
	classes         [sagewire.NumPriorities]class
	skipped         [sagewire.NumPriorities]int // starts of other classes while this one waited
}

// Offer submits a new request. The returned item is running, waiting or refused. others are waiting
// items that were started, or refused because their deadline has passed.
func (s *Scheduler) Offer(now time.Time, r Request) (it *Item, others []*Item) {
	if !now.Before(r.Deadline) {
		return refused(r, sagewire.ReasonDeadline, time.Time{}), nil
	}
	if s.slots <= 0 {
		return refused(r, sagewire.ReasonOverloaded, now.Add(s.serviceTime())), nil
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if s.waiting == 0 && s.hasFreeSlot(r.Priority) {
		it := &Item{Request: r, account: s.account(r)}
		s.start(now, it)
		return it, nil
	}
	if it := s.earlyRefusal(now, r); it != nil {
		return it, nil
	}
	it = &Item{Request: r, account: s.account(r)}
	s.enqueue(it)
	for _, o := range s.startWaiting(now) {
		if o != it {
			others = append(others, o)
		}
	}
	return it, others
}

// Done reports the end of a running item. It returns the waiting items that were started, or refused
// because their deadline has passed.
func (s *Scheduler) Done(now time.Time, it *Item) []*Item {
	if it.State != Running {
		return nil
	}
	it.State = Ended
	s.running--
	d := now.Sub(it.started)
	s.recordServiceTime(d)
	a := it.account
	a.running--
	a.startTag += (d - it.chargedTime).Seconds() / a.weight
	s.fixHeaps(a)
	if a.running == 0 && a.waiting == 0 {
		s.activeAccounts--
		a.idleSince = now
	}
	return s.startWaiting(now)
}

// Cancel withdraws a waiting item whose caller has left.
func (s *Scheduler) Cancel(now time.Time, it *Item) {
	if it.State == Waiting {
		s.dequeue(now, it, Ended)
		s.evictIdleAccounts(now)
	}
}

// SetSlots changes the number of slots. It returns the waiting items that were started, or refused
// because their deadline has passed. Running items are not stopped.
func (s *Scheduler) SetSlots(now time.Time, n int) []*Item {
	s.slots = n
	return s.startWaiting(now)
}

// Running returns the number of running items.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting items of a class.
func (s *Scheduler) Queued(p sagewire.Priority) int { return s.byClass[p] }

// Accounts returns the number of accounts for which state is kept.
func (s *Scheduler) Accounts() int { return len(s.accounts) }

// account returns the state of the request's account. A new account starts at virtual time.
func (s *Scheduler) account(r Request) *account {
	a := s.accounts[r.Account]
	if a == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
			for p := range s.classes {
				s.classes[p].priority = sagewire.Priority(p)
			}
		}
		a = &account{name: r.Account, startTag: s.virtualTime}
		s.accounts[r.Account] = a
	}
	if a.running == 0 && a.waiting == 0 {
		s.activeAccounts++
		a.startTag = max(a.startTag, s.virtualTime)
	}
	if a.waiting > 0 {
		s.waitingWeight += r.Weight - a.weight
	}
	a.weight = r.Weight
	return a
}

func (s *Scheduler) start(now time.Time, it *Item) {
	a := it.account
	s.virtualTime = max(s.virtualTime, a.startTag)
	it.State, it.started, it.chargedTime = Running, now, s.serviceTime()
	a.startTag += it.chargedTime.Seconds() / a.weight
	a.running++
	s.running++
	s.fixHeaps(a)
}

func (s *Scheduler) enqueue(it *Item) {
	a, p := it.account, it.Request.Priority
	if a.waiting == 0 {
		s.waitingWeight += a.weight
	}
	a.queues[p].push(it)
	a.waiting++
	s.waiting++
	s.byClass[p]++
	if a.queues[p].live == 1 {
		heap.Push(&s.classes[p], a)
	}
}

// dequeue removes a waiting item from the counters. It stays in the slice of its queue until it reaches
// the front.
func (s *Scheduler) dequeue(now time.Time, it *Item, to State) {
	a, p := it.account, it.Request.Priority
	it.State = to
	q := &a.queues[p]
	q.live--
	q.front()
	a.waiting--
	s.waiting--
	s.byClass[p]--
	if q.live == 0 {
		heap.Remove(&s.classes[p], a.heapIndex[p])
	}
	if s.waiting == 0 {
		s.waitingWeight = 0 // so that rounding errors don't accumulate
	} else if a.waiting == 0 {
		s.waitingWeight -= a.weight
	}
	if a.waiting == 0 {
		if a.running == 0 && to != Running {
			s.activeAccounts--
			a.idleSince = now
		}
	}
}

// evictIdleAccounts removes idle accounts whose start tag virtual time has passed, or that have been
// idle for as long as the slot time they are ahead, since virtual time doesn't advance while no account
// is backlogged. It scans all accounts once in as many calls as there are accounts.
func (s *Scheduler) evictIdleAccounts(now time.Time) {
	if s.running == 0 && s.waiting == 0 {
		s.accounts, s.virtualTime = nil, 0
		return
	}
	if s.callsSinceSweep++; s.callsSinceSweep < len(s.accounts) || len(s.accounts) < 2*s.activeAccounts+64 {
		return
	}
	s.callsSinceSweep = 0
	for n, a := range s.accounts {
		if a.running > 0 || a.waiting > 0 {
			continue
		}
		if (a.startTag-s.virtualTime)*a.weight <= now.Sub(a.idleSince).Seconds() {
			delete(s.accounts, n)
		}
	}
}
