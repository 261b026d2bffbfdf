package sagepeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// countedConn adds what passes a connection to a counter, which may be exchanged for another one.
type countedConn struct {
	net.Conn

	mu    sync.Mutex
	to    *atomic.Int64
	total int64
}

func newCountedConn(c net.Conn, to *atomic.Int64) *countedConn { return &countedConn{Conn: c, to: to} }

func (c *countedConn) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += int64(n)
	c.to.Add(int64(n))
}

// countTo moves everything counted so far, and all that comes, to another counter.
func (c *countedConn) countTo(to *atomic.Int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.to == to {
		return
	}
	c.to.Add(-c.total)
	to.Add(c.total)
	c.to = to
}

// Read implements [net.Conn].
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements [net.Conn].
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// countedListener counts what passes its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements [net.Listener].
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountedConn(c, l.bytes), nil
}

// connKey finds the connection of a request in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// countedApart passes calls on and counts their connections to n. Clients of such a service use a
// [Client] of their own, so that its connections carry nothing else.
func countedApart(next http.Handler, n *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
			c.countTo(n)
		}
		next.ServeHTTP(w, r)
	})
}
