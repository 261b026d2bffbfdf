// Package sageflight counts requests in flight by upstream over all nodes.
//
// A [Counter] holds this node's own counts and the last ones that each other node told. What a node
// told long ago is left out: a dead node's requests are gone, and one that is cut off sends little.
//
// # Usage
//
//	c := &sageflight.Counter{}
//	done := c.Start("engine1")
//	defer done()
//	c.Learn(now, "vm2", map[string]int{"engine1": 3})
//	c.Sum(now)["engine1"] // 4
package sageflight

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// stale is after which time a node's counts are left out, several of its heartbeats.
const stale = 1500 * time.Millisecond

type told struct {
	at     sageclock.Instant
	counts map[string]int
}

// Counter counts requests in flight. The zero value is ready; it is safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	own   map[string]int
	nodes map[string]told
}

// Start counts a request and returns what ends it; calling that again does nothing.
func (c *Counter) Start(upstream string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own == nil {
		c.own = make(map[string]int)
	}
	c.own[upstream]++
	var once sync.Once
	return func() { once.Do(func() { c.end(upstream) }) }
}

func (c *Counter) end(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own[upstream]--
	if c.own[upstream] <= 0 {
		delete(c.own, upstream)
	}
}

// Own returns a copy of this node's counts.
func (c *Counter) Own() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.own))
	for u, n := range c.own {
		out[u] = n
	}
	return out
}

// Learn takes in another node's counts.
func (c *Counter) Learn(now sageclock.Instant, node string, counts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == nil {
		c.nodes = make(map[string]told)
	}
	c.nodes[node] = told{at: now, counts: counts}
}

// Sum returns the requests in flight at each upstream from all nodes.
func (c *Counter) Sum(now sageclock.Instant) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.own))
	for u, n := range c.own {
		out[u] = n
	}
	for node, t := range c.nodes {
		if now.Sub(t.at) >= stale {
			delete(c.nodes, node)
			continue
		}
		for u, n := range t.counts {
			out[u] += n
		}
	}
	return out
}
