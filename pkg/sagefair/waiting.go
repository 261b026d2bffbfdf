package sagefair

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// lessUrgentEvery is how often at least a start is of an entry that isn't of the most urgent waiting ones.
const lessUrgentEvery = 4

// waitPart is the part of the time to its latest start for which a request may be made to wait for its objective. The rest is
// for runs that take longer than the mean.
const waitPart = 0.75

// heldIdle is the part of the time in which an account that is held to its share may have no request waiting.
const heldIdle = 0.01

// tryInterval is the time between requests that pass although they seem too late for their deadlines.
const tryInterval = 5 * time.Second

// latestStart returns the last instant to start a request that has to be complete by t.
func (g *Gate) latestStart(t sageclock.Instant) sageclock.Instant {
	return t - after(0, g.shares.Wait+g.shares.Run)
}

// canFinish reports whether a request that starts now is complete by its deadline. While there is capacity for all, the expected
// time isn't counted: it is a mean, and the request takes no one's place.
func (g *Gate) canFinish(now sageclock.Instant, a Arrival) bool {
	if g.shares.Short {
		return now <= g.latestStart(a.Deadline)
	}
	return now < a.Deadline
}

// tryAnyway reports whether a request may pass that seems too late for its deadline. A few do, since the expected time may be
// wrong and isn't measured while nothing is sent.
func (g *Gate) tryAnyway(now sageclock.Instant, a Arrival) bool {
	if now >= a.Deadline || g.triedAt > 0 && now.Sub(g.triedAt) < tryInterval {
		return false
	}
	g.triedAt = now
	return true
}

// canWait reports whether a place for a request is due in time.
func (g *Gate) canWait(now sageclock.Instant, b *bucket, a Arrival) bool {
	if b.rate <= 0 || len(b.waiting) >= maxWaitingOfAccount || g.waiting >= maxWaiting {
		return false
	}
	ahead := b.countAhead(a.Urgency)
	if ahead >= g.longestQueue(b.account) {
		return false
	}
	if g.inTime(now, a) && b.placeAt(ahead) <= now.Add(longestWait(g.latestStart(a.Objective).Sub(now))) {
		return true
	}
	return b.sparePlaceAt(len(b.waiting)+1) <= g.latestStart(a.Deadline)
}

// longestQueue returns how many requests of an account may wait. An account that is held to its share needs only as many as
// keep its share in use: with random arrivals, a queue of k requests is empty in about excess^-k of the time.
func (g *Gate) longestQueue(account string) int {
	if !g.isHeld(account) {
		return maxWaitingOfAccount
	}
	return int(math.Ceil(math.Log(heldIdle) / -math.Log(g.excess[account].mean)))
}

// longestWait returns how long a request may wait that has to start within d.
func longestWait(d time.Duration) time.Duration { return time.Duration(waitPart * float64(d)) }

// inTime reports whether a request that starts now is answered in its objective.
func (g *Gate) inTime(now sageclock.Instant, a Arrival) bool {
	return now <= g.latestStart(a.Objective)
}

// countAhead returns the number of waiting entries that are at least as urgent.
func (b *bucket) countAhead(urgency int) int {
	n := 0
	for _, e := range b.waiting {
		if e.Arrival.Urgency <= urgency {
			n++
		}
	}
	return n
}

// placeAt returns when an entry is started that has a number of others ahead of it. If less urgent ones wait, some of the
// starts in between are theirs.
func (b *bucket) placeAt(ahead int) sageclock.Instant {
	starts := ahead + 1
	if others := len(b.waiting) - ahead; others > 0 {
		starts += min(others, starts/(lessUrgentEvery-1))
	}
	at := b.readyAt(float64(starts))
	if b.group != nil {
		ofOthers := b.group.waiting - len(b.waiting)
		at = max(at, b.group.readyAt(float64(ofOthers+starts)))
	}
	return at
}

// sparePlaceAt returns when n entries have been started that come after all others, if the account goes on to ask as it does.
// Accounts of a group have no such place: what the group goes on to ask for isn't known.
func (b *bucket) sparePlaceAt(n int) sageclock.Instant {
	spare := b.rate - b.asked
	if spare <= 0 || b.group != nil {
		return never
	}
	return after(b.at, (float64(n)-b.credit)/spare)
}

func (g *Gate) enqueue(b *bucket, e *Entry) {
	e.State, e.bucket, e.late = Waiting, b, !g.inTime(b.at, e.Arrival)
	b.waiting = append(b.waiting, e)
	g.waiting++
	if b.group != nil {
		b.group.waiting++
	}
	if len(b.waiting) == 1 {
		heap.Push(&g.due, b)
	}
	g.schedule(b)
}

