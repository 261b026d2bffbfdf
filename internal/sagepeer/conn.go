package sagepeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// countingConn adds the bytes read and written on a connection to a counter, which moveTo can replace.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	counter *atomic.Int64
	total   int64
}

func newCountingConn(c net.Conn, to *atomic.Int64) *countingConn {
	return &countingConn{Conn: c, counter: to}
}

func (c *countingConn) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += int64(n)
	c.counter.Add(int64(n))
}

// moveTo moves the bytes counted so far to another counter, which also counts those to come.
func (c *countingConn) moveTo(to *atomic.Int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter == to {
		return
	}
	c.counter.Add(-c.total)
	to.Add(c.total)
	c.counter = to
}

// NetConn returns the connection whose bytes are counted.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements [net.Conn].
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// countingListener counts the bytes read and written on the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements [net.Listener].
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountingConn(c, l.bytes), nil
}

// connKey is the context key for the connection of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// countAsRequests returns a handler that counts all bytes of its calls' connections in n. Clients of such a service
// must use a separate [Client], so that their connections carry nothing else.
func countAsRequests(next http.Handler, n *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*countingConn); ok {
			c.moveTo(n)
		}
		next.ServeHTTP(w, r)
	})
}
