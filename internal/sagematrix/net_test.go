package sagematrix

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var (
	errRouterKilled = errors.New("router is killed")
	errNetworkDown  = errors.New("network is down")
)

// gate controls all input and output of a router: it blocks while the router is frozen and fails after the
// router is killed.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	killed bool
	conns  map[string][]net.Conn
}

// await blocks while the router is frozen. It returns errRouterKilled after the router is killed.
func (g *gate) await() error {
	for {
		g.mu.Lock()
		frozen, killed := g.frozen, g.killed
		g.mu.Unlock()
		if killed {
			return errRouterKilled
		}
		if frozen == nil {
			return nil
		}
		<-frozen
	}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.thaw()
	g.closeConns("caller")
	g.closeConns("upstream")
}

// closeConns closes all connections of a kind, "caller" or "upstream".
func (g *gate) closeConns(kind string) {
	g.mu.Lock()
	conns := g.conns[kind]
	delete(g.conns, kind)
	g.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// gatedConn is the router's end of a connection.
type gatedConn struct {
	net.Conn
	gate *gate
}

// wrap registers a connection of the given kind and returns it with reads and writes controlled by the gate.
func (g *gate) wrap(kind string, c net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = make(map[string][]net.Conn)
	}
	g.conns[kind] = append(g.conns[kind], c)
	return &gatedConn{Conn: c, gate: g}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gateErr := c.gate.await(); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.await(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	// wrap, if set, wraps the accepted end of each connection.
	wrap func(net.Conn) net.Conn
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	a, b := net.Pipe()
	if p.wrap != nil {
		b = p.wrap(b)
	}
	select {
	case p.conns <- b:
		return a, nil
	case <-p.done:
		return nil, errNetworkDown
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
