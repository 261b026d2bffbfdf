package sagestandin

import "sagestand.example/sagestand/pkg/sagewire"

// maxWaiting is the maximum number of requests that wait for a slot of an engine.
const maxWaiting = 64

// waitList holds the requests that wait for a slot, by priority and then by arrival.
type waitList struct {
	queues [sagewire.NumPriorities][]chan bool
	n      int
}

// add returns the channel that receives true when the request gets a slot and false when it is rejected. It
// returns nil if too many requests wait.
func (l *waitList) add(p sagewire.Priority) chan bool {
	if l.n >= maxWaiting {
		return nil
	}
	granted := make(chan bool, 1)
	l.queues[p] = append(l.queues[p], granted)
	l.n++
	return granted
}

// wakeNext gives a slot to the longest waiting request of the highest priority.
func (l *waitList) wakeNext() {
	for p := range l.queues {
		if len(l.queues[p]) > 0 {
			l.queues[p][0] <- true
			l.queues[p] = l.queues[p][1:]
			l.n--
			return
		}
	}
}

func (l *waitList) rejectAll() {
	for p := range l.queues {
		for _, granted := range l.queues[p] {
			granted <- false
		}
		l.queues[p] = nil
	}
	l.n = 0
}
