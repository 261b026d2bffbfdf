package sageconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerActed reports whether the other end of an idle connection has closed it or has sent anything. It never blocks. A
// connection that can't be examined counts as open.
func peerActed(c net.Conn) bool {
	raw, err := rawConn(c)
	if err != nil {
		return true // closed at this end
	}
	if raw == nil {
		return false
	}
	active := false
	// Control doesn't wait for the transport's pending read, unlike Read.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		active = err != unix.EAGAIN && err != unix.EINTR
	})
	return active || err != nil
}

// unacknowledged returns the number of bytes that were written and that the other end hasn't acknowledged; 0 if it isn't known.
func unacknowledged(c net.Conn) int {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return 0
	}
	n := 0
	// A failure leaves n at 0: the connection is closed, or the kernel doesn't say.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}

// rawConn returns the descriptor of a connection, nil if it has none.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := baseConn(c).(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// baseConn returns the connection below those that wrap it.
func baseConn(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}
