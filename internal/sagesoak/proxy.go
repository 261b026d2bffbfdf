package sagesoak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy handles connections and data.
type linkMode int

const (
	linkOpen    linkMode = iota
	linkSlow             // each read is delayed by slowDelay
	linkReset            // connections are reset
	linkStalled          // data is dropped in both directions, connections stay open
	linkOneWay           // requests are forwarded, responses are dropped
	numLinkModes
)

// slowDelay is the delay of each read while the link is slow, and of the close after the end of the data.
const slowDelay = 150 * time.Millisecond

// proxy is a TCP proxy in front of one upstream.
type proxy struct {
	target   string
	mu       sync.Mutex
	mode     linkMode
	conns    map[net.Conn]bool
	listener net.Listener
}

// listen starts the proxy and returns its address. The proxy runs until shutDown or the end of the process.
func (p *proxy) listen() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for proxy: %w", err)
	}
	p.conns, p.listener = make(map[net.Conn]bool), l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

// setMode changes the mode. linkReset also resets the open connections.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != linkReset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

// shutDown closes the listener and resets all connections, as if the upstream had exited.
func (p *proxy) shutDown() {
	_ = p.listener.Close()
	p.setMode(linkReset)
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Close sends a reset
	}
	_ = c.Close()
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil || p.currentMode() == linkReset {
		abort(in)
		return
	}
	p.mu.Lock()
	p.conns[in] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(out, in, linkStalled) })
	wg.Go(func() { p.forward(in, out, linkStalled, linkOneWay) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	p.mu.Unlock()
}

// forward copies data from src to dst. It drops the data while the mode is one of discardIn.
func (p *proxy) forward(dst, src net.Conn, discardIn ...linkMode) {
	defer abort(dst)
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		mode := p.currentMode()
		if mode == linkSlow {
			time.Sleep(slowDelay)
		}
		for _, s := range discardIn {
			if mode == s {
				n = 0
			}
		}
		if n > 0 {
			if _, werr := dst.Write(b[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction may still be open
			}
			time.Sleep(slowDelay)
			return
		}
		if err != nil {
			return
		}
	}
}
