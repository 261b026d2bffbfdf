package sagesoak

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullListener returns a listener whose accept queue is full until the first Accept, and the connections that fill it.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return l
}

// Prevents requests from being taken for late executions of the nodes when the proxy's own connection to the upstream was late:
// what the proxy holds meanwhile is lost if the sender resets the connection.
func TestProxyDropsWhatWasResetBeforeItsConnectionOpened(t *testing.T) {
	l := fullListener(t)
	p := &proxy{target: l.Addr().String()}
	address, err := p.listen()
	require.NoError(t, err)
	t.Cleanup(p.shutDown)
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = c.Write([]byte("request"))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // the proxy's SYN is dropped and sent again a second later
	abort(c)
	first, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	second, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = second.Close() })
	got, _ := io.ReadAll(second) // the proxy resets the connection
	require.Empty(t, string(got))
}

// proxyPair returns both ends of a connection through a proxy.
func proxyPair(t *testing.T, p *proxy) (client, upstream net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p.target = l.Addr().String()
	address, err := p.listen()
	require.NoError(t, err)
	t.Cleanup(p.shutDown)
	client, err = net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	upstream, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	return client, upstream
}

// Prevents plays of upstreams that work on after a reset from passing because the reset reaches them at once.
func TestProxyDelaysTheEndOfTheUpstreamsConnection(t *testing.T) {
	p := &proxy{closeDelay: 200 * time.Millisecond}
	client, upstream := proxyPair(t, p)
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(upstream, make([]byte, 1))
	require.NoError(t, err)
	at := time.Now()
	abort(client)
	_, err = upstream.Read(make([]byte, 1))
	require.Error(t, err)
	require.GreaterOrEqual(t, time.Since(at), p.closeDelay)
}

// Prevents plays of paths held up in one direction from passing because the requests arrive, or because the responses are held up too.
func TestProxyHoldsUpDataToTheUpstreamOnly(t *testing.T) {
	p := new(proxy)
	client, upstream := proxyPair(t, p)
	_, err := upstream.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	require.NoError(t, err)
	p.setSourceMode(sourceOf(upstream), linkHeldOut)
	_, err = client.Write([]byte("request"))
	require.NoError(t, err)
	_, err = upstream.Write([]byte("b"))
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, upstream.SetReadDeadline(time.Now().Add(5*heldPollInterval)))
	_, err = upstream.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, upstream.SetReadDeadline(time.Time{}))
	p.setSourceMode(sourceOf(upstream), linkOpen)
	got := make([]byte, len("request"))
	_, err = io.ReadFull(upstream, got)
	require.NoError(t, err)
	require.Equal(t, "request", string(got))
}

// Prevents an endless response from being taken for one that a node reads while the proxy drops it.
func TestProxyDropsNoMoreThanAPathTakes(t *testing.T) {
	for _, mode := range []linkMode{linkStalled, linkOneWay} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			p := new(proxy)
			_, upstream := proxyPair(t, p)
			p.setMode(mode)
			require.NoError(t, upstream.SetWriteDeadline(time.Now().Add(time.Second)))
			n, err := upstream.Write(make([]byte, 64<<20))
			t.Logf("%d bytes", n)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Less(t, n, 16<<20)
		})
	}
}
