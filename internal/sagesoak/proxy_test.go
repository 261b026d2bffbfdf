package sagesoak

import (
	"io"
	"net"
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
