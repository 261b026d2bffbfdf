package sagefair

import (
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// fill starts waiting items while slots are free. It returns them and those that were refused
// because their deadline has passed.
func (s *Scheduler) fill(now time.Time) []*Item {
	var out []*Item
	for s.waiting > 0 && s.running < s.slots {
		p, ok := s.next()
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
		s.count(p)
		out = append(out, it)
	}
	s.sweep(now)
	return out
}

// next returns the class whose first account goes next.
func (s *Scheduler) next() (sagewire.Priority, bool) {
	urgent, normal, bulk := s.classes[sagewire.Urgent].first(), s.classes[sagewire.Normal].first(), s.classes[sagewire.Bulk].first()
	switch {
	case bulk != nil && s.passed[sagewire.Bulk] >= BulkEvery-1:
		return sagewire.Bulk, true
	case normal != nil && s.passed[sagewire.Normal] >= NormalEvery-1:
		return sagewire.Normal, true
	case urgent != nil && (normal == nil || urgent.tag <= normal.tag+s.slack()):
		return sagewire.Urgent, true
	case normal != nil:
		return sagewire.Normal, true
	case bulk != nil && s.free(sagewire.Bulk):
		return sagewire.Bulk, true
	}
	return 0, false
}

// count notes a start of class p for the classes that were passed over.
func (s *Scheduler) count(p sagewire.Priority) {
	for c := range s.passed {
		if s.byClass[c] > 0 && sagewire.Priority(c) != p {
			s.passed[c]++
		} else {
			s.passed[c] = 0
		}
	}
}

// free reports whether a slot is free for a class. Bulk leaves every eighth slot to the others:
// a long reconciliation would hold it for as long as it runs, and urgent requests can't wait
// for that.
func (s *Scheduler) free(p sagewire.Priority) bool {
	if p == sagewire.Bulk {
		return s.running < s.slots-s.slots/8
	}
	return s.running < s.slots
}

func (s *Scheduler) slack() float64 {
	if s.UrgentSlack > 0 {
		return s.UrgentSlack.Seconds()
	}
	return DefaultUrgentSlack.Seconds()
}

// learnWeight is the weight of one request in the moving mean of the service time.
const learnWeight = 0.02

func (s *Scheduler) learn(d time.Duration) {
	if s.service == 0 {
		s.service = d
		return
	}
	s.service += time.Duration(learnWeight * float64(d-s.service))
}

func (s *Scheduler) serviceTime() time.Duration {
	if s.service > 0 {
		return s.service
	}
	return DefaultServiceTime
}
