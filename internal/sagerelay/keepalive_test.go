package sagerelay

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Prevents keep-alive probes from ending the connection of a request in progress before its node resets it: the request would reach an
// upstream that may get no more once a partition has healed.
func TestProbesOutlastRequests(t *testing.T) {
	const longestRequest = 30 * time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	for _, source := range []string{"", "127.0.0.1"} {
		c, err := tcpDialer(source).DialContext(t.Context(), "tcp4", l.Addr().String())
		require.NoError(t, err)
		raw, err := c.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		option := func(name int) (v int) {
			require.NoError(t, raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
			require.NoError(t, err)
			return v
		}
		seconds := option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)
		require.Greater(t, time.Duration(seconds)*time.Second, longestRequest)
		require.NoError(t, c.Close())
	}
}
