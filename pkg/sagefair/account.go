package sagefair

import (
	"container/heap"
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// account is the state of a client account that has requests or a start tag ahead of virtual time.
type account struct {
	name      string
	weight    float64
	startTag  float64 // of its next request, in seconds of slot time divided by weight
	queues    [sagewire.NumPriorities]queue
	heapIndex [sagewire.NumPriorities]int // index in the heap of each class in which it has waiting requests
	waiting   int
	running   int
	idleSince time.Time // when its last request ended
}

// queue is a first-in first-out queue of items. Canceled items are removed when they reach the front.
type queue struct {
	items []*Item
	head  int
	live  int
}

func (q *queue) push(it *Item) {
	q.items = append(q.items, it)
	q.live++
}

// front returns the first waiting item and removes the canceled ones before it.
func (q *queue) front() *Item {
	for q.head < len(q.items) && q.items[q.head].State != Waiting {
		q.popFront()
	}
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

// popFront removes the first item. It compacts the slice once half of it is unused.
func (q *queue) popFront() {
	q.items[q.head] = nil
	q.head++
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// class is a heap, ordered by start tag, of the accounts that have waiting requests of one priority.
type class struct {
	priority sagewire.Priority
	accounts []*account
}

func (c *class) Len() int { return len(c.accounts) }
func (c *class) Less(i, j int) bool {
	a, b := c.accounts[i], c.accounts[j]
	return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name
}
func (c *class) Swap(i, j int) {
	c.accounts[i], c.accounts[j] = c.accounts[j], c.accounts[i]
	c.accounts[i].heapIndex[c.priority], c.accounts[j].heapIndex[c.priority] = i, j
}

// Push implements [heap.Interface].
func (c *class) Push(x any) {
	a := x.(*account)
	a.heapIndex[c.priority] = len(c.accounts)
	c.accounts = append(c.accounts, a)
}

// Pop implements [heap.Interface].
func (c *class) Pop() any {
	n := len(c.accounts) - 1
	a := c.accounts[n]
	c.accounts[n] = nil
	c.accounts = c.accounts[:n]
	return a
}

func (c *class) first() *account {
	if len(c.accounts) == 0 {
		return nil
	}
	return c.accounts[0]
}

// fixHeaps restores the heap order of every class after the account's start tag has changed.
func (s *Scheduler) fixHeaps(a *account) {
	for p := range s.classes {
		if a.queues[p].live > 0 {
			heap.Fix(&s.classes[p], a.heapIndex[p])
		}
	}
}
