package sagerouter

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// nodeCountInterval is the time after which the number of nodes is determined again.
const nodeCountInterval = time.Second

// nodeCount caches the number of nodes, which is expensive to determine for each request. The zero value is ready to use.
type nodeCount struct {
	mu    sync.Mutex
	at    sageclock.Instant
	nodes int
}

// get returns the number of nodes, which count determines at most once in nodeCountInterval.
func (c *nodeCount) get(now sageclock.Instant, count func() int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == 0 || now.Sub(c.at) >= nodeCountInterval {
		c.at, c.nodes = now, count()
	}
	return c.nodes
}

// reset makes the next get determine the number again.
func (c *nodeCount) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = 0
}

// knownNodeCount returns the number of known nodes.
func (n *Node) knownNodeCount() int {
	return n.nodeCount.get(sageclock.Now(), n.countNodes)
}

// countNodes counts the discovered nodes and those in the store.
func (n *Node) countNodes() int {
	names := make(map[string]bool)
	for _, name := range n.mesh.KnownNodes() {
		names[name] = true
	}
	if p := n.registeredNames.Load(); p != nil {
		for _, name := range *p {
			names[name] = true
		}
	}
	return len(names)
}

// fleetSize returns the number of nodes of the fleet. It is 0 until the list of nodes has been read from the store: nodes
// that have discovered only each other, on one side of a partition, would divide the limits of the fleet among too few.
func (n *Node) fleetSize() int {
	if n.registeredNames.Load() == nil {
		return 0
	}
	return n.knownNodeCount()
}
