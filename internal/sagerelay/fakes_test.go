package sagerelay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// The headers of the tests' own dialect.
const (
	testID       = "Test-Id"
	testKey      = "Test-Key"
	testDeadline = "Test-Deadline"
	testTokens   = "Test-Tokens"
	testLast     = "Last-Event-Id"
	testSeal     = "Test-Seal"
	testNotRun   = "Test-Not-Run"
)

type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) (RequestMetadata, error) {
	c := RequestMetadata{ID: r.Header.Get(testID), Key: r.Header.Get(testKey), LastEventID: r.Header.Get(testLast)}
	if c.ID == "" {
		return c, errors.New("no id")
	}
	if ms, err := strconv.Atoi(r.Header.Get(testDeadline)); err == nil {
		c.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if n, err := strconv.Atoi(r.Header.Get(testTokens)); err == nil {
		c.Chain = sagechain.Chain{{ID: 1, Tokens: n}, {ID: 2}}
	}
	return c, nil
}

func (testDialect) SetForwardHeader(h http.Header, s *ForwardMetadata) {
	h.Set("Test-Instance", s.Upstream.ID)
	h.Set("Test-Account", s.Account)
	h.Del(testKey)
	if s.LastEventID != "" {
		h.Set(testLast, s.LastEventID)
	}
}

func (testDialect) ParseResponse(res *http.Response) ResponseMetadata {
	return ResponseMetadata{
		ID: res.Header.Get(testID), Sealed: res.Header.Get(testSeal) != "",
		NotRun:      res.Header.Get(testNotRun) != "" || res.StatusCode == http.StatusMisdirectedRequest,
		Misdirected: res.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (testDialect) SetRefusalHeader(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

// upstream answers one request on one connection. It returns when the connection is to be closed.
type upstream func(c net.Conn, req *http.Request)

// world is a fleet with scripted upstreams.
type world struct {
	table *sageroute.Table
	// upstreams by name, chosen in the order of names.
	upstreams map[string]upstream
	names     []string
	unfresh   bool
	trials    bool // this node sends trials of quarantined requests
	leaving   bool // the upstreams are about to stop
	budget    int

	mu      sync.Mutex
	sent    []*http.Request
	results []sagehealth.Result
	gone    []string
	begun   []int // tokens to read of streams that began
	answers []noted
	ran     int
	stopped []string // upstreams that no longer listen
	picks   func()   // called before each pick
}

func (f *world) Table() *sageroute.Table { return f.table }
func (f *world) ProofAge() time.Duration { return 0 }
func (f *world) Fresh() bool             { return !f.unfresh }
func (f *world) RecordFirstSend(string)  {}
func (f *world) AllowRetry(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget--
	return f.budget >= 0
}

func (f *world) Pick(q *Query) *Pick {
	if f.picks != nil {
		f.picks()
	}
	for _, n := range f.names {
		if !slices.Contains(q.Tried, n) {
			return &Pick{Upstream: &sageupstream.Entry{ID: n, Service: q.Service, Address: n + ":80"}, Done: func() {}}
		}
	}
	return nil
}

func (f *world) Usable(*sageupstream.Entry) bool  { return true }
func (f *world) Leaving(*sageupstream.Entry) bool { return f.leaving }

func (f *world) RecordPrompt(*sageupstream.Entry, sagechain.Chain) {}
func (f *world) RecordMisdirected(u *sageupstream.Entry)           { f.gone = append(f.gone, u.ID) }
func (f *world) RecordFirstEvent(p *Pick, _ time.Duration) {
	f.begun = append(f.begun, p.UncachedTokens)
}

func (f *world) RecordServiceTime(string, time.Duration) { f.ran++ }

func (f *world) PrefillTime(_ string, tokens int) time.Duration {
	return time.Duration(tokens) * 18 * time.Microsecond
}

func (f *world) AwaitCacheSync(context.Context, string, sagechain.Chain) {}

func (f *world) RecordResponse(_ *Pick, route string, a ResponseResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, noted{route, a})
}

func (f *world) RecordExchange(_ *sageupstream.Entry, r sagehealth.Result) {
	f.results = append(f.results, r)
}

func (f *world) dial(_ context.Context, _, address string) (net.Conn, error) {
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
		body, _ := io.ReadAll(req.Body) // a request that breaks off has no more body
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		f.mu.Lock()
		f.sent = append(f.sent, req)
		f.mu.Unlock()
		up(b, req)
	}()
	return a, nil
}

// noted is an answer that was reported to the fleet.
type noted struct {
	route string
	ResponseResult
}

// route is a route with usual figures; kinds differ per test.
func route(kind sageroute.Kind) sageroute.Route {
	return sageroute.Route{
		Name: "r", Host: "h.example", Prefix: "/", Kind: kind, MaxAttempts: 2, Timeout: 4 * time.Second,
		Objective: 300 * time.Millisecond, MaxEventGap: 500 * time.Millisecond, Resumable: kind == sageroute.Stream,
		Services: []sageroute.WeightedService{{Service: "s", Weight: 1}},
	}
}

func newWorld(t *testing.T, r sageroute.Route, ups map[string]upstream) *world {
	t.Helper()
	tab, err := sageroute.New(1, []sageroute.Route{r}, nil, []sageroute.Account{{Name: "acc", Keys: []string{"good"}}}, sageroute.Limits{BodyBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{table: tab, upstreams: ups, budget: 10}
	for n := range ups {
		w.names = append(w.names, n)
	}
	slices.Sort(w.names)
	t.Cleanup(func() { time.Sleep(2 * crashProbeAfter) }) // probes of broken exchanges end by then
	return w
}

// outcome is what the caller saw.
type outcome struct {
	*httptest.ResponseRecorder
	// broken says that the connection was closed in the middle.
	broken bool
}

func (f *world) service() *Service {
	s := &Service{Dialect: testDialect{}, Fleet: f, Metrics: metrics.NewSet(), Log: sagelog.Logger{}, Closing: func() bool { return false }, Quarantine: new(sagequarantine.Tracker),
		SendsTrials: func() bool { return f.trials }}
	s.upstreams.dial = f.dial
	return s
}

func (f *world) call(ctx context.Context, header map[string]string, body string) outcome {
	return f.callOn(ctx, f.service(), header, body)
}

func (f *world) callOn(ctx context.Context, s *Service, header map[string]string, body string) outcome {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/x?y=1", strings.NewReader(body))
	req.Header.Set(testID, "id1")
	req.Header.Set(testKey, "good")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	out := outcome{ResponseRecorder: httptest.NewRecorder()}
	func() {
		defer func() {
			if r := recover(); r != nil {
				out.broken = true
			}
		}()
		s.ServeHTTP(out, req)
	}()
	s.upstreams.of(true).CloseIdleConnections()
	return out
}

// reply writes a plain answer.
func reply(status int, header, body string) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, testID, req.Header.Get(testID), header, len(body), body)
	}
}

const seal = testSeal + ": s\r\n"

// events writes a stream in chunks: events from..to, and its end if whole.
func events(from, to int, whole bool) upstream {
	return func(c net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: from-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testID, req.Header.Get(testID), testSeal, from)
		for i := from; i <= to; i++ {
			e := fmt.Sprintf("id: %d\ndata: w%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
}

// silent reads the request and never answers.
func silent(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

// after answers with up once d has passed.
func after(d time.Duration, up upstream) upstream {
	return func(c net.Conn, req *http.Request) {
		time.Sleep(d)
		up(c, req)
	}
}

// crash closes the connection without an answer.
func crash(net.Conn, *http.Request) {}

// foreign answers for another request.
func foreign(c net.Conn, req *http.Request) {
	req.Header.Set(testID, "other")
	reply(200, seal, "theirs")(c, req)
}
