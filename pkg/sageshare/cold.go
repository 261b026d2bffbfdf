package sageshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// maxColdSenders is the maximum number of nodes that send to one cold upstream. Each has a burst of
// one request, so in any second the upstream gets at most this number of requests beyond the rate.
// Five is the smallest such excess that the platform's limits allow.
const maxColdSenders = 5

// ColdLimiter limits the requests to cold upstreams. It is not safe for concurrent use.
//
// If each of many nodes kept to the limit on its own, their sum would overload a cold upstream.
// Therefore only a few nodes, chosen by rendezvous hashing, send to one cold upstream, each at an
// equal share of the rate with a burst of one, which a node that has just started has to wait for.
type ColdLimiter struct {
	// Self is the name of this node.
	Self string
	// Start is the time at which this node started.
	Start sageclock.Instant

	nextSend map[string]sageclock.Instant
}

// Allow reports whether a request may be sent to a cold upstream, and counts it. perSecond is the
// request rate that the upstream can take from all nodes together; 0 means no limit. nodes lists the
// names of all known nodes.
func (c *ColdLimiter) Allow(now sageclock.Instant, nodes []string, upstream string, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if !c.MayAllow(now, nodes, upstream, perSecond) {
		return false
	}
	if c.nextSend == nil {
		c.nextSend = make(map[string]sageclock.Instant)
	}
	c.nextSend[upstream] = now.Add(coldInterval(nodes, perSecond))
	return true
}

// MayAllow reports what Allow would, and counts nothing.
func (c *ColdLimiter) MayAllow(now sageclock.Instant, nodes []string, upstream string, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	next, ok := c.nextSend[upstream]
	if !ok {
		next = c.Start.Add(coldInterval(nodes, perSecond)) // this node may have sent just before it restarted
	}
	return now >= next && c.isSender(nodes, upstream, coldSenders(nodes))
}

// coldSenders returns the number of nodes that send to one cold upstream.
func coldSenders(nodes []string) int { return min(maxColdSenders, max(1, len(nodes))) }

// coldInterval returns the time between two requests of a node to one cold upstream.
func coldInterval(nodes []string, perSecond float64) time.Duration {
	return sageclock.DurationOf(float64(coldSenders(nodes))/perSecond, time.Second)
}

// isSender reports whether this node is among the first n nodes in the rendezvous order of the
// upstream.
func (c *ColdLimiter) isSender(nodes []string, upstream string, n int) bool {
	if len(nodes) <= n {
		return true
	}
	mine, before := score(c.Self, upstream), 0
	for _, o := range nodes {
		if o != c.Self && score(o, upstream) > mine {
			before++
		}
	}
	return before < n
}

// Retain drops the state of all upstreams that aren't listed.
func (c *ColdLimiter) Retain(upstreams []string) {
	for u := range c.nextSend {
		if !slices.Contains(upstreams, u) {
			delete(c.nextSend, u)
		}
	}
}

func score(node, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
