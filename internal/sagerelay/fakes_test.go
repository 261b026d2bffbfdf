package sagerelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagebackoff"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// fakeFleet is a Fleet with scripted upstreams.
type fakeFleet struct {
	table *sageroute.Table
	// upstreams by name; they are picked in the order of names.
	upstreams   map[string]upstream
	names       []string
	stale       bool
	sendsTrials bool // this node sends trials of quarantined requests
	leaving     bool // the upstreams are about to stop
	unusable    atomic.Bool
	retryBudget int

	mu              sync.Mutex
	sent            []*http.Request
	services        []string // of picks
	results         []sagehealth.Result
	misdirected     []string
	accepted        []string
	declined        []string // upstreams that declined a request without asking for a pause
	pauses          sagebackoff.Pauses[string]
	allPausedUntil  sageclock.Instant
	left            []string // upstreams that announced that they leave
	uncachedTokens  []int    // UncachedTokens of each stream's first event
	responses       []recordedResponse
	served          int
	stopped         []string // upstreams that no longer listen
	beforePick      func()   // called before each pick
	path            sagereach.PathState
	helpers         []string // peers, picked in this order
	refusedBy       []string // peers that could not take a request
	saturated       bool
	realDial        func(ctx context.Context) (net.Conn, error) // for benchmarks
	firstSends      int
	maxDeclines     []int // of announcements that upstreams are brittle
	limitedAccounts []string
	// admit decides on requests; nil admits all. admitQueries are the queries in order.
	admit func(q *AdmitQuery) Admission
	// neverAdmits has requests wait until their context ends.
	neverAdmits     bool
	admitQueries    []AdmitQuery
	waited          time.Duration // for which callers have waited before
	queueTime       time.Duration
	runs            []string // upstreams of complete responses
	reachedByOthers bool
	answered        bool
	// versions are the versions of the upstreams by name, changedVersions those that have another one by now.
	versions        map[string]string
	changedVersions []string
	// finding is the result of searches for origins; searched, begun and ended record the calls.
	finding  sageorigin.Finding
	searched []sageorigin.Key
	begun    []sageorigin.Record
	ended    int
	onBegin  func()
	// answers and unanswered are the upstreams of recorded evidence, in order.
	answers, unanswered []string
}

func (f *fakeFleet) Table() *sageroute.Table { return f.table }
func (f *fakeFleet) ProofAge() time.Duration { return 0 }
func (f *fakeFleet) Fresh() bool             { return !f.stale }

// RecordFirstSend implements [Fleet].
func (f *fakeFleet) RecordFirstSend(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstSends++
}

func (f *fakeFleet) AllowRetry(string, bool) RetryDecision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryBudget--; f.retryBudget < 0 {
		return RetryDecision{Denied: RetryBudgetSpent}
	}
	return RetryDecision{}
}

func (f *fakeFleet) Pick(q *Query) *Pick {
	if f.beforePick != nil {
		f.beforePick()
	}
	for _, n := range f.names {
		if !slices.Contains(q.Tried, n) && (q.Origin == nil || q.Origin.Version == f.versions[n]) {
			f.mu.Lock()
			f.services = append(f.services, q.Service)
			f.mu.Unlock()
			return &Pick{Upstream: &sageupstream.Entry{ID: n, Service: q.Service, Address: n + ":80", Version: f.versions[n]}, Done: func() {}}
		}
	}
	return nil
}

func (f *fakeFleet) HasAnother(q *Query) bool {
	return slices.ContainsFunc(f.names, func(n string) bool {
		return !slices.Contains(q.Tried, n) && (q.Origin == nil || q.Origin.Version == f.versions[n])
	})
}

func (f *fakeFleet) Serves(o sageorigin.Origin) bool {
	for _, n := range f.names {
		if f.versions[n] == o.Version {
			return true
		}
	}
	return false
}

func (f *fakeFleet) ChangedVersion(u *sageupstream.Entry) bool {
	return slices.Contains(f.changedVersions, u.ID)
}

