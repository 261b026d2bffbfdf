package sageconn

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is what a write on a sealed connection returns.
var errSealed = errors.New("connection sealed: the request was given up before its first byte")

// Conn is a connection that knows whether a request may have left through it.
//
// It guards against calling a request "not run" that was sent after all: when an attempt is given
// up, the transport's own goroutine may be just about to write. The write and the question "was
// anything written?" exclude each other by mu, and a no seals the connection, so that the answer
// stays true.
type Conn struct {
	net.Conn
	// boot is the boot of the upstream that the connection leads to, if the dialer found out.
	boot string

	mu     sync.Mutex
	use    uint64
	wrote  bool
	sealed bool
}

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// BootIdentifier is a connection that knows which boot of an upstream it leads to.
type BootIdentifier interface {
	BootID() string
}

// Wrap returns c as a connection that a [Tracker] can follow.
func Wrap(c net.Conn) *Conn {
	w := &Conn{Conn: c}
	if b, ok := c.(BootIdentifier); ok {
		w.boot = b.BootID()
	}
	return w
}

// begin starts a use of the connection by one request and returns its number.
func (c *Conn) begin() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use++
	c.wrote = false
	return c.use
}

// seal reports whether nothing was written in the given use, and if so forbids every later write.
func (c *Conn) seal(use uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use || c.wrote {
		return false
	}
	c.sealed = true
	_ = c.Conn.Close()
	return true
}

// closeUse ends the connection unless a later request uses it by now.
func (c *Conn) closeUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use {
		_ = c.Conn.Close()
	}
}
