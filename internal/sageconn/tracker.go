package sageconn

import (
	"net/http/httptrace"
	"sync"
)

// Tracker observes the connection of one round trip.
type Tracker struct {
	// BootID identifies the start of the upstream that the request is for; empty means any.
	BootID string

	mu      sync.Mutex
	current *Conn
	use     uint64
}

// GotConn is the httptrace hook of the round trip.
func (t *Tracker) GotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	use := c.beginUse()
	t.mu.Lock()
	t.current, t.use = c, use
	t.mu.Unlock()
	// The upstream may have restarted since the request got its unit of the allotment, and the
	// connection may lead to its cold successor. Nothing can be written to a sealed connection, so the
	// request counts as not executed.
	if t.BootID != "" && c.bootID != "" && c.bootID != t.BootID {
		c.seal(use)
	}
}

func (t *Tracker) conn() (*Conn, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.use
}

// Connected reports whether the round trip got a connection.
func (t *Tracker) Connected() bool {
	c, _ := t.conn()
	return c != nil
}

// Seal reports whether nothing was sent. If so, nothing will be sent later either.
func (t *Tracker) Seal() bool {
	c, use := t.conn()
	return c == nil || c.seal(use)
}

// Close closes the connection, so that a late response can't be taken for the response to a later
// request.
func (t *Tracker) Close() {
	if c, use := t.conn(); c != nil {
		c.closeUse(use)
	}
}
