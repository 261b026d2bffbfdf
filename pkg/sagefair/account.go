package sagefair

import (
	"container/heap"
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// account is the state of one client account with requests or a tag ahead of virtual time.
type account struct {
	name    string
	weight  float64
	tag     float64 // start tag of its next request, in seconds of slot time by weight
	queues  [sagewire.NumPriorities]queue
	pos     [sagewire.NumPriorities]int // index in the class heaps, while its queue is not empty
	waiting int
	running int
	idle    time.Time // when its last request ended
}

// queue is a first-in first-out queue of items; canceled ones stay until they come first.
type queue struct {
	items []*Item
	head  int
	live  int
}

func (q *queue) push(it *Item) {
	q.items = append(q.items, it)
	q.live++
}

// front returns the first waiting item, dropping canceled ones before it.
func (q *queue) front() *Item {
	for q.head < len(q.items) && q.items[q.head].State != Waiting {
		q.drop()
	}
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

// drop removes the first item and returns memory once half of the slice is used up.
func (q *queue) drop() {
	q.items[q.head] = nil
	q.head++
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// class is the heap of the accounts that have requests of one priority waiting, by start tag.
type class struct {
	priority sagewire.Priority
	accounts []*account
}

func (c *class) Len() int { return len(c.accounts) }
func (c *class) Less(i, j int) bool {
	a, b := c.accounts[i], c.accounts[j]
	return a.tag < b.tag || a.tag == b.tag && a.name < b.name
}
func (c *class) Swap(i, j int) {
	c.accounts[i], c.accounts[j] = c.accounts[j], c.accounts[i]
	c.accounts[i].pos[c.priority], c.accounts[j].pos[c.priority] = i, j
}

// Push implements [heap.Interface].
func (c *class) Push(x any) {
	a := x.(*account)
	a.pos[c.priority] = len(c.accounts)
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

// fix restores the order of every class after the account's tag has changed.
func (s *Scheduler) fix(a *account) {
	for p := range s.classes {
		if a.queues[p].live > 0 {
			heap.Fix(&s.classes[p], a.pos[p])
		}
	}
}
