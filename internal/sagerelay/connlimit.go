package sagerelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the limit on connections to one upstream.
const (
	// connHeadroom is the fraction of the connections that an upstream accepts that the nodes use together.
	connHeadroom = 0.9
	// minConns is the lowest limit of a node.
	minConns = 2
	// maxConnShares is the greatest limit of a node as a multiple of its even part.
	maxConnShares = 4
	// connGrowInterval is the time between two increases of a limit that is used in full.
	connGrowInterval = 2 * time.Second
	// connResetMemory is the time after a reset in which the limit isn't increased.
	connResetMemory = 10 * time.Second
	// connLimitMemory is the time for which the learnt limit of an unused upstream is kept.
	connLimitMemory = time.Minute
	// connResetInterval is the time in which several resets lower the limit once.
	connResetInterval = 500 * time.Millisecond
	// connResetWindow is the time after its opening in which a reset of a connection counts as a rejection.
	connResetWindow = 50 * time.Millisecond
	// maxConnWaitShare is the fraction of the route's objective for which a request waits for a connection.
	maxConnWaitShare = 0.25
)

// errNoConn is the error of a request that found all connections of an upstream in use.
var errNoConn = errors.New("all connections to the upstream are in use")

// connLimits limits the connections in use to each upstream. The zero value is ready to use. It is safe for concurrent use.
//
// A transport opens a connection only if none is idle, so the limit holds for the open connections as well.
type connLimits struct {
	mu        sync.Mutex
	addresses map[string]*connLimit
}

// connLimit is the limit of one upstream.
type connLimit struct {
	inUse int
	// part is the node's even part of the connections; 0 if it isn't known.
	part int
	// learnt replaces part unless it is 0.
	learnt int
	// changed is the time of the last change of learnt, reset that of the last reset.
	changed, reset sageclock.Instant
	// waiters are the requests that wait for a connection, in their order.
	waiters []chan struct{}
}

// connPart returns a node's even part of the connections that an upstream accepts; 0 if it isn't known.
func connPart(maxConns, nodes int) int {
	if maxConns <= 0 || nodes <= 0 {
		return 0
	}
	return max(minConns, int(connHeadroom*float64(maxConns))/nodes)
}

// acquire waits until a connection to an address may be used. The caller must call release afterwards. part is the node's
// even part of the connections; 0 means that it isn't known.
func (l *connLimits) acquire(ctx context.Context, address string, part int, wait time.Duration) error {
	turn := l.enter(sageclock.Now(), address, part)
	if turn == nil {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if l.withdraw(address, turn) {
		return errNoConn
	}
	return nil
}

// enter takes a connection of an address and returns nil, or returns a channel that is closed once the request has one.
func (l *connLimits) enter(now sageclock.Instant, address string, part int) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.address(address)
	c.part = part
	if c.full() {
		c.grow(now)
	}
	if !c.full() && len(c.waiters) == 0 {
		c.inUse++
		return nil
	}
	turn := make(chan struct{})
	c.waiters = append(c.waiters, turn)
	c.admit()
	return turn
}

// withdraw removes a waiting request; false if it has got a connection.
func (l *connLimits) withdraw(address string, turn <-chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.address(address)
	i := slices.IndexFunc(c.waiters, func(w chan struct{}) bool { return w == turn })
	if i < 0 {
		return false
	}
	c.waiters = slices.Delete(c.waiters, i, i+1)
	return true
}

// release returns a connection.
func (l *connLimits) release(now sageclock.Instant, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.address(address)
	c.inUse--
	c.admit()
	if c.inUse == 0 && (c.learnt == 0 || now.Sub(max(c.changed, c.reset)) > connLimitMemory) {
		delete(l.addresses, address)
	}
}

// recordReset records that an upstream reset a connection that had just been opened. It returns the limit and whether that is
// lower than before.
func (l *connLimits) recordReset(now sageclock.Instant, address string) (limit int, lowered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.address(address)
	last := c.reset
	c.reset = now
	if last != 0 && now.Sub(last) < connResetInterval {
		return c.limit(), false
	}
	n := max(c.inUse, minConns)
	if before := c.limit(); before > 0 {
		n = min(n, before)
	}
	next := max(minConns, n/2)
	if next == c.limit() {
		return next, false
	}
	c.learnt, c.changed = next, now
	return next, true
}

// address returns the entry of an address. The caller must hold mu.
func (l *connLimits) address(address string) *connLimit {
	c := l.addresses[address]
	if c == nil {
		if l.addresses == nil {
			l.addresses = make(map[string]*connLimit)
		}
		c = new(connLimit)
		l.addresses[address] = c
	}
	return c
}

// limit returns the number of connections that may be in use; 0 means no limit.
func (c *connLimit) limit() int {
	if c.learnt > 0 {
		return c.learnt
	}
	return c.part
}

// full reports whether no further connection may be used.
func (c *connLimit) full() bool { return c.limit() > 0 && c.inUse >= c.limit() }

// grow raises the limit by one if the upstream has reset no connection lately. Nodes that need more than their even part
// use what others leave.
func (c *connLimit) grow(now sageclock.Instant) {
	switch {
	case c.reset != 0 && now.Sub(c.reset) < connResetMemory:
		return
	case c.changed != 0 && now.Sub(c.changed) < connGrowInterval:
		return
	case c.part > 0 && c.limit() >= maxConnShares*c.part:
		return
	}
	c.learnt, c.changed = c.limit()+1, now
}

// admit gives free connections to waiting requests.
func (c *connLimit) admit() {
	for len(c.waiters) > 0 && !c.full() {
		c.inUse++
		close(c.waiters[0])
		c.waiters = c.waiters[1:]
	}
}
