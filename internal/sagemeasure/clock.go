package sagemeasure

import (
	"container/heap"
	"sort"
	"time"
)

// epoch is the instant at which virtual time starts.
var epoch = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

// clock is virtual time: it jumps from one event to the next.
type clock struct {
	now    time.Duration
	events events
	serial int
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// instant returns the virtual time as the decision packages take it.
func (c *clock) instant() time.Time { return epoch.Add(c.now) }

// after runs do when d has passed. Events of the same instant run in the order they were made.
func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + max(d, 0), serial: c.serial, run: do})
}

// every runs do at each multiple of d after the first one.
func (c *clock) every(first, d time.Duration, do func()) {
	c.after(first, func() {
		do()
		c.every(d, d, do)
	})
}

// runUntil runs all events before end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// order returns jobs by the time and number of their request: a map's own order would differ
// between runs of one seed.
func (*clock) sortJobs(jobs map[*job]bool) []*job {
	sorted := make([]*job, 0, len(jobs))
	for j := range jobs {
		sorted = append(sorted, j)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].number < sorted[b].number })
	return sorted
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1].run = nil
	*e = old[:len(old)-1]
	return x
}
