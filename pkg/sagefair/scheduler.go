package sagefair

import (
	"container/heap"
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// Starts after which a waiting class gets one although a higher one waits too.
const (
	NormalEvery = 4
	BulkEvery   = 16
)

// Defaults of a [Scheduler].
const (
	DefaultMaxQueue    = 1024
	DefaultUrgentSlack = 2 * time.Second
	// DefaultServiceTime is the service time that is assumed before one was seen.
	DefaultServiceTime = 200 * time.Millisecond
)

// Scheduler admits requests to a number of slots.
type Scheduler struct {
	// MaxQueue is the number of waiting requests at which accounts may queue only one each; at
	// twice the number nobody may. Zero means [DefaultMaxQueue].
	MaxQueue int
	// Slack is the slot time by unit of weight that an account may be ahead of others and still
	// have its urgent requests go first. Zero means [DefaultUrgentSlack].
	UrgentSlack time.Duration

	slots    int
	running  int
	waiting  int
	weights  float64 // sum over accounts with waiting requests
	virtual  float64
	service  time.Duration // moving mean of the time that a request holds its slot
	accounts map[string]*account
	active   int // accounts with requests
	unswept  int // calls since the last sweep
	byClass  [sagewire.NumPriorities]int
	classes  [sagewire.NumPriorities]class
	passed   [sagewire.NumPriorities]int // starts of other classes while this one waited
}

// Offer takes a new request. The returned item runs, waits or is refused; others are waiting items
// that start now or have missed their deadline.
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
	if s.waiting == 0 && s.free(r.Priority) {
		it := &Item{Request: r, account: s.account(r)}
		s.start(now, it)
		return it, nil
	}
	if it := s.judge(now, r); it != nil {
		return it, nil
	}
	it = &Item{Request: r, account: s.account(r)}
	s.enqueue(it)
	for _, o := range s.fill(now) {
		if o != it {
			others = append(others, o)
		}
	}
	return it, others
}

// Done reports the end of a running item and returns the items that this lets start or that have
// missed their deadline.
func (s *Scheduler) Done(now time.Time, it *Item) []*Item {
	if it.State != Running {
		return nil
	}
	it.State = Ended
	s.running--
	d := now.Sub(it.started)
	s.learn(d)
	a := it.account
	a.running--
	a.tag += (d - it.charged).Seconds() / a.weight
	s.fix(a)
	if a.running == 0 && a.waiting == 0 {
		s.active--
		a.idle = now
	}
	return s.fill(now)
}

// Cancel withdraws a waiting item whose caller has left.
func (s *Scheduler) Cancel(now time.Time, it *Item) {
	if it.State == Waiting {
		s.dequeue(now, it, Ended)
		s.sweep(now)
	}
}

// SetSlots changes the number of slots and returns the items that this lets start or that have
// missed their deadline. Running items are not stopped.
func (s *Scheduler) SetSlots(now time.Time, n int) []*Item {
	s.slots = n
	return s.fill(now)
}

// Running returns the number of running items.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting items of a class.
func (s *Scheduler) Queued(p sagewire.Priority) int { return s.byClass[p] }

// Accounts returns the number of accounts that hold state.
func (s *Scheduler) Accounts() int { return len(s.accounts) }

// account returns the state of the request's account; a new one starts at virtual time.
func (s *Scheduler) account(r Request) *account {
	a := s.accounts[r.Account]
	if a == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
			for p := range s.classes {
				s.classes[p].priority = sagewire.Priority(p)
			}
		}
		a = &account{name: r.Account, tag: s.virtual}
		s.accounts[r.Account] = a
	}
	if a.running == 0 && a.waiting == 0 {
		s.active++
		a.tag = max(a.tag, s.virtual)
	}
	if a.waiting > 0 {
		s.weights += r.Weight - a.weight
	}
	a.weight = r.Weight
	return a
}

func (s *Scheduler) start(now time.Time, it *Item) {
	a := it.account
	s.virtual = max(s.virtual, a.tag)
	it.State, it.started, it.charged = Running, now, s.serviceTime()
	a.tag += it.charged.Seconds() / a.weight
	a.running++
	s.running++
	s.fix(a)
}

func (s *Scheduler) enqueue(it *Item) {
	a, p := it.account, it.Request.Priority
	if a.waiting == 0 {
		s.weights += a.weight
	}
	a.queues[p].push(it)
	a.waiting++
	s.waiting++
	s.byClass[p]++
	if a.queues[p].live == 1 {
		heap.Push(&s.classes[p], a)
	}
}

// dequeue takes a waiting item out; it stays in the slice of its queue until it comes first.
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
		heap.Remove(&s.classes[p], a.pos[p])
	}
	if s.waiting == 0 {
		s.weights = 0 // no error of rounding builds up
	} else if a.waiting == 0 {
		s.weights -= a.weight
	}
	if a.waiting == 0 {
		if a.running == 0 && to != Running {
			s.active--
			a.idle = now
		}
	}
}

// sweep forgets idle accounts that virtual time has passed, or that have sent nothing for as long
// as their lead is in slot time: virtual time stands while no account is backlogged. It looks at
// all accounts once in as many calls as there are accounts.
func (s *Scheduler) sweep(now time.Time) {
	if s.running == 0 && s.waiting == 0 {
		s.accounts, s.virtual = nil, 0
		return
	}
	if s.unswept++; s.unswept < len(s.accounts) || len(s.accounts) < 2*s.active+64 {
		return
	}
	s.unswept = 0
	for n, a := range s.accounts {
		if a.running > 0 || a.waiting > 0 {
			continue
		}
		if (a.tag-s.virtual)*a.weight <= now.Sub(a.idle).Seconds() {
			delete(s.accounts, n)
		}
	}
}
