package sagestandin

import "sagestand.example/sagestand/pkg/sagewire"

// maxWaiting bounds the requests that wait for a slot of an engine.
const maxWaiting = 64

// waitList holds the requests that wait for a slot, by priority and then by arrival.
type waitList struct {
	queues [sagewire.NumPriorities][]chan bool
	n      int
}

// add returns the channel on which the turn arrives, or nil when too many wait.
func (l *waitList) add(p sagewire.Priority) chan bool {
	if l.n >= maxWaiting {
		return nil
	}
	turn := make(chan bool, 1)
	l.queues[p] = append(l.queues[p], turn)
	l.n++
	return turn
}

// next gives the turn to the first waiting request of the best priority.
func (l *waitList) next() {
	for p := range l.queues {
		if len(l.queues[p]) > 0 {
			l.queues[p][0] <- true
			l.queues[p] = l.queues[p][1:]
			l.n--
			return
		}
	}
}

func (l *waitList) refuseAll() {
	for p := range l.queues {
		for _, turn := range l.queues[p] {
			turn <- false
		}
		l.queues[p] = nil
	}
	l.n = 0
}
