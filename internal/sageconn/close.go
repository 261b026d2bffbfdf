package sageconn

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// errClosing is the error of a write on a connection that the transport has closed.
var errClosing = errors.New("connection closed")

// Values of SO_LINGER.
const (
	// lingerReset: a close discards what hasn't been acknowledged and resets the connection. It holds from the start, so that
	// the kernel does the same when the process ends.
	lingerReset = 0
	// lingerDefault: a close sends what hasn't been acknowledged, then a FIN.
	lingerDefault = -1
)

// inUse reports whether a request may have been written whose response isn't complete. The caller must hold mu.
func (c *Conn) inUse() bool { return c.wrote && !c.resting && !c.finished }

// Close implements [net.Conn]. Between requests it closes the connection in order. The transport also calls it for a
// connection whose response is complete; so, while a request is in use of the connection, its [Tracker] decides how it ends.
// Until then all reads and writes fail.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopIdleTimer()
	switch {
	case !c.inUse():
		return c.closeInOrder()
	case c.use == 0:
		return c.reset() // no Tracker observes the connection
	}
	c.closing = true
	return c.Conn.SetDeadline(time.Unix(1, 0))
}

// closeInOrder closes the connection; what was written is still sent. The caller must hold mu.
func (c *Conn) closeInOrder() error {
	c.sealed = true
	setLinger(c.Conn, lingerDefault)
	return c.Conn.Close()
}

// reset closes the connection; what was written and hasn't arrived is discarded. The caller must hold mu.
func (c *Conn) reset() error {
	c.sealed = true
	return c.Conn.Close()
}

// finishUse marks the response of the given use as complete.
func (c *Conn) finishUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		return
	}
	c.finished = true
	if c.closing {
		_ = c.closeInOrder()
	}
}

// abandonUse resets the connection if the response of the given use isn't complete.
func (c *Conn) abandonUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use && c.inUse() {
		_ = c.reset()
	}
}

// undelivered reports whether bytes that were written in the given use haven't been acknowledged.
func (c *Conn) undelivered(use uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use == use && c.inUse() && unacknowledged(c.Conn) > 0
}

// setLinger sets SO_LINGER of the TCP connection below c. Others, such as pipes, hold nothing back.
func setLinger(c net.Conn, seconds int) {
	if t, ok := baseConn(c).(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(seconds) // fails only on a closed connection
	}
}
