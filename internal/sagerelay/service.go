package sagerelay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
)

// How long things may take.
const (
	// firstConfigWithin is how long a request waits for the first configuration of a process that
	// has just started: an eighth of the shortest objective of users' requests, a time in which a
	// refusal is still prompt.
	firstConfigWithin = 60 * time.Millisecond
	// configPoll is how often it looks.
	configPoll = 5 * time.Millisecond
	// retrySoon is when a caller may come back after a refusal whose cause passes within moments.
	retrySoon = 300 * time.Millisecond
	// writeSlack is how long after its deadline a request may still write its last bytes.
	writeSlack = time.Second
	// defaultDeadline bounds a request of which neither caller nor route says how long it may take.
	defaultDeadline = 30 * time.Second
)

// Service relays requests. Exported fields are set before it serves.
type Service struct {
	Dialect Dialect
	Fleet   Fleet
	Metrics *metrics.Set
	Log     sagelog.Logger
	// Closing reports whether callers should use another connection next.
	Closing func() bool
	// Quarantine keeps the requests that crash upstreams.
	Quarantine *sagequarantine.Tracker
	// Trials reports whether this node is the one that sends trials of quarantined requests.
	SendsTrials func() bool
	// BodyBytes bounds the bodies that are held at a time; 0 means no bound.
	MaxBufferedBytes int64

	bodies    atomic.Int64 // bytes reserved for bodies
	upstreams transports
	crashes   singleflight.Group
	inFlight  atomic.Int64
}

// InFlight returns the number of requests under way.
func (s *Service) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.Closing() {
		w.Header().Set("Connection", "close")
	}
	j := &job{s: s, w: w, r: r, began: time.Now()}
	defer func() { s.bodies.Add(-j.reserved) }()
	if s.accept(j) {
		j.serve()
	}
}

// accept decodes and checks a request, and refuses it unless it may go on.
func (s *Service) accept(j *job) bool {
	call, err := s.Dialect.ParseRequest(j.r)
	if err != nil {
		j.refuse(http.StatusBadRequest, BadRequest, 0)
		return false
	}
	j.call = call
	t := s.table(j.r.Context())
	if t == nil {
		j.refuse(http.StatusServiceUnavailable, NoConfig, retrySoon)
		return false
	}
	j.version = t.Version
	route := t.Match(j.r.Host, j.r.URL.Path)
	if route == nil {
		j.refuse(http.StatusNotFound, NoRoute, 0)
		return false
	}
	j.route = route
	if !j.authorize(t) {
		return false
	}
	return s.body(j, t.Limits)
}

// table returns the configuration, waiting a moment for the first one.
func (s *Service) table(ctx context.Context) *sageroute.Table {
	t := s.Fleet.Table()
	for until := time.Now().Add(firstConfigWithin); t == nil && time.Now().Before(until) && ctx.Err() == nil; t = s.Fleet.Table() {
		time.Sleep(configPoll)
	}
	return t
}

// authorize finds the account of the request's key.
//
// It guards against a key that was taken away while this node could not hear of it: without a proof
// that the configuration is fresh, no key is trusted, and the caller is sent elsewhere at once.
func (j *job) authorize(t *sageroute.Table) bool {
	if j.route.Public || !t.RequiresKey() {
		return true
	}
	if !j.s.Fleet.Fresh() {
		j.refuse(http.StatusServiceUnavailable, NotFresh, retrySoon)
		return false
	}
	a := t.Account(j.call.Key)
	if a == nil {
		j.refuse(http.StatusUnauthorized, Unauthorized, 0)
		return false
	}
	j.account, j.keyed = a, true
	return true
}

// body reads the whole body, so that the request can be sent again.
func (s *Service) body(j *job, limits sageroute.Limits) bool {
	if j.r.Body == nil || j.r.Body == http.NoBody {
		return true
	}
	if !s.reserve(j, limits) {
		j.refuse(http.StatusServiceUnavailable, NoMemory, retrySoon)
		return false
	}
	in := j.r.Body
	if limits.BodyBytes > 0 {
		in = http.MaxBytesReader(j.w, in, limits.BodyBytes)
	}
	b, err := io.ReadAll(in)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		j.refuse(http.StatusRequestEntityTooLarge, TooLarge, 0)
		return false
	case err != nil:
		j.s.count(CallerLeft)
		panic(http.ErrAbortHandler) // the caller broke its request off
	}
	j.bytes = b
	return true
}

// reserve takes memory for a request's body, or reports that there is none.
//
// It guards against a node that ends for lack of memory while callers send many large bodies at once:
// each is held whole, so that it can be sent again.
func (s *Service) reserve(j *job, limits sageroute.Limits) bool {
	n := j.r.ContentLength
	if n < 0 {
		n = limits.BodyBytes // sent in chunks: it may be as large as allowed
	}
	if sum := s.bodies.Add(n); s.MaxBufferedBytes > 0 && sum > s.MaxBufferedBytes && sum > n {
		s.bodies.Add(-n)
		return false
	}
	j.reserved = n
	return true
}

// deadline returns when the final answer of a request is due.
func (j *job) deadline() time.Time {
	at := j.began.Add(defaultDeadline)
	if j.route.Timeout > 0 {
		at = j.began.Add(j.route.Timeout)
	}
	if d := j.call.Deadline; !d.IsZero() && d.Before(at) {
		at = d
	}
	return at
}

// service draws the service of a split route.
func (j *job) service() string {
	if len(j.route.Services) == 1 {
		return j.route.Services[0].Service
	}
	return j.route.PickService(rand.Float64())
}

// count counts the end of a request.
func (s *Service) count(r Reason) {
	s.Metrics.GetOrCreateCounter(`sagestand_requests_ended_total{reason="` + string(r) + `"}`).Inc()
}

// countSend counts the end of one exchange with an upstream.
func (s *Service) countSend(service string, v verdict) {
	s.Metrics.GetOrCreateCounter(`sagestand_sends_total{service="` + service + `",verdict="` + v.String() + `"}`).Inc()
}

// observe notes how long an answered request took.
func (s *Service) observe(j *job) {
	s.Metrics.GetOrCreateHistogram(`sagestand_request_duration_seconds{kind="` + string(j.route.Kind) + `"}`).UpdateDuration(j.began)
}
