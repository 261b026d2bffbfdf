package sagerelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
)

// Parameters of the connections to upstreams.
const (
	// connectTimeout limits the time to open a connection. The round trip between data centres takes
	// a few milliseconds. An unreachable address never answers, and the request has to go to another
	// upstream in time.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed. It is shorter than the
	// shortest idle timeout of upstreams, so that a connection is rarely closed by the upstream when
	// it is reused.
	idleTimeout = 3 * time.Second
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 8
	// TCP keep-alive detects connections whose other end vanished without a reset.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// crashProbeDelay is the time between a broken exchange and the probe of the upstream's address. A
// process that exits closes its listener and its connections within milliseconds, in any order.
const crashProbeDelay = 20 * time.Millisecond

// upstreamTransports holds the connections to upstreams.
type upstreamTransports struct {
	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
	// connect opens a connection within connectTimeout, without the tracking of sageconn.
	connect func(ctx context.Context, network, address string) (net.Conn, error)
}

// init creates the transports. dial opens connections; nil means TCP with the parameters above.
func (t *upstreamTransports) init(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if dial == nil {
		d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
		dial = d.DialContext
	}
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
		return sageconn.Wrap(c), nil
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	t.pooled = &http.Transport{
		DialContext: trackedDial, Protocols: p, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout,
	}
	t.unpooled = &http.Transport{DialContext: trackedDial, Protocols: p, DisableCompression: true, DisableKeepAlives: true}
}

// transportFor returns the transport for a request.
//
// A request that must be executed at most once gets a new connection. If the upstream closes a reused
// connection at that moment, it is unknown whether it has read the request.
func (s *Service) transportFor(repeatable bool) *http.Transport {
	t := s.openTransports()
	if repeatable {
		return t.pooled
	}
	return t.unpooled
}

// openTransports returns the transports, which the first call creates.
func (s *Service) openTransports() *upstreamTransports {
	s.transports.once.Do(func() { s.transports.init(s.Dial) })
	return &s.transports
}

// refusesConnections reports whether nothing listens at an address. A timeout isn't taken for a
// refusal: the address may be unreachable from here.
func (t *upstreamTransports) refusesConnections(ctx context.Context, address string) bool {
	c, err := t.connect(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // opened only for the probe
		return false
	}
	return isConnRefused(err)
}

// isConnRefused reports whether an error says that nothing listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
