package sagepeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of the client's connections.
const (
	dialTimeout = 2 * time.Second
	callTimeout = 5 * time.Second
	idleTimeout = 90 * time.Second
	idlePerHost = 2
)

// Client calls other nodes. Its fields are set before first use.
type Client struct {
	// Key is the shared key of the nodes.
	Key string
	// TLS, when set, is used towards every node.
	TLS *tls.Config

	http  atomic.Pointer[http.Client]
	bytes atomic.Int64
}

// URL returns the base of a node's calls.
func (c *Client) URL(addr string) string {
	if c.TLS != nil {
		return "https://" + addr
	}
	return "http://" + addr
}

// Bytes returns how many bytes this client has read and written, handshakes and headers included.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// HTTP returns the client that twirp's generated clients take.
func (c *Client) HTTP() *http.Client {
	if h := c.http.Load(); h != nil {
		return h
	}
	t := NewCountingTransport(&c.bytes)
	t.TLSClientConfig = c.TLS
	c.http.CompareAndSwap(nil, &http.Client{Transport: &keyed{key: c.Key, next: t}, Timeout: callTimeout})
	return c.http.Load()
}

// NewCountingTransport returns a transport that adds what passes its connections to n.
func NewCountingTransport(n *atomic.Int64) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // calls are small; the header that offers it costs more than it saves
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newCountedConn(c, n), nil
		},
	}
}

// keyed adds the shared key to every call.
type keyed struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements [http.RoundTripper].
func (k *keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+k.key)
	// Most calls between nodes are shorter than their headers, so what nobody reads is left out.
	r.Header.Set("User-Agent", "")
	return k.next.RoundTrip(r)
}
