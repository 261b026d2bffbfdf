package sagerelay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Timeouts and intervals.
const (
	// firstConfigTimeout limits the wait of a request for the first configuration after the start of
	// the process. It is an eighth of the shortest response-time objective, so that a refusal is
	// still prompt.
	firstConfigTimeout = 60 * time.Millisecond
	// configPollInterval is the interval of checks during that wait.
	configPollInterval = 5 * time.Millisecond
	// shortRetryAfter is the Retry-After of refusals whose cause is expected to pass within moments.
	shortRetryAfter = 300 * time.Millisecond
	// minReturn is the least Retry-After of a refusal that names the time of a place.
	minReturn = 20 * time.Millisecond
	// writeGrace is the time after its deadline in which a request may still write its last bytes.
	writeGrace = time.Second
	// defaultTimeout limits requests for which neither the caller nor the route sets a time limit.
	defaultTimeout = 30 * time.Second
)

// Service forwards requests. Exported fields must be set before it serves.
type Service struct {
	// Node is the name of this node.
	Node    string
	Dialect Dialect
	Fleet   Fleet
	// Origins knows where streams began.
	Origins Origins
	Metrics *metrics.Set
	Log     sagelog.Logger
	// Closing returns when the node stops, from the request to stop on, and nil before it. Responses then ask callers to close
	// their connection. A nil function means that the node never stops.
	Closing func() *sagedrain.Closing
	// Quarantine holds the requests and parts of prompts that crash upstreams.
	Quarantine *sagequarantine.Tracker
	// SendsTrials reports whether this node sends the trials of quarantined requests.
	SendsTrials func() bool
	// Dial opens connections to upstreams; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SourceIP is the IP address from which connections to upstreams are opened; empty leaves the choice to the kernel.
	SourceIP string
	// MaxBufferedBytes limits the total size of buffered request bodies and responses; 0 means no limit.
	MaxBufferedBytes int64
	// Nodes returns the number of nodes that share the connections of upstreams; nil or 0 means that it isn't known.
	Nodes func() int
	// MaxRelayed limits the requests of peers in progress; 0 means no limit.
	MaxRelayed int64

	buffers       byteBudget
	responseSizes responseSizes
	metricsOnce   sync.Once
	upstreams     transports
	peers         transports
	idleBounds    idleBounds
	connLimits    connLimits
	dials         atomic.Int64 // connections to upstreams that were begun
	crashProbes   singleflight.Group
	sending       activeSet[*exchange]
	jobs          activeSet[*job]
	inFlight      atomic.Int64
	relayed       atomic.Int64 // requests of peers in progress
	durations     sagedrain.Durations
	cutting       atomic.Bool // the node exits and aborts what is in progress
}

// Relayed returns the number of requests of peers in progress.
func (s *Service) Relayed() int64 { return s.relayed.Load() }

// InFlight returns the number of requests in progress.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{s: s, w: w, r: r, start: time.Now()}
	defer j.watchCaller()()
	s.serveJob(j)
}

func (s *Service) serveJob(j *job) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.closing() != nil {
		j.w.Header().Set("Connection", "close")
	}
	s.metricsOnce.Do(s.registerMetrics)
	defer j.releaseBuffers()
	if s.accept(j) {
		j.serve()
	}
}

// accept parses and checks a request. If the request can't proceed, it is refused and the result is
// false.
func (s *Service) accept(j *job) bool {
	meta, err := s.Dialect.ParseRequest(j.r)
	if err != nil {
		j.refuse(http.StatusBadRequest, BadRequest, 0)
		return false
	}
	j.meta = meta
	t := s.awaitTable(j.r.Context())
	if t == nil {
		j.refuse(http.StatusServiceUnavailable, NoConfig, shortRetryAfter)
		return false
	}
	j.version = t.Version
	if j.relay.version > t.Version {
		j.refuse(http.StatusServiceUnavailable, RelayOutdated, shortRetryAfter)
		return false
	}
	route := t.Match(j.r.Host, j.r.URL.EscapedPath()) // as the upstream gets it
	if route == nil {
		j.refuse(http.StatusNotFound, NoRoute, 0)
		return false
	}
	j.route = route
	if j.relay.from != "" && !j.leadsTo(j.relay.service) {
		j.refuse(http.StatusServiceUnavailable, NoRoute, 0)
		return false
	}
	if j.relay.earlierRuns > 0 && !j.mayRunAgain() { // the peer's configuration is older
		j.refuse(http.StatusServiceUnavailable, AnswerLost, 0)
		return false
	}
	if !j.authorize(t) {
		return false
	}
	return s.readBody(j, t.Limits)
}

// awaitTable returns the configuration. It waits briefly for the first one; nil if there is none.
func (s *Service) awaitTable(ctx context.Context) *sageroute.Table {
	t := s.Fleet.Table()
	for deadline := time.Now().Add(firstConfigTimeout); t == nil && time.Now().Before(deadline) && ctx.Err() == nil; t = s.Fleet.Table() {
		time.Sleep(configPollInterval)
	}
	return t
}

