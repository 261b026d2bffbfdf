package sagemeasure

import (
	"container/list"
	"time"
)

// Speed of a simulated engine: uncached prompt tokens read per second, and the time between two output
// tokens.
const (
	prefillTokensPerSecond = 8000
	tokenInterval          = 20 * time.Millisecond
)

// engine simulates a model engine in virtual time. It runs as many requests as it has slots; the others
// wait by priority. A prompt prefix that is in the cache costs no time.
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
	// onEnd is called when a job ends; ok is false for a job that the engine lost.
	onEnd      func(j *job, ok bool)
	clock      *clock
	jobs       map[*job]bool
	lastReport loadReport
}

// job is one request at an engine.
type job struct {
	*request
	router       *router
	engine       *engine
	tried        []int
	started      time.Duration
	cachedTokens int
}

func (e *engine) inFlight() int { return len(e.jobs) }

// An engine that has just started has the capacity initialCapacity, which grows by one for every
// completionsPerUnit completed requests.
const (
	initialCapacity    = 4
	completionsPerUnit = 2
)

func (e *engine) capacity() int { return capacityAfter(e.completed) }

// capacityAfter returns the capacity of an engine that has completed so many requests.
func capacityAfter(completed int) int {
	return min(engineSlots, initialCapacity+completed/completionsPerUnit)
}

// submit queues a job and starts it if a slot is free.
func (e *engine) submit(j *job) {
	e.jobs[j] = true
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.startWaiting()
}

// startWaiting starts waiting jobs in the free slots, the most urgent first.
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
	j.cachedTokens = e.cache.cached(j.request)
	prefill := time.Duration(j.promptTokens()-j.cachedTokens) * time.Second / prefillTokensPerSecond
	e.clock.after(prefill, func() {
		if e.jobs[j] {
			e.cache.store(j.request, j.historyTokens+j.newTokens)
		}
	})
	e.clock.after(prefill+time.Duration(j.outputTokens)*tokenInterval, func() { e.finish(j) })
}

func (e *engine) finish(j *job) {
	if !e.jobs[j] {
		return // lost when the engine crashed
	}
	delete(e.jobs, j)
	e.running--
	e.completed++
	e.cache.store(j.request, j.historyTokens+j.newTokens+j.outputTokens)
	e.onEnd(j, true)
	e.startWaiting()
}

// crash stops the engine, which loses its cache and all jobs.
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

// prefixCache is a cache of prompt prefixes that evicts the least recently used entry. The entry of a
// chat is usable only together with that of its context.
type prefixCache struct {
	capacity int
	used     int
	recent   *list.List
	entries  map[uint64]*list.Element
}

// prefix is an entry of a prefixCache.
type prefix struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), entries: make(map[uint64]*list.Element)}
}

// cached returns the number of prompt tokens of r that the cache holds. It doesn't count as a use.
func (c *prefixCache) cached(r *request) int {
	n := 0
	if r.context != 0 {
		if c.entries[r.context] == nil {
			return 0
		}
		n = r.contextTokens
	}
	if e := c.entries[r.chat]; e != nil {
		n += min(e.Value.(*prefix).tokens, r.historyTokens)
	}
	return n
}

// store adds the prompt of r, with chatTokens tokens of its chat, and evicts entries beyond the
// capacity.
func (c *prefixCache) store(r *request, chatTokens int) {
	c.put(r.chat, chatTokens)
	if r.context != 0 {
		c.put(r.context, r.contextTokens) // last, so that it is evicted after the chats that need it
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
