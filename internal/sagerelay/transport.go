package sagerelay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sageheader"
	"sagestand.example/sagestand/pkg/sagereach"
)

// Parameters of the connections to upstreams.
const (
	// connectTimeout limits the time to open a connection. The round trip between data centres takes
	// a few milliseconds. An unreachable address never answers, and the request has to go to another
	// upstream in time.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed if the upstream states no
	// idle timeout. It is shorter than the shortest one of upstreams, so that a connection is rarely
	// closed by the upstream when it is reused. maxIdleTimeout limits stated ones.
	idleTimeout    = 3 * time.Second
	maxIdleTimeout = time.Minute
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream, maxIdle that to all,
	// since each has two buffers and two goroutines.
	maxIdlePerUpstream = 8
	maxIdle            = 256
	// TCP keep-alive detects connections whose other end vanished without a reset. The limits of requests come first: the node then
	// resets the connection, which discards bytes that a partition holds up. After the probes have ended it, there is nothing to reset.
	keepAliveInterval = time.Second
	keepAliveProbes   = int(maxIdleTimeout / keepAliveInterval)
)

// crashProbeDelay is the time between a broken exchange and the probe of the upstream's address. A
// process that exits closes its listener and its connections within milliseconds, in any order.
const crashProbeDelay = 20 * time.Millisecond

// transports holds the connections to upstreams or peers.
type transports struct {
	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
	// connect opens a connection within connectTimeout, without the tracking of sageconn.
	connect func(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpDialer returns a dialer with the parameters above for connections from an IP address; an empty one leaves the choice
// to the kernel.
func tcpDialer(sourceIP string) *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	if sourceIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	return d
}

// init creates the transports. dial opens connections.
func (t *transports) init(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	t.connect = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	trackedDial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.connect(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return sageconn.WrapIdle(c, idleTimeout), nil
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	t.pooled = &http.Transport{
		DialContext: trackedDial, Protocols: p, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerUpstream, MaxIdleConns: maxIdle, IdleConnTimeout: maxIdleTimeout,
		MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
	}
	t.unpooled = &http.Transport{
		DialContext: trackedDial, Protocols: p, DisableCompression: true, DisableKeepAlives: true,
		MaxResponseHeaderBytes: sageheader.MaxResponseBytes,
	}
}

// forRequest returns the transport for a request to a peer.
//
// A request that must be executed at most once gets a new connection. If the upstream closes a reused
// connection at that moment, it is unknown whether it has read the request.
func (t *transports) forRequest(repeatable bool) *http.Transport {
	if repeatable {
		return t.pooled
	}
	return t.unpooled
}

// toUpstreams returns the transports to upstreams, which the first call creates.
func (s *Service) toUpstreams() *transports {
	s.upstreams.once.Do(func() {
		dial := s.Dial
		if dial == nil {
			dial = tcpDialer(s.SourceIP).DialContext
		}
		s.upstreams.init(func(ctx context.Context, network, address string) (net.Conn, error) {
			s.dials.Add(1)
			return dial(ctx, network, address)
		})
	})
	return &s.upstreams
}

// toPeers is like toUpstreams for the other nodes.
func (s *Service) toPeers() *transports {
	s.peers.once.Do(func() { s.peers.init(tcpDialer("").DialContext) })
	return &s.peers
}

// CloseIdleConnections closes the connections that no request uses. Those that the end of the process closes are reset.
func (s *Service) CloseIdleConnections() {
	for _, t := range []*transports{s.toUpstreams(), s.toPeers()} {
		t.pooled.CloseIdleConnections()
	}
}

// refusesConnections reports whether nothing listens at an address. A timeout isn't taken for a
// refusal: the address may be unreachable from here.
func (t *transports) refusesConnections(ctx context.Context, address string) bool {
	c, err := t.connect(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // opened only for the probe
		return false
	}
	return isConnRefused(err)
}

// probeTimeout limits a probe of a path.
const probeTimeout = 2 * connectTimeout

// ProbePath sends a health check to an upstream over a new connection. Any response shows that the path is open. Without
// a health check, the connection alone has to do.
func (s *Service) ProbePath(ctx context.Context, address, healthPath string) sagereach.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t := s.toUpstreams()
	if healthPath == "" {
		c, err := t.connect(ctx, "tcp", address)
		if err == nil {
			_ = c.Close() // opened only for the probe
		}
		return probeResult(err, false)
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return sagereach.ProbeTimedOut
	}
	tracker := new(sageconn.Tracker)
	res, err := tracker.RoundTrip(t.unpooled, req.WithContext(tracker.WithTrace(ctx)))
	if err == nil {
		_ = res.Body.Close() // the content doesn't matter
	}
	if receiving(tracker) {
		return sagereach.ProbeAnswered
	}
	return probeResult(err, connected)
}

func probeResult(err error, connected bool) sagereach.ProbeResult {
	switch {
	case err == nil:
		return sagereach.ProbeAnswered
	case isConnRefused(err), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF):
		return sagereach.ProbeRefused
	case connected:
		return sagereach.ProbeTimedOut
	}
	return sagereach.ProbeUnreached
}

// isConnRefused reports whether an error says that nothing listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