// Begin implements [Origins].
func (f *fakeFleet) Begin(_ string, k sageorigin.Key, o sageorigin.Origin, _ sageclock.Instant) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, sageorigin.Record{Key: k, Origin: o})
	if f.onBegin != nil {
		f.onBegin()
	}
	return func() { f.ended++ }
}

// Find implements [Origins].
func (f *fakeFleet) Find(_ context.Context, _ string, k sageorigin.Key) sageorigin.Finding {
	f.searched = append(f.searched, k)
	return f.finding
}

func (f *fakeFleet) Usable(*sageupstream.Entry) bool  { return !f.unusable.Load() }
func (f *fakeFleet) Leaving(*sageupstream.Entry) bool { return f.leaving }

func (f *fakeFleet) RecordPrompt(*sageupstream.Entry, sagechain.Chain) {}
func (f *fakeFleet) RecordLeaving(u *sageupstream.Entry) bool {
	f.left = append(f.left, u.ID)
	return true
}

func (f *fakeFleet) RecordDecline(p *Pick, paused bool) {
	if !paused {
		f.declined = append(f.declined, p.Upstream.ID)
	}
}

func (f *fakeFleet) RecordAccept(p *Pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, p.Upstream.ID)
}

func (f *fakeFleet) RecordBrittle(_ *sageupstream.Entry, maxDeclines int) bool {
	f.maxDeclines = append(f.maxDeclines, maxDeclines)
	return true
}

func (f *fakeFleet) AwaitPlace(context.Context, string, time.Duration) bool { return false }

func (f *fakeFleet) AdmitAccount(_, account string) (func(), bool) {
	return func() {}, !slices.Contains(f.limitedAccounts, account)
}

func (f *fakeFleet) Admit(ctx context.Context, q *AdmitQuery) Admission {
	f.mu.Lock()
	f.admitQueries = append(f.admitQueries, *q)
	f.mu.Unlock()
	if f.neverAdmits {
		<-ctx.Done()
		return Admission{}
	}
	if f.admit == nil {
		return Admission{OK: true}
	}
	return f.admit(q)
}

func (f *fakeFleet) RecordRemaining(string, string, time.Duration) time.Duration { return f.waited }

func (f *fakeFleet) QueueTime(string) time.Duration { return f.queueTime }

func (f *fakeFleet) RecordRun(u *sageupstream.Entry, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, u.ID)
}

func (f *fakeFleet) RecordPause(u *sageupstream.Entry, until sageclock.Instant) bool {
	return f.pauses.Pause(sageclock.Now(), u.ID, until)
}

func (f *fakeFleet) PausedUntil(string) sageclock.Instant { return f.allPausedUntil }

func (f *fakeFleet) RecordMisdirected(u *sageupstream.Entry) {
	f.misdirected = append(f.misdirected, u.ID)
}
func (f *fakeFleet) RecordFirstEvent(p *Pick, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uncachedTokens = append(f.uncachedTokens, p.UncachedTokens)
}

func (f *fakeFleet) RecordServiceTime(string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
}

func (f *fakeFleet) PrefillTime(_ string, tokens int) time.Duration {
	return time.Duration(tokens) * 18 * time.Microsecond
}

func (f *fakeFleet) AwaitCacheSync(context.Context, string, sagechain.Chain) {}

func (f *fakeFleet) RecordResponse(_ *Pick, route string, a ResponseResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses = append(f.responses, recordedResponse{route, a})
}

func (f *fakeFleet) RecordAnswer(u *sageupstream.Entry, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, u.ID)
}

func (f *fakeFleet) RecordUnanswered(u *sageupstream.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = append(f.unanswered, u.ID)
}

func (f *fakeFleet) Upstream(id string, _ int64) *sageupstream.Entry {
	if id == "" {
		return nil
	}
	return &sageupstream.Entry{ID: id}
}

func (f *fakeFleet) PathState(string) sagereach.PathState { return f.path }

func (f *fakeFleet) Answered(string) bool { return f.answered }

func (f *fakeFleet) ReachedByOthers([]string) bool { return f.reachedByOthers }

func (f *fakeFleet) PathReturn(string) time.Duration { return time.Second }

