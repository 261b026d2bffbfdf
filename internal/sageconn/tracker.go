package sageconn

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Tracker observes the connection of one round trip.
type Tracker struct {
	// BootID identifies the start of the upstream that the request is for; empty means any.
	BootID string
	// AtMostOnce forbids the transport to send the request on a second connection if it may have been sent on a first.
	AtMostOnce bool
	// Owner says whose a response is; nil means that responses aren't examined. With it, responses to other requests are
	// skipped if they precede the response to this request on a connection that was used before, and no connection is used
	// on which a response was not identified: a copy of that one would look like the response to this request.
	Owner func(*http.Response) Owner

	// head is set if the request's method is HEAD.
	head bool

	mu      sync.Mutex
	current *Conn
	use     uint64
	// sent is set if the request may have been sent on a connection before the current one.
	sent bool
}

// GotConn is the httptrace hook of the round trip.
func (t *Tracker) GotConn(info httptrace.GotConnInfo) {
	c := connOf(info.Conn)
	if c == nil {
		return
	}
	sent := t.Sent()
	t.Abandon() // an earlier connection on which the transport failed

	// Below TLS, the connection reads encrypted records.
	_, plain := info.Conn.(*Conn)
	use := c.beginUse(t.owner(), plain)
	t.mu.Lock()
	t.current, t.use, t.sent = c, use, sent
	t.mu.Unlock()
	if t.AtMostOnce && sent {
		c.seal(use)
	}
	// The upstream may have restarted since the request got its unit of the allotment, and the
	// connection may lead to its cold successor. Nothing can be written to a sealed connection, so the
	// request counts as not executed.
	if t.BootID != "" && c.bootID != "" && c.bootID != t.BootID {
		c.seal(use)
	}
}

// owner returns Owner for the method of the request: the response to HEAD has no body, whatever its head states.
func (t *Tracker) owner() func(*http.Response) Owner {
	if t.Owner == nil || !t.head {
		return t.Owner
	}
	return func(res *http.Response) Owner {
		o := t.Owner(res)
		if o == OwnerSelf {
			res.Body = http.NoBody
		}
		return o
	}
}

// connOf returns the connection of this package below c, nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		if w, ok := c.(*Conn); ok {
			return w
		}
		w, ok := c.(interface{ NetConn() net.Conn }) // of TLS
		if !ok {
			return nil
		}
		c = w.NetConn()
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

// Sent reports whether any byte of the request may have been sent so far.
func (t *Tracker) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent || t.current != nil && t.current.sentIn(t.use)
}

// Seal reports whether nothing was sent. If so, nothing will be sent later either.
func (t *Tracker) Seal() bool {
	c, use := t.conn()
	unsent := c == nil || c.seal(use)
	t.mu.Lock()
	defer t.mu.Unlock()
	return unsent && !t.sent
}

// PutIdleConn is the httptrace hook of the round trip.
func (t *Tracker) PutIdleConn(err error) {
	if c, use := t.conn(); c != nil && err == nil {
		c.endUse(use)
	}
}

// SetKeepIdle sets the time after which the connection is closed when it is idle.
func (t *Tracker) SetKeepIdle(d time.Duration) {
	if c, use := t.conn(); c != nil {
		c.setKeepIdle(use, d)
	}
}

// Skipped returns the number of responses to other requests that were skipped on the connection.
func (t *Tracker) Skipped() int {
	c, use := t.conn()
	if c == nil {
		return 0
	}
	return c.skippedIn(use)
}

// Received returns when bytes of the other end last arrived, and whether it hasn't ended the connection. The time is zero if none have.
func (t *Tracker) Received() (at time.Time, open bool) {
	c, use := t.conn()
	if c == nil {
		return time.Time{}, false
	}
	return c.receivedIn(use)
}

// Reused reports whether the connection was used before.
func (t *Tracker) Reused() bool {
	c, use := t.conn()
	return c != nil && use > 1
}

// Undelivered reports whether bytes of the request are known not to have arrived at the other end.
func (t *Tracker) Undelivered() bool {
	c, use := t.conn()
	return c != nil && c.undelivered(use)
}

// Finish records that the response is complete, or that the upstream has rejected the request: the connection is closed in
// order, or used again.
func (t *Tracker) Finish() {
	if c, use := t.conn(); c != nil {
		c.finishUse(use)
	}
}

// Abandon resets the connection unless the response is complete, so that bytes of the request that haven't arrived never do.
// It must be called when the round trip is over; [Tracker.RoundTrip] does so.
func (t *Tracker) Abandon() {
	if c, use := t.conn(); c != nil {
		c.abandonUse(use)
	}
}

// Reset resets the connection, so that a late response can't be taken for the response to a later request, and bytes of the
// request that haven't arrived never do.
func (t *Tracker) Reset() {
	if c, use := t.conn(); c != nil {
		c.resetUse(use)
	}
}

// Discard resets the connection since its answer wasn't identified: what follows may belong to any of its requests. A
// transport hands out a connection again before an answer without a body is examined, so that a later request may have the
// connection already. If nothing of it was written, that request is sealed.
func (t *Tracker) Discard() {
	if c, use := t.conn(); c != nil {
		c.discard(use)
	}
}
