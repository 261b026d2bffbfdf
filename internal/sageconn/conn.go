package sageconn

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is the error of a write on a sealed connection.
var errSealed = errors.New("connection sealed: request cancelled before its first byte was written")

// Conn is a connection that records whether any byte of a request may have been written to it.
//
// When an attempt is cancelled, a goroutine of the transport may be about to write the request. The
// mutex serializes that write with the check whether anything was written. If nothing was, the check
// seals the connection, so that a request that is reported as not executed can't be written
// afterwards.
type Conn struct {
	net.Conn
	// bootID identifies the start of the upstream that the connection leads to; empty if the dialer
	// doesn't know it.
	bootID string

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

// BootIdentifier is implemented by connections that know which start of an upstream they lead to.
type BootIdentifier interface {
	BootID() string
}

// Wrap returns c as a connection that a [Tracker] can observe.
func Wrap(c net.Conn) *Conn {
	w := &Conn{Conn: c}
	if b, ok := c.(BootIdentifier); ok {
		w.bootID = b.BootID()
	}
	return w
}

// beginUse begins the use of the connection by another request and returns the number of the use.
func (c *Conn) beginUse() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use++
	c.wrote = false
	return c.use
}

// seal reports whether nothing was written in the given use. If so, it forbids all later writes.
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

// closeUse closes the connection unless a later request uses it already.
func (c *Conn) closeUse(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use {
		_ = c.Conn.Close()
	}
}