func (f *fakeFleet) PickHelper(_ string, tried []string) *Helper {
	if f.beforePick != nil {
		f.beforePick()
	}
	for _, n := range f.helpers {
		if !slices.Contains(tried, n) {
			return &Helper{Node: n, Address: n + ":80", Done: func(refused bool) {
				if refused {
					f.refusedBy = append(f.refusedBy, n)
				}
			}}
		}
	}
	return nil
}

func (f *fakeFleet) RelaySaturated() bool { return f.saturated }

func (f *fakeFleet) WhenPathVerified(_ *sageupstream.Entry, _ bool, commit func()) {
	if f.path == sagereach.Open {
		commit()
	}
}

func (f *fakeFleet) RecordExchange(_ *sageupstream.Entry, r sagehealth.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

func (f *fakeFleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	name := strings.TrimSuffix(address, ":80")
	up := f.upstreams[name]
	f.mu.Lock()
	stopped := slices.Contains(f.stopped, name)
	f.mu.Unlock()
	if up == nil || stopped {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	a, b := net.Pipe()
	go func() {
		defer func() { _ = b.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(b))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body) // a truncated request has a shorter body
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		f.mu.Lock()
		f.sent = append(f.sent, req)
		f.mu.Unlock()
		up(b, req)
	}()
	return a, nil
}

// recordedResponse is a result that was reported by RecordResponse.
type recordedResponse struct {
	route string
	ResponseResult
}

// testRoute returns a route of the kind with typical values.
func testRoute(kind sageroute.Kind) sageroute.Route {
	return sageroute.Route{
		Name: "r", Host: "h.example", Prefix: "/", Kind: kind, MaxAttempts: 2, Timeout: 4 * time.Second,
		Objective: 300 * time.Millisecond, MaxEventGap: 500 * time.Millisecond, Resumable: kind == sageroute.Stream,
		Services: []sageroute.WeightedService{{Service: "s", Weight: 1}},
	}
}

func newFakeFleet(t *testing.T, r sageroute.Route, ups map[string]upstream) *fakeFleet {
	t.Helper()
	tab, err := sageroute.New(1, []sageroute.Route{r}, nil, []sageroute.Account{{Name: "acc", Keys: []string{"good"}}}, sageroute.Limits{BodyBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	fleet := &fakeFleet{table: tab, upstreams: ups, retryBudget: 10}
	for n := range ups {
		fleet.names = append(fleet.names, n)
	}
	slices.Sort(fleet.names)
	t.Cleanup(func() { time.Sleep(2 * crashProbeDelay) }) // wait for crash probes that are still running
	return fleet
}

// callerResult is what the caller received.
type callerResult struct {
	*httptest.ResponseRecorder
	// aborted is set if the connection was closed before the response was complete.
	aborted bool
}

func (f *fakeFleet) service() *Service {
	s := &Service{Node: "vm1", Dialect: testDialect{}, Fleet: f, Origins: f, Metrics: metrics.NewSet(), Log: sagelog.Logger{}, Quarantine: new(sagequarantine.Tracker),
		SendsTrials: func() bool { return f.sendsTrials }}
	s.Dial = f.dial
	s.peers.once.Do(func() { s.peers.init(f.dial) })
	return s
}

func (f *fakeFleet) call(ctx context.Context, header map[string]string, body string) callerResult {
	return f.callOn(ctx, f.service(), header, body)
}

// testRequest returns a caller's request.
func testRequest(ctx context.Context, header map[string]string, body string) *http.Request {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/x?y=1", strings.NewReader(body))
	req.Header.Set(testID, "id1")
	req.Header.Set(testKey, "good")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return req
}

func (f *fakeFleet) callOn(ctx context.Context, s *Service, header map[string]string, body string) callerResult {
	req := testRequest(ctx, header, body)
	out := callerResult{ResponseRecorder: httptest.NewRecorder()}
	func() {
		defer func() {
			if r := recover(); r != nil {
				out.aborted = true
			}
		}()
		s.ServeHTTP(out, req)
	}()
	s.toUpstreams().forRequest(true).CloseIdleConnections()
	return out
}
