package sagerelay

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// keepAliveMargin and 1/keepAliveMarginDivisor of the idle timeout that an upstream states are left unused, the longer of
// the two. They cover the way of a request and a busy processor.
const (
	keepAliveMargin        = 500 * time.Millisecond
	keepAliveMarginDivisor = 10
)

// maxPooledTries is the number of connections of the pool that are tried for one exchange, maxPooledTriesOnce that for a
// request that must be executed at most once. It may use fewer, and others can still use the connections that it can't.
const (
	maxPooledTries     = maxIdlePerUpstream
	maxPooledTriesOnce = 2
)

// connUse is the use of a connection by an exchange.
type connUse struct {
	// acquired is set while the exchange counts as a user of a connection.
	acquired bool
	// got is set once the exchange has a connection, at is the time.
	got bool
	at  time.Time
	// reused is set if the connection was used before, idle is how long it was idle since.
	reused bool
	idle   time.Duration
	// answered is set once a response header has arrived.
	answered bool
}

// connBreak is a break of a connection before the first byte of the answer. The zero value is none.
type connBreak struct {
	// fresh is set if the connection was new, otherwise idle is how long it had been idle.
	fresh bool
	idle  time.Duration
	// took is the time since the request got the connection.
	took time.Duration
}

// breakNow returns what a break of the connection at this moment is.
func (c *connUse) breakNow() connBreak {
	if !c.got || c.answered {
		return connBreak{}
	}
	return connBreak{fresh: !c.reused, idle: c.idle, took: time.Since(c.at)}
}

// acquireConn waits until the exchange may use a connection to its upstream. All exchanges of a request together wait for at
// most maxConnWaitShare of its objective.
func (x *exchange) acquireConn(ctx context.Context) error {
	j, part := x.j, 0
	if s := j.s.Fleet.Table().Services[x.p.Upstream.Service]; s != nil && j.s.Nodes != nil {
		part = connPart(s.MaxConns, j.s.Nodes())
	}
	wait := time.Duration(maxConnWaitShare*float64(j.route.Objective)) - j.connWait
	start := time.Now()
	err := j.s.connLimits.acquire(ctx, x.address(), part, wait)
	j.connWait += time.Since(start)
	if err != nil {
		return err
	}
	x.conn.acquired = true
	return nil
}

// releaseConn ends the use of a connection.
func (x *exchange) releaseConn() {
	if x.conn.acquired {
		x.conn.acquired = false
		x.j.s.connLimits.release(sageclock.Now(), x.address())
	}
}

// failWithoutConn handles an exchange for which all connections to its upstream are in use.
func (x *exchange) failWithoutConn(err error) verdict {
	x.j.cause = err.Error()
	x.j.s.countConn(x.p.Upstream.Service, "none_free")
	if x.j.r.Context().Err() != nil {
		return callerGone
	}
	return notSent
}

// roundTrip sends the request to the upstream. If nothing was written because a reused connection was closed or had been idle
// for too long, it takes another one.
func (x *exchange) roundTrip(req *http.Request) (*http.Response, error) {
	t, tries := x.j.s.toUpstreams(), maxPooledTries
	if !x.j.route.Repeatable() {
		tries = maxPooledTriesOnce
	}
	if slices.Contains(x.j.sentTo, x.address()) {
		tries = 0 // a late copy of the response to the earlier send bears the same ID as the response to this one
	}
	x.j.sentTo = append(x.j.sentTo, x.address())
	for range tries {
		x.conn.got = false
		res, err := x.tracker.RoundTrip(t.pooled, req)
		if err == nil || !x.reusedInVain(req.Context(), err) {
			return res, err
		}
		x.j.setBody(req)
	}
	return x.tracker.RoundTrip(t.unpooled, req)
}

// reusedInVain reports whether a round trip failed without a byte written to the reused connection that it got.
func (x *exchange) reusedInVain(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !x.conn.got || !x.conn.reused || !x.tracker.Seal() {
		return false
	}
	if errors.Is(err, sageconn.ErrStale) {
		x.j.s.countConn(x.p.Upstream.Service, "stale")
	}
	return true
}

