package sageflight

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Maximum ages of received counts.
const (
	// reportTimeout is the maximum age of a node's counts, several heartbeat intervals.
	reportTimeout = 1500 * time.Millisecond
	// sumTimeout is the maximum age of sums, which arrive every 200 ms. If two in a row are lost, the nodes' own
	// reports, which arrive every second in a fleet of a hundred nodes, are more accurate.
	sumTimeout = 700 * time.Millisecond
)

// Counts are numbers of requests in flight by upstream.
type Counts map[string]int

// add adds the counts of o to c.
func (c Counts) add(o Counts) {
	for u, n := range o {
		c[u] += n
	}
}

// report holds received counts: those of a node, the sum of a group, or the total.
type report struct {
	receivedAt sageclock.Instant
	group      string
	counts     Counts
}

// Counter counts requests in flight. The zero value is ready to use. It is safe for concurrent use.
type Counter struct {
	mu           sync.Mutex
	own          Counts
	lastReported Counts // own counts as last reported
	nodes        map[string]report
	groups       map[string]report // sums, by group
	total        report            // sum of all nodes, including lastReported
}

// Start counts a request until the returned function is called. Further calls of it have no effect.
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

// Set replaces this node's counts, for uses other than requests that start and end.
func (c *Counter) Set(counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = counts
}

// Report returns a copy of this node's counts to send to the other nodes.
func (c *Counter) Report() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(Counts, len(c.own))
	out.add(c.own)
	c.lastReported = out
	return out
}

// UpdateNode replaces the counts of another node, which belongs to the given group.
func (c *Counter) UpdateNode(now sageclock.Instant, node, group string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == nil {
		c.nodes = make(map[string]report)
	}
	c.nodes[node] = report{receivedAt: now, group: group, counts: counts}
}

// UpdateGroup replaces the sum of a group's nodes, made by its aggregator. While fresh, it is used instead of the
// nodes' own reports.
func (c *Counter) UpdateGroup(now sageclock.Instant, group string, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups == nil {
		c.groups = make(map[string]report)
	}
	c.groups[group] = report{receivedAt: now, group: group, counts: counts}
}

// UpdateTotal replaces the sum of all nodes, made by an aggregator that has this node's last report. While fresh,
// it is used instead of all other sums and reports.
func (c *Counter) UpdateTotal(now sageclock.Instant, counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = report{receivedAt: now, counts: counts}
}

// HasFreshSums reports whether fresh sums are used instead of the nodes' own reports.
func (c *Counter) HasFreshSums(now sageclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total.isFresh(now, sumTimeout) {
		return true
	}
	for _, g := range c.groups {
		if g.isFresh(now, sumTimeout) {
			return true
		}
	}
	return false
}

func (r report) isFresh(now sageclock.Instant, maxAge time.Duration) bool {
	return r.counts != nil && now.Sub(r.receivedAt) < maxAge
}

// Own returns this node's requests in flight at an upstream.
func (c *Counter) Own(upstream string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own[upstream]
}

// Sum returns the requests in flight at each upstream from all nodes.
func (c *Counter) Sum(now sageclock.Instant) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allNodes(now)
}

// SumOthers is like [Counter.Sum] without this node's own counts.
func (c *Counter) SumOthers(now sageclock.Instant) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.allNodes(now)
	for u, n := range c.own {
		if out[u] -= n; out[u] <= 0 {
			delete(out, u)
		}
	}
	return out
}

func (c *Counter) allNodes(now sageclock.Instant) Counts {
	if c.total.isFresh(now, sumTimeout) {
		return c.correctedTotal()
	}
	return c.sum(now, "")
}

// SumGroup returns the requests in flight from this node and the other nodes of a group, by their own reports.
func (c *Counter) SumGroup(now sageclock.Instant, group string) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum(now, group)
}

// correctedTotal returns the total with this node's last report replaced by its present counts.
func (c *Counter) correctedTotal() Counts {
	out := make(Counts, len(c.total.counts))
	out.add(c.total.counts)
	out.add(c.own)
	for u, n := range c.lastReported {
		out[u] -= min(n, out[u])
	}
	return out
}

// sum adds up the counts of this node and of the others, or only of those in onlyGroup if it isn't empty.
func (c *Counter) sum(now sageclock.Instant, onlyGroup string) Counts {
	out := make(Counts, len(c.own))
	out.add(c.own)
	for node, r := range c.nodes {
		switch {
		case !r.isFresh(now, reportTimeout):
			delete(c.nodes, node)
		case onlyGroup != "" && r.group != onlyGroup, onlyGroup == "" && c.groups[r.group].isFresh(now, sumTimeout):
		default:
			out.add(r.counts)
		}
	}
	for _, g := range c.groups {
		if onlyGroup == "" && g.isFresh(now, sumTimeout) {
			out.add(g.counts)
		}
	}
	return out
}