// authorize sets the account of the request's key.
//
// No key is trusted without a proof that the configuration is fresh, since a key may have been
// revoked while this node could not reach the store. The caller is refused immediately and can go to
// another node.
func (j *job) authorize(t *sageroute.Table) bool {
	if j.route.Public || !t.RequiresKey() {
		return true
	}
	if !j.s.Fleet.Fresh() {
		j.refuse(http.StatusServiceUnavailable, NotFresh, shortRetryAfter)
		return false
	}
	a := t.Account(j.meta.Key)
	if a == nil {
		j.refuse(http.StatusUnauthorized, Unauthorized, 0)
		return false
	}
	j.account, j.keyChecked = a, true
	return true
}

// readBody reads the complete body, so that the request can be sent again.
func (s *Service) readBody(j *job, limits sageroute.Limits) bool {
	if j.r.Body == nil || j.r.Body == http.NoBody {
		return true
	}
	if !s.reserveBody(j, limits) {
		j.refuse(http.StatusServiceUnavailable, NoMemory, shortRetryAfter)
		return false
	}
	in := j.r.Body
	if limits.BodyBytes > 0 {
		in = http.MaxBytesReader(j.w, in, limits.BodyBytes)
	}
	controller := http.NewResponseController(j.w)
	_ = controller.SetReadDeadline(j.finalDeadline()) // fails for writers without deadline support, such as test recorders
	b, err := io.ReadAll(in)
	if !errors.Is(err, os.ErrDeadlineExceeded) { // after which the server would wait for the rest of the body
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.w.Header().Set("Connection", "close")
		j.refuse(http.StatusGatewayTimeout, TimedOut, 0)
		return false
	case errors.As(err, &tooLarge):
		j.refuse(http.StatusRequestEntityTooLarge, TooLarge, 0)
		return false
	case err != nil:
		j.abandon() // the caller aborted its request
	}
	j.body = b
	s.releaseUnread(j)
	return true
}

// releaseUnread returns the space that was reserved for a body without a length and isn't needed.
func (s *Service) releaseUnread(j *job) {
	if unread := j.reservedBytes - int64(len(j.body)); unread > 0 {
		j.reservedBytes -= unread
		s.buffers.release(unread)
	}
}

// reserveBody reserves buffer space for the request's body and reports whether there was enough.
//
// Bodies are buffered completely so that requests can be sent again. Without a limit, many large
// bodies at the same time would exhaust the node's memory. A body above the limit is accepted if no
// other is buffered.
func (s *Service) reserveBody(j *job, limits sageroute.Limits) bool {
	n := j.r.ContentLength
	if n < 0 {
		n = limits.BodyBytes // chunked: up to the maximum size
	}
	if !s.buffers.tryReserve(n, j.bufferLimit()) {
		return false
	}
	j.reservedBytes = n
	return true
}

// finalDeadline returns the time by which the final response is due.
func (j *job) finalDeadline() time.Time {
	deadline := j.start.Add(defaultTimeout)
	if j.route.Timeout > 0 {
		deadline = j.start.Add(j.route.Timeout)
	}
	if d := j.meta.Deadline; !d.IsZero() && d.Before(deadline) {
		deadline = d
	}
	return deadline
}

// pickService draws one of the services of the route.
func (j *job) pickService() string {
	if len(j.route.Services) == 1 {
		return j.route.Services[0].Service
	}
	return j.route.PickService(rand.Float64())
}

// countEnd counts a request that ended.
func (s *Service) countEnd(r Reason) {
	s.Metrics.GetOrCreateCounter(`sagestand_requests_ended_total{reason="` + string(r) + `"}`).Inc()
}

// countSend counts an exchange that ended.
func (s *Service) countSend(service string, v verdict) {
	s.Metrics.GetOrCreateCounter(`sagestand_sends_total{service="` + service + `",verdict="` + v.String() + `"}`).Inc()
}

// countUnstated counts a response whose status promises that the request has not been executed, without the upstream's
// statement of it.
func (s *Service) countUnstated(service string, status int) {
	s.Metrics.GetOrCreateCounter(`sagestand_unstated_refusals_total{service="` + service + `",status="` + strconv.Itoa(status) + `"}`).Inc()
}

// countAnnouncement counts a response that says something about its upstream.
func (s *Service) countAnnouncement(service, announcement string) {
	s.Metrics.GetOrCreateCounter(`sagestand_upstream_announcements_total{service="` + service + `",announcement="` + announcement + `"}`).Inc()
}

// observeDuration records the duration of an answered request.
func (s *Service) observeDuration(j *job) {
	s.Metrics.GetOrCreateHistogram(`sagestand_request_duration_seconds{kind="` + string(j.route.Kind) + `"}`).UpdateDuration(j.start)
}
