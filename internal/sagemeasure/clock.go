package sagemeasure

import (
	"container/heap"
	"sort"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

// clock is a virtual clock that advances from one event to the next.
type clock struct {
	now    time.Duration
	events eventHeap
	serial int
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// instant returns the virtual time as a [time.Time], as the decision packages need it.
func (c *clock) instant() time.Time { return epoch.Add(c.now) }

// after schedules do to run after d. Events of the same time run in the order in which they were
// scheduled.
func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + max(d, 0), serial: c.serial, run: do})
}

// every runs do after first and then every d.
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

// sortJobs returns the jobs in the order of their request numbers. The iteration order of the map would
// make runs with the same seed differ.
func (*clock) sortJobs(jobs map[*job]bool) []*job {
	sorted := make([]*job, 0, len(jobs))
	for j := range jobs {
		sorted = append(sorted, j)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].number < sorted[b].number })
	return sorted
}

// eventHeap is a heap of events by time, then by order of scheduling.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1].run = nil
	*e = old[:len(old)-1]
	return x
}
