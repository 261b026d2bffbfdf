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
	// dial opens a connection; nil means TCP with the parameters above.
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
	// connect is dial or its default, without the tracking of sageconn.
	connect func(ctx context.Context, network, address string) (net.Conn, error)
}

func (t *upstreamTransports) init() {
	d := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	t.connect = t.dial
	if t.connect == nil {
		t.connect = d.DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.connect(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		return sageconn.Wrap(c), nil
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	t.pooled = &http.Transport{
		DialContext: dial, Protocols: p, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout,
	}
	t.unpooled = &http.Transport{DialContext: dial, Protocols: p, DisableCompression: true, DisableKeepAlives: true}
}

// forRequest returns the transport for a request.
//
// A request that must be executed at most once gets a new connection. If the upstream closes a reused
// connection at that moment, it is unknown whether it has read the request.
func (t *upstreamTransports) forRequest(repeatable bool) *http.Transport {
	t.once.Do(t.init)
	if repeatable {
		return t.pooled
	}
	return t.unpooled
}

// refusesConnections reports whether nothing listens at an address. A timeout isn't taken for a
// refusal: the address may be unreachable from here.
func (t *upstreamTransports) refusesConnections(ctx context.Context, address string) bool {
	t.once.Do(t.init)
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := t.connect(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // opened only for the probe
		return false
	}
	return isConnRefused(err)
}

// isConnRefused reports whether an error says that nothing listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
