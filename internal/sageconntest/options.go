// Package sageconntest helps to test connections.
//
// # Usage
//
//	sageconntest.RequireOptions(t, dial, sageconntest.Options{KeepIdle: time.Second, KeepPeriod: time.Second, KeepCount: 3})
package sageconntest

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Options are the options of a connection that decide when an unresponsive other end is given up.
type Options struct {
	// UserTimeout is the TCP_USER_TIMEOUT, which also decides when keep-alive probes give up; 0 means that it isn't set.
	UserTimeout time.Duration
	// KeepIdle is the time without data before the first keep-alive probe, KeepPeriod that between two, KeepCount the
	// number of unanswered ones after which the connection is given up.
	KeepIdle, KeepPeriod time.Duration
	KeepCount            int
	// Resets is set if a close discards what hasn't been acknowledged and resets the connection, also at the end of the process.
	Resets bool
}

// RequireOptions requires that the connections that a function opens have the given options. A nil function stands for
// what net/http uses by default.
func RequireOptions(t *testing.T, dial func(ctx context.Context, network, address string) (net.Conn, error), want Options) {
	t.Helper()
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = w.NetConn()
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var got Options
	require.NoError(t, raw.Control(func(fd uintptr) {
		get := func(option int) int {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			return v
		}
		got.UserTimeout = time.Duration(get(unix.TCP_USER_TIMEOUT)) * time.Millisecond
		got.KeepIdle = time.Duration(get(unix.TCP_KEEPIDLE)) * time.Second
		got.KeepPeriod = time.Duration(get(unix.TCP_KEEPINTVL)) * time.Second
		got.KeepCount = get(unix.TCP_KEEPCNT)
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		require.NoError(t, err)
		got.Resets = linger.Onoff != 0 && linger.Linger == 0
	}))
	require.Equal(t, want, got)
}
