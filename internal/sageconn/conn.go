package sageconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSealed is the error of a write on a sealed connection.
var errSealed = errors.New("connection sealed: request cancelled before its first byte was written")

// ErrStale is the error of the first write of a request on a connection that the other end has closed.
var ErrStale = errors.New("connection closed by the other end: nothing was written")

// Conn is a connection that records whether any byte of a request may have been written to it.
//
// When an attempt is cancelled, a goroutine of the transport may be about to write the request. The
// mutex serializes that write with the check whether anything was written. If nothing was, the check
// seals the connection, so that a request that is reported as not executed can't be written
// afterwards.
//
// The connection is checked just before the first byte of a request is written. If the other end has closed it or has
// sent anything unasked, nothing is written.
type Conn struct {
	net.Conn
	// bootID identifies the start of the upstream that the connection leads to; empty if the dialer
	// doesn't know it.
	bootID string

	mu     sync.Mutex
	use    uint64
	wrote  bool
	sealed bool
	// filter is that of the current use, passed what it has passed on and isn't read yet, readErr the error after it.
	filter  filter
	passed  []byte
	readErr error
	// received is when bytes of the other end last arrived in the current use, ended is set once a read has failed that wasn't stopped
	// at this end.
	received time.Time
	ended    bool
	// identified is the number of uses whose answer was identified as that of their request.
	identified uint64
	// keepIdle is the time after which the connection is closed when it is idle; 0 leaves it open.
	keepIdle time.Duration
	// resting is set before the first and between two requests, until the next one is written.
	resting bool
	// finished is set once the response of the current use is complete.
	finished bool
	// closing is set once the transport has closed the connection while it was in use.
	closing bool
	// stale is set if the connection was read, closed or broken while it rested, or if bytes came after a response.
	stale     bool
	idleTimer *time.Timer

	// writing is held during a write to the connection below; writeErr is the error of the first one that failed.
	writing  sync.Mutex
	writeErr error
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if c.closing {
		c.mu.Unlock()
		return 0, errClosing
	}
	if !c.wrote && c.resting && (c.stale || peerActed(c.Conn)) {
		c.sealed = true
		c.mu.Unlock()
		return 0, ErrStale
	}
	c.wrote, c.resting = true, false
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endOfData returns the error of a read that found the end of the data. The kernel reports a reset once: if a write got it, a read finds
// the end of the data as after a close in order. So the result of a write that is in progress is awaited.
func (c *Conn) endOfData() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("end of data after a failed write: %w", c.writeErr)
	}
	return io.EOF
}

// Read implements [net.Conn]. It skips responses to earlier requests.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if n, err := c.readPassed(b); n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		n, err := c.Conn.Read(b)
		if err == io.EOF {
			err = c.endOfData()
		}
		c.pass(b[:n], err)
	}
}

// pass filters what was read.
func (c *Conn) pass(b []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting && (len(b) > 0 || err != nil) {
		c.stale = true
	}
	if len(b) > 0 {
		c.received = time.Now()
	}
	c.ended = c.ended || err != nil && !c.closing && !c.sealed
	before := c.filter.identified
	passed, ferr := c.filter.add(b)
	if c.passed, c.readErr = passed, err; ferr != nil {
		c.readErr = ferr
	}
	if c.filter.identified && !before {
		c.identified++
	}
	c.stale = c.stale || c.filter.extra
	if err != nil && ferr == nil {
		c.passed = append(c.passed, c.filter.passAll()...)
	}
}

// readPassed reads what has passed the filter, and then the error of the last read.
func (c *Conn) readPassed(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.passed) == 0 {
		err := c.readErr
		c.readErr = nil
		return 0, err
	}
	n := copy(b, c.passed)
	c.passed = c.passed[n:]
	return n, nil
}

// BootIdentifier is implemented by connections that know which start of an upstream they lead to.
type BootIdentifier interface {
	BootID() string
}

// Wrap returns c as a connection that a [Tracker] can observe.
func Wrap(c net.Conn) *Conn {
	setLinger(c, lingerReset)
	w := &Conn{Conn: c}
	if b, ok := c.(BootIdentifier); ok {
		w.bootID = b.BootID()
	}
	return w
}

// WrapIdle is like [Wrap] for a connection that is closed when it is idle for keepIdle.
func WrapIdle(c net.Conn, keepIdle time.Duration) *Conn {
	w := Wrap(c)
	w.keepIdle = keepIdle
	w.endUse(0)
	return w
}

// beginUse begins the use of the connection by another request and returns the number of the use. If owner isn't nil, it says
// whose the responses are, those to other requests before the request's own are skipped, and the connection is sealed if an
// earlier response wasn't identified. If checks is set, heads are checked.
func (c *Conn) beginUse(owner func(*http.Response) Owner, checks bool) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use++
	c.filter = filter{owner: owner, checks: checks, skips: c.use > 1}
	if owner != nil && c.identified+1 < c.use {
		_ = c.closeInOrder() // the earlier response is complete
	}
	c.wrote, c.finished, c.received = false, false, time.Time{}
	c.resting = true
	c.stopIdleTimer()
	return c.use
}

// endUse begins the rest of the connection after a request, unless a later request uses it already.
func (c *Conn) endUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return
	}
	c.resting = true
	c.startIdleTimer()
}

// setKeepIdle sets keepIdle unless a later request uses the connection already.
func (c *Conn) setKeepIdle(use uint64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return
	}
	c.keepIdle = d
	if c.resting {
		c.startIdleTimer()
	}
}

// startIdleTimer closes the connection after keepIdle unless it is used again. The caller must hold mu.
func (c *Conn) startIdleTimer() {
	c.stopIdleTimer()
	if c.keepIdle <= 0 {
		return
	}
	use := c.use
	c.idleTimer = time.AfterFunc(c.keepIdle, func() { c.closeIdle(use) })
}

// stopIdleTimer stops the timer of startIdleTimer. The caller must hold mu.
func (c *Conn) stopIdleTimer() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
}

// closeIdle closes the connection if it still rests after the given use.
func (c *Conn) closeIdle(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use && c.resting {
		_ = c.closeInOrder() // nothing is lost on an idle connection
	}
}

// sentIn reports whether anything may have been written in the given use.
func (c *Conn) sentIn(use uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use != use || c.wrote
}

// seal reports whether nothing was written in the given use. If so, it forbids all later writes.
func (c *Conn) seal(use uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use || c.wrote {
		return false
	}
	_ = c.closeInOrder() // nothing is lost
	return true
}

// receivedIn returns when bytes of the other end last arrived in the given use, and whether it hasn't ended the connection.
func (c *Conn) receivedIn(use uint64) (at time.Time, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return time.Time{}, false
	}
	return c.received, !c.ended
}

// skippedIn returns the number of responses to other requests that were skipped in the given use.
func (c *Conn) skippedIn(use uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return 0
	}
	return c.filter.skipped
}

// resetUse resets the connection unless a later request uses it already.
func (c *Conn) resetUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use {
		_ = c.reset()
	}
}

// discard resets the connection unless a later request has been written to it. A later request that hasn't been written is
// sealed.
func (c *Conn) discard(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use && c.wrote {
		return
	}
	_ = c.reset()
}
