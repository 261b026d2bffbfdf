package sagefair

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

const gateStart = sageclock.Instant(1e15)

// gateLoad is what an account asks of all nodes together.
type gateLoad struct {
	account     string
	perSecond   float64
	urgency     int
	from, until time.Duration // zero until: to the end
}

// gateCount is what became of the requests of an account, or of all with one urgency.
type gateCount struct {
	Asked, InTime, Late, Refused int
	// Returned are callers that came back as asked, RefusedTwice those of them that were refused again.
	Returned, RefusedTwice int
	// Unpromised are refusals whose time is too late for the caller.
	Unpromised int
}

func (c *gateCount) inTime() float64 { return float64(c.InTime) / float64(max(c.Asked, 1)) }

// gateSim runs gates in virtual time. Callers come to a random node. A caller that is refused comes back as asked if it can
// still be served then.
type gateSim struct {
	gates               []*Gate
	objective, deadline time.Duration
	wait, run           time.Duration
	spread              float64 // of the logarithms of runs
	returns             bool
	early               bool                 // refused callers come back after a third of their time, if they are asked to wait longer
	onArrival           func(account string) // of new requests; may be nil
	starts              map[string][]sageclock.Instant
	counts              map[string]*gateCount
	byUrgency           map[int]*gateCount

	rng    *rand.Rand
	now    sageclock.Instant
	events simEvents
	due    []sageclock.Instant // by gate
	seq    int
}

type simEvent struct {
	at  sageclock.Instant
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *simEvents) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop implements [heap.Interface].
func (h *simEvents) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

func newGateSim(nodes int, seed uint64) *gateSim {
	s := &gateSim{
		objective: 300 * time.Millisecond,
		deadline:  4 * time.Second,
		run:       60 * time.Millisecond,
		starts:    map[string][]sageclock.Instant{},
		counts:    map[string]*gateCount{},
		byUrgency: map[int]*gateCount{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       gateStart,
		due:       make([]sageclock.Instant, nodes),
	}
	for range nodes {
		s.gates = append(s.gates, &Gate{Phase: s.rng.Float64()})
	}
	return s
}

func (s *gateSim) at(t sageclock.Instant, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: t, seq: s.seq, do: do})
}

// setShares gives all nodes the same shares.
func (s *gateSim) setShares(sh Shares) {
	sh.Wait, sh.Run = s.wait.Seconds(), s.run.Seconds()
	for i, g := range s.gates {
		g.SetShares(s.now, sh)
		s.advance(i)
	}
}

func (s *gateSim) advance(i int) {
	decided, next := s.gates[i].Advance(s.now)
	for _, e := range decided {
		s.record(e)
	}
	if next > 0 && next != s.due[i] {
		s.due[i] = next
		s.at(next, func() {
			if s.due[i] == next { // not replaced
				s.due[i] = 0
				s.advance(i)
			}
		})
	}
}

func (s *gateSim) count(e *Entry) []*gateCount {
	a, u := e.Arrival.Account, e.Arrival.Urgency
	if s.counts[a] == nil {
		s.counts[a] = &gateCount{}
	}
	if s.byUrgency[u] == nil {
		s.byUrgency[u] = &gateCount{}
	}
	return []*gateCount{s.counts[a], s.byUrgency[u]}
}

func (s *gateSim) record(e *Entry) {
	if e.State == Running {
		s.starts[e.Arrival.Account] = append(s.starts[e.Arrival.Account], s.now)
	}
	end := s.now.Add(s.wait + s.drawRun())
	back := e.RetryAt <= e.Arrival.Deadline.Add(-s.wait-s.run)
	for _, c := range s.count(e) {
		switch {
		case e.State == Running && end <= e.Arrival.Objective:
			c.InTime++
		case e.State == Running:
			c.Late++
		case e.Arrival.Returned:
			c.RefusedTwice++
			c.Refused++
		default:
			c.Refused++
			if !back {
				c.Unpromised++
			} else if s.returns {
				c.Returned++
			}
		}
	}
	if e.State != Refused || !s.returns || e.Arrival.Returned {
		return
	}
	a := e.Arrival
	a.Returned = true
	if third := s.now + (a.Deadline-s.now)/3; s.early && third < e.RetryAt {
		s.at(third, func() { s.offer(a) })
	} else if back {
		s.at(e.RetryAt, func() { s.offer(a) })
	}
}

func (s *gateSim) offer(a Arrival) {
	i := s.rng.IntN(len(s.gates))
	e := s.gates[i].Offer(s.now, a)
	if !a.Returned {
		if s.onArrival != nil {
			s.onArrival(a.Account)
		}
		for _, c := range s.count(e) {
			c.Asked++
		}
	}
	if e.State != Waiting {
		s.record(e)
	}
	s.advance(i)
}

// drawRun returns the time of a run.
func (s *gateSim) drawRun() time.Duration {
	if s.spread == 0 {
		return s.run
	}
	return time.Duration(float64(s.run) * math.Exp(s.spread*s.rng.NormFloat64()-s.spread*s.spread/2))
}

// play plays loads with random arrivals, after which everything that waits is decided on.
func (s *gateSim) play(d time.Duration, loads ...gateLoad) {
	begin := s.now
	for _, l := range loads {
		end := l.until
		if end == 0 {
			end = d
		}
		var arrive func()
		arrive = func() {
			s.offer(Arrival{Account: l.account, Urgency: l.urgency, Objective: s.now.Add(s.objective), Deadline: s.now.Add(s.deadline)})
			if next := s.now.Add(s.gap(l.perSecond)); next < begin.Add(end) {
				s.at(next, arrive)
			}
		}
		s.at(begin.Add(l.from+s.gap(l.perSecond)), arrive)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *gateSim) gap(perSecond float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
}
