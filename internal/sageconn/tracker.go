package sageconn

import (
	"net/http/httptrace"
	"sync"
)

// Tracker remembers the connection of one round trip.
type Tracker struct {
	// BootID is the boot of the upstream that the round trip is for; empty means any.
	BootID string

	mu  sync.Mutex
	c   *Conn
	use uint64
}

// Got is the GotConn hook of the round trip.
func (t *Tracker) GotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	use := c.begin()
	t.mu.Lock()
	t.c, t.use = c, use
	t.mu.Unlock()
	// The upstream may have restarted since the request got its unit of the allotment, and the
	// connection lead to the cold successor. Sealed, it carries nothing, and the request counts as
	// not run.
	if t.BootID != "" && c.boot != "" && c.boot != t.BootID {
		c.seal(use)
	}
}

func (t *Tracker) conn() (*Conn, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.c, t.use
}

// Connected reports whether the round trip got a connection.
func (t *Tracker) Connected() bool {
	c, _ := t.conn()
	return c != nil
}

// Seal reports whether nothing was sent, for good.
func (t *Tracker) Seal() bool {
	c, use := t.conn()
	return c == nil || c.seal(use)
}

// Close ends the connection, so that nothing that is still on its way can be taken for the answer
// of a later request.
func (t *Tracker) Close() {
	if c, use := t.conn(); c != nil {
		c.closeUse(use)
	}
}
