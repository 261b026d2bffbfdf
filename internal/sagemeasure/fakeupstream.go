package sagemeasure

import (
	"container/list"
	"time"
)

// prefillTokensPerSecond is the number of uncached prompt tokens that a fake engine reads in a second,
// tokenGap the time between two tokens of an answer.
const (
	prefillTokensPerSecond = 8000
	tokenInterval          = 20 * time.Millisecond
)

// engine is a fake model engine in virtual time: slots run side by side, the rest waits by priority,
// and a prompt prefix that is in its cache costs nothing.
type engine struct {
	name       string
	dataCentre int
	slots      int
	up         bool
	leaving    bool
	generation uint64
	completed  int
	running    int
	waiting    [3][]*job
	cache      *prefixCache
	// ended is called with false for a job that the engine lost.
	onEnd      func(j *job, ok bool)
	clock      *clock
	jobs       map[*job]bool
	lastReport loadReport
}

// job is one request at an engine.
type job struct {
	*request
	router  *router
	engine  *engine
	tried   []int
	started time.Duration
	cached  int
}

func (e *engine) inFlight() int { return len(e.jobs) }

// An engine that has just started bears coldStart requests at once, and one more for each rampWork
// that it has completed.
const (
	initialCapacity    = 4
	completionsPerUnit = 2
)

func (e *engine) capacity() int { return capacityAfter(e.completed) }

func capacityAfter(completed int) int {
	return min(engineSlots, initialCapacity+completed/completionsPerUnit)
}

func (e *engine) submit(j *job) {
	e.jobs[j] = true
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.startWaiting()
}

func (e *engine) startWaiting() {
	for p := range e.waiting {
		for len(e.waiting[p]) > 0 && e.running < e.slots {
			j := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.start(j)
		}
	}
}

func (e *engine) start(j *job) {
	e.running++
	j.started = e.clock.now
	j.cached = e.cache.cached(j.request)
	prefill := time.Duration(j.prompt()-j.cached) * time.Second / prefillTokensPerSecond
	e.clock.after(prefill, func() {
		if e.jobs[j] {
			e.cache.store(j.request, j.history+j.fresh)
		}
	})
	e.clock.after(prefill+time.Duration(j.output)*tokenInterval, func() { e.finish(j) })
}

func (e *engine) finish(j *job) {
	if !e.jobs[j] {
		return // lost with the process that ran it
	}
	delete(e.jobs, j)
	e.running--
	e.completed++
	e.cache.store(j.request, j.history+j.fresh+j.output)
	e.onEnd(j, true)
	e.startWaiting()
}

// crash loses the cache and all jobs.
func (e *engine) crash() {
	var lost []*job
	for _, j := range e.clock.sortJobs(e.jobs) {
		delete(e.jobs, j)
		lost = append(lost, j)
	}
	e.up, e.running, e.completed = false, 0, 0
	e.waiting = [3][]*job{}
	e.generation++
	e.cache.clear()
	for _, j := range lost {
		e.onEnd(j, false)
	}
}

// prefixCache is a cache of prompt prefixes that forgets what was used longest ago. A chat's own part
// is worth something only on top of its context.
type prefixCache struct {
	capacity int
	used     int
	recent   *list.List
	entries  map[uint64]*list.Element
}

type prefix struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), entries: make(map[uint64]*list.Element)}
}

// cached returns how many prompt tokens of r the cache holds. It doesn't count as a use.
func (c *prefixCache) cached(r *request) int {
	n := 0
	if r.context != 0 {
		if c.entries[r.context] == nil {
			return 0
		}
		n = r.contextTokens
	}
	if e := c.entries[r.chat]; e != nil {
		n += min(e.Value.(*prefix).tokens, r.history)
	}
	return n
}

func (c *prefixCache) store(r *request, chatTokens int) {
	c.put(r.chat, chatTokens)
	if r.context != 0 {
		c.put(r.context, r.contextTokens) // last, so that it outlives the chats on top of it
	}
	for c.used > c.capacity {
		e := c.recent.Front()
		p := c.recent.Remove(e).(*prefix)
		c.used -= p.tokens
		delete(c.entries, p.key)
	}
}

func (c *prefixCache) put(key uint64, tokens int) {
	e := c.entries[key]
	if e == nil {
		c.entries[key] = c.recent.PushBack(&prefix{key: key, tokens: tokens})
		c.used += tokens
		return
	}
	c.used += tokens - e.Value.(*prefix).tokens
	e.Value.(*prefix).tokens = tokens
	c.recent.MoveToBack(e)
}

func (c *prefixCache) clear() {
	c.used = 0
	c.recent.Init()
	clear(c.entries)
}
