package sagerelay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"sagestand.example/sagestand/internal/sagelog"
)

// connKey is the key of a context for the caller's connection.
type connKey struct{}

// ConnContext has requests know their connection. It is for [http.Server], and [Service.CancelLeft] needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// watchCaller has [Service.CancelLeft] end the context of the request if its caller leaves. The result must be called at its end.
func (j *job) watchCaller() context.CancelFunc {
	c, ok := j.r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return func() {} // closed at this end
	}
	ctx, cancel := context.WithCancel(j.r.Context())
	j.r, j.callerConn, j.leave = j.r.WithContext(ctx), raw, cancel
	return cancel
}

// CancelLeft ends the requests whose callers have closed their connection, or their side of it. It has to be called several times
// a second.
//
// [http.Server] notices by itself only until a byte follows the request, which it takes for the beginning of the next one: then it
// reads nothing more before the response has ended.
func (s *Service) CancelLeft() {
	for _, j := range s.jobs.list() {
		if j.callerConn == nil || j.r.Context().Err() != nil || !closedByPeer(j.callerConn) {
			continue
		}
		s.Log.Limited(sagelog.KindExchange, "Request cancelled: its caller has closed the connection behind further bytes.", "id", j.meta.ID, "route", j.route.Name)
		j.leave()
	}
}

// closedByPeer reports whether the other end has closed a connection or its side of it, whatever is unread. It never blocks.
func closedByPeer(c syscall.RawConn) bool {
	closed := false
	// A failure leaves it open: the connection is closed at this end, or the kernel doesn't say.
	_ = c.Control(func(fd uintptr) {
		p := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p[:], 0)
		closed = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
