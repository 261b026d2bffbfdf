package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// startWaiting starts waiting items while slots are free. It returns them, and the items that it
// refused because their deadline has passed.
func (s *Scheduler) startWaiting(now time.Time) []*Item {
	var out []*Item
	for s.waiting > 0 && s.running < s.slots {
		p, ok := s.nextClass()
		if !ok {
			break
		}
		it := s.classes[p].first().queues[p].front()
		if !now.Before(it.Request.Deadline) {
			it.Reason = sagewire.ReasonDeadline
			s.dequeue(now, it, Refused)
			out = append(out, it)
			continue
		}
		s.dequeue(now, it, Running)
		s.start(now, it)
		s.recordStart(p)
		out = append(out, it)
	}
	s.evictIdleAccounts(now)
	return out
}

// nextClass returns the class of which a request is started next.
func (s *Scheduler) nextClass() (sagewire.Priority, bool) {
	urgent, normal, bulk := s.classes[sagewire.Urgent].first(), s.classes[sagewire.Normal].first(), s.classes[sagewire.Bulk].first()
	switch {
	case bulk != nil && s.skipped[sagewire.Bulk] >= BulkEvery-1:
		return sagewire.Bulk, true
	case normal != nil && s.skipped[sagewire.Normal] >= NormalEvery-1:
		return sagewire.Normal, true
	case urgent != nil && (normal == nil || urgent.startTag <= normal.startTag+s.slackSeconds()):
		return sagewire.Urgent, true
	case normal != nil:
		return sagewire.Normal, true
	case bulk != nil && s.hasFreeSlot(sagewire.Bulk):
		return sagewire.Bulk, true
	}
	return 0, false
}

// recordStart counts a start of class p for the waiting classes that were skipped.
func (s *Scheduler) recordStart(p sagewire.Priority) {
	for c := range s.skipped {
		if s.byClass[c] > 0 && sagewire.Priority(c) != p {
			s.skipped[c]++
		} else {
			s.skipped[c] = 0
		}
	}
}

// hasFreeSlot reports whether a slot is free for a class. Bulk requests leave every eighth slot free: a
// long bulk request would hold it for as long as it runs, and urgent requests can't wait for that.
func (s *Scheduler) hasFreeSlot(p sagewire.Priority) bool {
	if p == sagewire.Bulk {
		return s.running < s.slots-s.slots/8
	}
	return s.running < s.slots
}

func (s *Scheduler) slackSeconds() float64 {
	if s.UrgentSlack > 0 {
		return s.UrgentSlack.Seconds()
	}
	return DefaultUrgentSlack.Seconds()
}

// serviceTimeWeight is the weight of one request in the moving mean of the service time.
const serviceTimeWeight = 0.02

func (s *Scheduler) recordServiceTime(d time.Duration) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = d
		return
	}
	s.meanServiceTime += time.Duration(serviceTimeWeight * float64(d-s.meanServiceTime))
}

func (s *Scheduler) serviceTime() time.Duration {
	if s.meanServiceTime > 0 {
		return s.meanServiceTime
	}
	return DefaultServiceTime
}
