package sagematrix

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var (
	errDead = errors.New("the router is dead")
	errCut  = errors.New("the network is cut")
)

// gate is what every effect of a router passes. A frozen router's effects wait, a dead one's fail.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
	conns  map[string][]net.Conn
}

func (g *gate) pass() error {
	for {
		g.mu.Lock()
		frozen, dead := g.frozen, g.dead
		g.mu.Unlock()
		if dead {
			return errDead
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
	g.dead = true
	g.mu.Unlock()
	g.thaw()
	g.cut("caller")
	g.cut("upstream")
}

// cut closes the connections of one kind.
func (g *gate) cut(kind string) {
	g.mu.Lock()
	conns := g.conns[kind]
	delete(g.conns, kind)
	g.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// gated is a router's end of a connection.
type gated struct {
	net.Conn
	g *gate
}

func (g *gate) wrap(kind string, c net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = make(map[string][]net.Conn)
	}
	g.conns[kind] = append(g.conns[kind], c)
	return &gated{Conn: c, g: g}
}

func (c *gated) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if perr := c.g.pass(); perr != nil {
		return 0, perr
	}
	return n, err
}

func (c *gated) Write(b []byte) (int, error) {
	if err := c.g.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pipes is a listener whose connections are pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	// wrap, when set, wraps the accepting end.
	wrap func(net.Conn) net.Conn
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	a, b := net.Pipe()
	if p.wrap != nil {
		b = p.wrap(b)
	}
	select {
	case p.conns <- b:
		return a, nil
	case <-p.done:
		return nil, errCut
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
