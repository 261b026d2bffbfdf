package sageflight

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How long statements of others count.
const (
	// stale is after which time a node's counts are left out, several of its heartbeats.
	stale = 1500 * time.Millisecond
	// sumStale is the same for sums, which come each 200 ms: with two lost, the nodes' own counts,
	// which come each second in a fleet of a hundred, are the better ones.
	sumStale = 700 * time.Millisecond
)

// Counts are requests in flight by upstream.
type Counts map[string]int

// add adds the requests in o.
func (c Counts) add(o Counts) {
	for u, n := range o {
		c[u] += n
	}
}

type told struct {
	at     sageclock.Instant
	group  string
	counts Counts
}

// Counter counts requests in flight. The zero value is ready; it is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	own      Counts
	lastTold Counts // own counts as last told
	nodes    map[string]told
	groups   map[string]told // sums, by group
	total    told            // sum of all nodes, with what this one last told
}

// Start counts a request and returns what ends it; calling that again does nothing.
func (c *Counter) Start(upstream string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own == nil {
		c.own = make(Counts)
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

// Set replaces this node's counts, for things that aren't counted by starting and ending.
func (c *Counter) Set(counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = counts
}

// Tell returns a copy of this node's counts, to be told to the others.
func (c *Counter) Report() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(Counts, len(c.own))
	out.add(c.own)
	c.lastTold = out
	return out
}

// Learn takes in the counts of another node, which belongs to a group.
func (c *Counter) UpdateNode(now sageclock.Instant, node, group string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == nil {
		c.nodes = make(map[string]told)
	}
	c.nodes[node] = told{at: now, group: group, counts: counts}
}

// LearnGroup takes in the sum of a group's nodes, made by one of them. While it is fresh it counts
// instead of what these nodes told themselves.
func (c *Counter) UpdateGroup(now sageclock.Instant, group string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups == nil {
		c.groups = make(map[string]told)
	}
	c.groups[group] = told{at: now, group: group, counts: counts}
}

// LearnTotal takes in the sum of all nodes, made by one that had this node's counts as last told.
// While it is fresh it counts instead of everything else.
func (c *Counter) UpdateTotal(now sageclock.Instant, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = told{at: now, counts: counts}
}

// Summed reports whether sums that are fresh stand in for what each node told itself.
func (c *Counter) HasFreshSums(now sageclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total.fresh(now, sumStale) {
		return true
	}
	for _, g := range c.groups {
		if g.fresh(now, sumStale) {
			return true
		}
	}
	return false
}

func (t told) fresh(now sageclock.Instant, within time.Duration) bool {
	return t.counts != nil && now.Sub(t.at) < within
}

// Sum returns the requests in flight at each upstream from all nodes.
func (c *Counter) Sum(now sageclock.Instant) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all(now)
}

// Others is [Counter.Sum] without this node's own counts.
func (c *Counter) SumOthers(now sageclock.Instant) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.all(now)
	for u, n := range c.own {
		if out[u] -= n; out[u] <= 0 {
			delete(out, u)
		}
	}
	return out
}

func (c *Counter) all(now sageclock.Instant) Counts {
	if c.total.fresh(now, sumStale) {
		return c.corrected()
	}
	return c.sum(now, "")
}

// SumOf returns the requests in flight from this node and the others of a group, as they told
// themselves.
func (c *Counter) SumGroup(now sageclock.Instant, group string) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum(now, group)
}

// corrected returns the total with this node's own counts as they are now.
func (c *Counter) corrected() Counts {
	out := make(Counts, len(c.total.counts))
	out.add(c.total.counts)
	out.add(c.own)
	for u, n := range c.lastTold {
		out[u] -= min(n, out[u])
	}
	return out
}

// sum adds up this node's counts and those of the others, or only of those in one group.
func (c *Counter) sum(now sageclock.Instant, only string) Counts {
	out := make(Counts, len(c.own))
	out.add(c.own)
	for node, t := range c.nodes {
		switch {
		case !t.fresh(now, stale):
			delete(c.nodes, node)
		case only != "" && t.group != only, only == "" && c.groups[t.group].fresh(now, sumStale):
		default:
			out.add(t.counts)
		}
	}
	for _, g := range c.groups {
		if only == "" && g.fresh(now, sumStale) {
			out.add(g.counts)
		}
	}
	return out
}