// useConn takes a connection for the exchange. If the connection has been idle for too long, it is closed before anything is
// written, and the result is false.
func (x *exchange) useConn(info httptrace.GotConnInfo) bool {
	x.tracker.GotConn(info)
	if x.helper != nil {
		x.freshConn = !info.Reused
		return true
	}
	s, service := x.j.s, x.p.Upstream.Service
	x.freshConn = !info.Reused
	x.conn.got, x.conn.at, x.conn.reused, x.conn.idle = true, time.Now(), info.Reused, info.IdleTime
	if !info.Reused {
		s.countConn(service, "opened")
		return true
	}
	if !s.idleBounds.allows(sageclock.Now(), service, info.IdleTime, x.j.route.Repeatable()) {
		s.countConn(service, "idle_too_long")
		x.tracker.Seal()
		return false
	}
	s.countConn(service, "reused")
	return true
}

// recordResponseHeader records what a response header says about the connection.
func (x *exchange) recordResponseHeader(res *http.Response) {
	x.conn.answered = true
	if d, ok := parseKeepAlive(res.Header.Get("Keep-Alive")); ok {
		x.tracker.SetKeepIdle(keepIdle(d))
	}
}

// parseKeepAlive returns the idle timeout that a Keep-Alive header states.
func parseKeepAlive(header string) (time.Duration, bool) {
	for p := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}

// keepIdle returns how long a connection may be idle whose other end closes it after timeout.
func keepIdle(timeout time.Duration) time.Duration {
	margin := max(keepAliveMargin, timeout/keepAliveMarginDivisor)
	return min(max(timeout-margin, time.Nanosecond), maxIdleTimeout) // 0 would mean no limit
}

// recordReuse records that the request got its answer on a reused connection.
func (x *exchange) recordReuse() {
	if x.helper == nil && x.conn.reused {
		x.j.s.idleBounds.recordReuse(sageclock.Now(), x.p.Upstream.Service, x.conn.idle)
	}
}

// recordBreak records a break of a connection to an upstream that still runs.
func (s *Service) recordBreak(u *sageupstream.Entry, b connBreak) {
	now := sageclock.Now()
	if b.fresh {
		s.idleBounds.recordFreshBreak(now, u.Service)
		return
	}
	if b.idle > 0 {
		s.countConn(u.Service, "broken_on_reuse")
	}
	if bound, lowered := s.idleBounds.recordBreak(now, u.Service, b.idle, b.took); lowered {
		s.logIdleBound("Reused connection broke: the bound of the idle time falls.", u, b, bound)
	}
}

// recordTimeout records that the exchange got no answer in time.
func (x *exchange) recordTimeout() {
	if x.helper != nil || !x.conn.got || x.conn.answered {
		return
	}
	s, u, b := x.j.s, x.p.Upstream, x.conn.breakNow()
	if b.fresh {
		s.idleBounds.recordFreshTimeout(u.Service)
		return
	}
	if bound, lowered := s.idleBounds.recordTimeout(sageclock.Now(), u.Service, b.idle); lowered {
		s.logIdleBound("Reused connections stay unresponsive: the bound of the idle time falls.", u, b, bound)
	}
}

// logIdleBound logs that the bound of the idle time of a service has fallen.
func (s *Service) logIdleBound(msg string, u *sageupstream.Entry, b connBreak, bound time.Duration) {
	s.Log.Limited(sagelog.KindStateChange, msg, "service", u.Service, "upstream", u.ID, "idle_ms", b.idle.Milliseconds(), "took_ms", b.took.Milliseconds(), "bound_ms", bound.Milliseconds())
}

// recordReset records that the exchange's connection was reset just after it was opened.
func (x *exchange) recordReset(err error) {
	if x.helper != nil || !x.conn.got || x.conn.reused || x.conn.answered || time.Since(x.conn.at) > connResetWindow {
		return
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, sageconn.ErrStale) {
		return
	}
	u := x.p.Upstream
	x.j.s.countConn(u.Service, "reset")
	if limit, lowered := x.j.s.connLimits.recordReset(sageclock.Now(), u.Address); lowered {
		x.j.s.Log.Limited(sagelog.KindStateChange, "Upstream reset a new connection: the limit of connections falls.", "service", u.Service, "upstream", u.ID, "limit", limit)
	}
}

// countConn counts an event of a connection to an upstream.
func (s *Service) countConn(service, event string) {
	s.Metrics.GetOrCreateCounter(`sagestand_upstream_connections_total{service="` + service + `",event="` + event + `"}`).Inc()
}

// registerMetrics registers the gauges.
func (s *Service) registerMetrics() {
	s.Metrics.GetOrCreateGauge("sagestand_upstream_dials", func() float64 { return float64(s.dials.Load()) })
	s.Metrics.GetOrCreateGauge("sagestand_buffered_bytes", func() float64 { return float64(s.buffers.inUse()) })
}
