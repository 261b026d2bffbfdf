package sageshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// coldSenders is how many nodes may send to one cold upstream: each may send one request at any
// moment, so the sum in a second is this number beside the rate. Five is the least slack that the
// platform's bounds grant beyond the rate.
const coldSenders = 5

// ColdLimiter lets requests through to cold upstreams. It is not safe for concurrent use.
//
// It guards against a cold upstream that falls over under the traffic of many nodes, each of which
// keeps to the bound by itself. Only a few nodes send to one cold upstream, chosen by rendezvous
// hashing, each at an equal part of the rate with bursts of one.
type ColdLimiter struct {
	// Self is this node's name.
	Self string

	next map[string]sageclock.Instant
}

// Allow reports whether one request may go to a cold upstream that bears perSecond requests a
// second from all nodes together, and counts it. Nodes are the names of all known nodes.
func (c *ColdLimiter) Allow(now sageclock.Instant, nodes []string, upstream string, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	senders := min(coldSenders, max(1, len(nodes)))
	if !c.sender(nodes, upstream, senders) || now < c.next[upstream] {
		return false
	}
	if c.next == nil {
		c.next = make(map[string]sageclock.Instant)
	}
	c.next[upstream] = now.Add(time.Duration(float64(senders) / perSecond * float64(time.Second)))
	return true
}

// sender reports whether this node is among the first n in the upstream's order of nodes.
func (c *ColdLimiter) sender(nodes []string, upstream string, n int) bool {
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

// Keep forgets all upstreams but those named.
func (c *ColdLimiter) Retain(upstreams []string) {
	for u := range c.next {
		if !slices.Contains(upstreams, u) {
			delete(c.next, u)
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
