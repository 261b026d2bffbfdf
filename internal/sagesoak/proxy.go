package sagesoak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
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

// Modes for the connections of single nodes.
const (
	linkHeld      = numLinkModes + 1 + iota // data is held up in both directions, also on new connections
	linkHeldBack                            // the same for responses only
	linkRefuseNew                           // new connections are reset, open ones work
	linkHeldOut                             // data is held up on the way to the upstream only
	numSourceModes
)

// heldPollInterval is how often held up data is checked for the end of the hold.
const heldPollInterval = 10 * time.Millisecond

// slowDelay is the delay of each read while the link is slow, and of the close after the end of the data.
const slowDelay = 150 * time.Millisecond

// discardDelay is the delay of each read whose data is dropped, so that a sender can't take it for read at any rate.
const discardDelay = 10 * time.Millisecond

// proxy is a TCP proxy in front of one upstream.
type proxy struct {
	target string
	// closeDelay is how long the upstream's connection stays open after the other one has ended.
	closeDelay time.Duration

	mu       sync.Mutex
	mode     linkMode
	sources  map[string]linkMode // modes for the connections from some IP addresses
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

// targetAddr returns the address of the upstream. The proxy connects from the address of the node, so that the upstream
// can distinguish the nodes.
func (p *proxy) targetAddr() *net.TCPAddr {
	a, _ := netip.ParseAddrPort(p.target) // the address of a listener
	return net.TCPAddrFromAddrPort(a)
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

// setSourceMode sets the mode for the connections from an IP address; linkOpen removes it.
func (p *proxy) setSourceMode(ip string, mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sources == nil {
		p.sources = make(map[string]linkMode)
	}
	p.sources[ip] = mode
	if mode != linkReset {
		return
	}
	for c := range p.conns {
		if sourceOf(c) == ip {
			abort(c)
		}
	}
}

func sourceOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // always ip:port
	return host
}

// modeFor returns the mode for the connections from an IP address.
func (p *proxy) modeFor(ip string) linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.sources[ip]; m != linkOpen {
		return m
	}
	return p.mode
}

func (p *proxy) serve(in net.Conn) {
	source := sourceOf(in)
	out, err := net.DialTCP("tcp4", &net.TCPAddr{IP: net.ParseIP(source)}, p.targetAddr())
	// What arrived during the dial was held up, so it is lost if its sender has reset the connection.
	if m := p.modeFor(source); err != nil || m == linkReset || m == linkRefuseNew || wasReset(in) {
		abort(in)
		if err == nil {
			abort(out)
		}
		return
	}
	p.mu.Lock()
	p.conns[in] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		defer abort(out)
		p.forward(source, out, in, []linkMode{linkHeld, linkHeldOut}, linkStalled)
		time.Sleep(p.closeDelay)
	})
	wg.Go(func() {
		defer abort(in)
		p.forward(source, in, out, []linkMode{linkHeld, linkHeldBack}, linkStalled, linkOneWay)
	})
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	p.mu.Unlock()
}

// wasReset reports whether the other end has reset a connection.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // closed here
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE // after a close in order it would be CLOSE_WAIT
	})
	return reset || err != nil
}

// forward copies data from src to dst for a connection from an IP address. It drops the data while the mode is one of
// discardIn, and holds it while the mode is one of holdIn. The caller closes dst.
func (p *proxy) forward(source string, dst, src net.Conn, holdIn []linkMode, discardIn ...linkMode) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		mode := p.modeFor(source)
		for slices.Contains(holdIn, mode) {
			time.Sleep(heldPollInterval)
			if wasReset(src) {
				return // what was held up is lost
			}
			mode = p.modeFor(source)
		}
		if mode == linkSlow {
			time.Sleep(slowDelay)
		}
		for _, s := range discardIn {
			if mode == s {
				n = 0
				time.Sleep(discardDelay)
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