// remove removes a waiting entry.
func (g *Gate) remove(b *bucket, e *Entry, to State) {
	i := slices.Index(b.waiting, e)
	b.waiting = slices.Delete(b.waiting, i, i+1)
	g.waiting--
	if b.group != nil {
		b.group.waiting--
	}
	e.State, e.bucket = to, nil
}

// schedule sets when a bucket has to be looked at again.
func (g *Gate) schedule(b *bucket) {
	if b.index < 0 {
		return
	}
	if len(b.waiting) == 0 {
		heap.Remove(&g.due, b.index)
		b.waiting, b.skipped = nil, 0
		return
	}
	b.oldest = b.waiting[0].Arrived
	b.next = never
	if b.rate > 0 {
		b.next = b.takeAt()
	}
	for _, e := range b.waiting {
		b.next = min(b.next, g.latestStart(e.Arrival.Deadline)+1)
		if !e.late {
			b.next = min(b.next, g.latestStart(e.Arrival.Objective)+1)
		}
	}
	heap.Fix(&g.due, b.index)
}

// advanceBucket starts and refuses waiting entries of a bucket.
func (g *Gate) advanceBucket(now sageclock.Instant, b *bucket, decided []*Entry) []*Entry {
	b.settle(now)
	decided = g.refuseOverdue(now, b, decided)
	for len(b.waiting) > 0 && b.take() {
		e := g.pick(now, b)
		g.remove(b, e, Running)
		decided = append(decided, e)
	}
	if !b.reviewed {
		b.reviewed = true
		decided = g.refuseBeyondDeadline(b, decided)
	}
	g.schedule(b)
	return decided
}

// refuseOverdue refuses the waiting entries that can't be complete by their deadlines, and those that miss their objectives
// while others need all places.
func (g *Gate) refuseOverdue(now sageclock.Instant, b *bucket, decided []*Entry) []*Entry {
	for _, e := range slices.Clone(b.waiting) {
		var reason sagewire.Reason
		switch {
		case now > g.latestStart(e.Arrival.Deadline):
			reason = sagewire.ReasonDeadline
		case !e.late && !g.inTime(now, e.Arrival):
			e.late = true
			if b.sparePlaceAt(len(b.waiting)) <= g.latestStart(e.Arrival.Deadline) {
				continue
			}
			reason = sagewire.ReasonAccountLimit
		default:
			continue
		}
		g.remove(b, e, Refused)
		g.refuse(now, b, e, reason)
		decided = append(decided, e)
	}
	return decided
}

// refuseBeyondDeadline refuses the waiting entries whose place is due too late at the current rate.
func (g *Gate) refuseBeyondDeadline(b *bucket, decided []*Entry) []*Entry {
	kept := 0
	for _, e := range slices.Clone(b.waiting) {
		if b.rate > 0 && b.readyAt(float64(kept+1)) <= g.latestStart(e.Arrival.Deadline) {
			kept++
			continue
		}
		g.remove(b, e, Refused)
		g.refuse(b.at, b, e, sagewire.ReasonAccountLimit)
		decided = append(decided, e)
	}
	return decided
}

// pick returns the waiting entry that is started next.
func (g *Gate) pick(now sageclock.Instant, b *bucket) *Entry {
	first := b.waiting[0]
	for _, e := range b.waiting[1:] {
		if g.precedes(now, e, first) {
			first = e
		}
	}
	other := g.pickOther(now, b, first)
	if other == nil {
		b.skipped = 0
		return first
	}
	if b.skipped++; b.skipped < lessUrgentEvery {
		return first
	}
	b.skipped = 0
	return other
}

// precedes reports whether entry x is started before y.
func (g *Gate) precedes(now sageclock.Instant, x, y *Entry) bool {
	a, b := x.Arrival, y.Arrival
	if p, q := g.inTime(now, a), g.inTime(now, b); p != q {
		return p
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return a.Deadline < b.Deadline
}

// pickOther returns the first entry to start among those that are less urgent than first and still in time; nil if there are
// none.
func (g *Gate) pickOther(now sageclock.Instant, b *bucket, first *Entry) *Entry {
	var other *Entry
	for _, e := range b.waiting {
		if e.Arrival.Urgency <= first.Arrival.Urgency || g.inTime(now, e.Arrival) != g.inTime(now, first.Arrival) {
			continue
		}
		if other == nil || e.Arrival.Deadline < other.Arrival.Deadline {
			other = e
		}
	}
	return other
}

// dueHeap orders buckets by when they have to be looked at.
type dueHeap []*bucket

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.next != b.next {
		return a.next < b.next
	}
	if a.oldest != b.oldest {
		return a.oldest < b.oldest
	}
	return a.account < b.account
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *dueHeap) Push(x any) {
	b := x.(*bucket)
	b.index = len(*h)
	*h = append(*h, b)
}

// Pop implements [heap.Interface].
func (h *dueHeap) Pop() any {
	n := len(*h) - 1
	b := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	b.index = -1
	return b
}
