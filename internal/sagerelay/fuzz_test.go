package sagerelay

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageroute"
)

// Sizes of the runs of faulty upstreams.
const (
	faultySeeds    = 400
	faultyChoices  = 600 // per seed, more than a run uses
	faultyRequests = 8
	faultyEvents   = 3 // of a complete stream
)

// choices are the decisions of a run, one byte each; all are 0 once they are used up.
type choices struct {
	mu   sync.Mutex
	left []byte
}

// n returns a number below n.
func (c *choices) n(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.left) == 0 || n < 2 {
		return 0
	}
	v := int(c.left[0])
	c.left = c.left[1:]
	if n > 256 && len(c.left) > 0 {
		v, c.left = v<<8|int(c.left[0]), c.left[1:]
	}
	return v % n
}

func (c *choices) of(list ...string) string { return list[c.n(len(list))] }

// choicesOf returns the decisions of a seed.
func choicesOf(seed uint64) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	b := make([]byte, faultyChoices)
	_, _ = rand.NewChaCha8(key).Read(b) // never fails
	return b
}

// execution is what an upstream that executed a request responds.
type execution struct {
	status     int
	seal, body string
}

// faultyUpstreams are upstreams that write what the protocol allows a faulty one, and know which requests they executed.
type faultyUpstreams struct {
	*choices
	route sageroute.Route
	mu    sync.Mutex
	runs  map[string][]execution
	trace []string
}

func (u *faultyUpstreams) log(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trace = append(u.trace, fmt.Sprintf(format, args...))
}

// executions returns what the upstreams responded that executed a request.
func (u *faultyUpstreams) executions(id string) []execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.runs[id])
}

// wireResponse is a response as it is written.
type wireResponse struct {
	head, body string
	framing    string // "length", "chunks" or "unframed"
	stream     bool
}

func (r *wireResponse) text() string { return r.head + r.body }

// events returns the events of a complete stream from a number on. Those of a stream that can be resumed are the same everywhere.
func (u *faultyUpstreams) events(id, name string, from int) string {
	var b strings.Builder
	for i := from; i <= faultyEvents; i++ {
		if u.route.Resumable {
			name = "any"
		}
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s by %s\n\n", i, i, id, name)
	}
	return b.String()
}

// respond executes a request or rejects it, and returns the response.
func (u *faultyUpstreams) respond(name string, req *http.Request) *wireResponse {
	id := req.Header.Get(testID)
	header := testID + ": " + id + "\r\n"
	switch kind := u.n(10); kind {
	case 0, 1: // the second one without ID
		status := []int{503, 429, 421, 400}[u.n(3+kind)]
		if kind == 1 {
			header = ""
		}
		u.log("%s rejects %s with %d, kind %d", name, id, status, kind)
		return u.frame(status, header+testNotRun+": 1\r\n", u.of("", "no"), false)
	case 2:
		status := []int{500, 504, 503, 429}[u.n(4)]
		x := execution{status: status, seal: name + "-" + id, body: "failure of " + id + " at " + name}
		u.record(id, x)
		return u.frame(status, header+testSeal+": "+x.seal+"\r\n", x.body, false)
	}
	x := execution{status: 200, seal: name + "-" + id}
	stream := u.route.Kind == sageroute.Stream
	if stream {
		last, _ := strconv.Atoi(req.Header.Get(testLast)) // 0 if the stream begins
		x.body = u.events(id, name, last+1)
		header += "Content-Type: text/event-stream\r\n"
	} else if long := u.n(3); long > 0 {
		x.body = "body of " + id + " at " + name + strings.Repeat(".", []int{0, 0, 400}[long])
	}
	u.record(id, x)
	return u.frame(200, header+testSeal+": "+x.seal+"\r\n", x.body, stream)
}

func (u *faultyUpstreams) record(id string, x execution) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id] = append(u.runs[id], x)
	u.trace = append(u.trace, fmt.Sprintf("run of %s: %d %s", id, x.status, x.seal))
}

// frame returns a response with one of the framings.
func (u *faultyUpstreams) frame(status int, header, body string, stream bool) *wireResponse {
	r := &wireResponse{framing: u.of("length", "chunks", "length", "unframed"), body: body, stream: stream}
	switch r.framing {
	case "length":
		header += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case "chunks":
		header += "Transfer-Encoding: chunked\r\n"
		r.body = ""
		for len(body) > 0 {
			n := 1 + u.n(len(body))
			r.body += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		r.body += "0\r\n" + u.of("", "T: 1\r\n") + "\r\n"
	}
	r.head = fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), header)
	if u.n(6) == 1 {
		r.head = strings.ReplaceAll(r.head, "\r\n", "\n")
	}
	switch u.n(8) {
	case 1:
		r.head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + r.head
	case 2:
		r.head = "HTTP/1.1 100 Continue\r\n\r\n" + r.head
	}
	return r
}

// garbage returns bytes that are no response to any request.
func (u *faultyUpstreams) garbage() string {
	return u.of("x", "\r\n", "\x00\xff\x80", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 050 X\r\n\r\n", "HTTP/1.1 200 OK\r\n"+testSeal+": s\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/2.0 503 X\r\n"+testNotRun+": 1\r\n", "HTTP/1.1  503 X\r\n"+testNotRun+": 1\r\n", "id: 1\ndata: x\n\n", "0\r\n\r\n",
		responseText(503, "", testNotRun+": 1\r\n", ""), responseText(421, "", testNotRun+": 1\r\n", "no"),
		"HTTP/1.1 503 X\r\n"+testNotRun+": 1", "HTTP/1.1 421 X\r\nY: ", "HTTP/1.1 429 ")
}

// script returns the script of one connection.
func (u *faultyUpstreams) script(name string) connScript {
	var earlier []string // responses that may come again, without the informational ones
	return func(c net.Conn, _ int, req *http.Request) bool {
		id := req.Header.Get(testID)
		own := u.respond(name, req)
		text, late := own.text(), ""
		if len(earlier) > 0 {
			late = earlier[u.n(len(earlier))]
		}
		send := func(what, text string, end connEnd) bool {
			u.log("%s, response to %s, %s: %q, %s", name, id, what, text, end)
			if end == "" {
				_, err := io.WriteString(c, text)
				return err == nil
			}
			writeAndEnd(c, text, end)
			return false
		}
		keep, end := own.framing != "unframed", connEnd("")
		if !keep {
			end = endOrder
		}
		switch damage := u.n(16); {
		case damage == 1:
			limit := len(text)
			if !keep {
				limit = len(own.head) // nothing shows later that it isn't complete
			}
			return send("cut", text[:u.n(limit)], endOrder)
		case damage == 2:
			return send("cut", text[:u.n(len(text))], endReset)
		case damage == 3:
			return send("cut", text[:u.n(len(text))], endOpen)
		case damage == 4 && late != "":
			return send("after a copy", late+text, end)
		case damage == 5 && late != "":
			return send("after a cut copy", late[:1+u.n(len(late)-1)]+text, end)
		case damage == 6:
			return send("after garbage", u.garbage()+text, end)
		case damage == 7:
			return send("garbage instead", u.garbage(), []connEnd{endOrder, endReset, endOpen}[u.n(3)])
		case damage == 8 && late != "":
			return send("a copy instead", late, []connEnd{endOrder, endReset, endOpen}[u.n(3)])
		case damage == 9 && late != "":
			cut := u.n(len(text))
			missing := len(text) - cut
			if id := strings.Index(late, testID); own.framing == "length" && !own.stream && cut >= len(own.head) && missing < id+strings.Index(late[id:], "\n")+1 {
				late = "" // a body with a part of another head that doesn't show its ID, which nodes can't detect
			}
			return send("a copy inside", text[:cut]+late, []connEnd{endReset, endOpen}[u.n(2)])
		case damage == 10 && keep:
			extra := u.garbage()
			if u.n(2) == 1 {
				extra = text
			}
			if u.n(2) == 1 && late != "" {
				extra = late
			}
			if u.n(2) == 1 {
				return send("with extra bytes", text+extra, "")
			}
			if !send("whole", text, "") {
				return false
			}
			time.Sleep(time.Millisecond)
			return send("extra bytes later", extra, "")
		case damage == 11:
			head := strings.Replace(text, "HTTP/1.1 ", "HTTP/1.1 "+u.of("101", "000", "099")+" X\r\nY: ", 1)
			return send("with a status that ends no exchange", head, endOpen)
		}
		earlier = append(earlier, text[strings.LastIndex(own.head, "HTTP/1."):])
		return send("whole", text, end)
	}
}

// outcomes counts how requests ended.
type outcomes struct{ complete, cut, failures, refused, unknown int }

// checkFaultyUpstreams sends requests to upstreams that follow the decisions, and checks what their callers get.
func checkFaultyUpstreams(t *testing.T, decisions []byte, total *outcomes) {
	u := &faultyUpstreams{choices: &choices{left: decisions}, runs: make(map[string][]execution)}
	u.route = testRoute([]sageroute.Kind{sageroute.Once, sageroute.Idempotent, sageroute.Stream, sageroute.Stream}[u.n(4)])
	u.route.Resumable = u.route.Kind == sageroute.Stream && u.n(2) == 1
	f := newFakeFleet(t, u.route, map[string]upstream{"a": nil, "b": nil})
	f.retryBudget = 1 << 20
	s := f.service()
	s.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := resettablePipe()
		go serveConn(far, u.script(strings.TrimSuffix(address, ":80")), f)
		return near, nil
	}
	proveReuse(s)
	defer func() {
		s.CloseIdleConnections()
		if t.Failed() {
			t.Logf("route %s, resumable %t:\n%s", u.route.Kind, u.route.Resumable, strings.Join(u.trace, "\n"))
		}
	}()
	var refused []string
	for i := range faultyRequests {
		id := fmt.Sprintf("r%d", i+1)
		method, body := http.MethodPost, "body"
		if i%2 == 1 {
			method, body = http.MethodGet, "" // net/http may send it again on its own
		}
		out := serveMethod(t, s, id, method, body)
		u.log("caller of %s: %d, aborted %t, seal %q: %q", id, out.Code, out.aborted, out.Header().Get(testSeal), out.Body.String())
		if u.check(t, id, out, total) {
			refused = append(refused, id)
		}
		if u.n(2) == 1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.CloseIdleConnections()
	time.Sleep(10 * time.Second) // nothing runs later
	for _, id := range refused {
		require.Empty(t, u.executions(id), "%s was refused as not run", id)
	}
	if u.route.Repeatable() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, runs := range u.runs {
		require.Len(t, runs, 1, "%s may run once", id)
	}
}

// check checks what the caller of a request got, and reports whether that is the promise that the request is never executed.
func (u *faultyUpstreams) check(t *testing.T, id string, out callerResult, total *outcomes) bool {
	t.Helper()
	runs, body, seal := u.executions(id), out.Body.String(), out.Header().Get(testSeal)
	fits := func(x execution) bool {
		whole := x.body
		if u.route.Kind == sageroute.Stream && x.status == 200 && u.route.Resumable {
			whole = u.events(id, "", 1)
		}
		if out.aborted {
			return strings.HasPrefix(whole, body) && (body == "" || strings.HasSuffix(body, "\n\n"))
		}
		return x.status == out.Code && whole == body
	}
	switch {
	case out.aborted && body == "":
		total.cut++
	case out.aborted:
		require.True(t, u.route.Kind == sageroute.Stream && slices.ContainsFunc(runs, fits), "%s: the beginning of its stream", id)
		total.cut++
	case seal != "":
		i := slices.IndexFunc(runs, func(x execution) bool { return x.seal == seal })
		require.GreaterOrEqual(t, i, 0, "%s: the seal of its upstream", id)
		require.True(t, fits(runs[i]), "%s: its own status and whole body", id)
		if out.Code == http.StatusOK {
			total.complete++
		} else {
			total.failures++
		}
	case promisesNotRun(out.Code):
		require.Empty(t, runs, "%s was refused as not run", id)
		total.refused++
		return true
	default:
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, out.Code, "%s: without seal", id)
		total.unknown++
	}
	return false
}

// seedsOfFaults are seeds beyond the fixed ones that have shown faults.
var seedsOfFaults = []uint64{15851}

// faultySeedsOf returns the seeds that are run: fixed ones, or FIRST:LAST of the environment.
func faultySeedsOf(t *testing.T) []uint64 {
	t.Helper()
	first, last, found := uint64(1), uint64(faultySeeds), seedsOfFaults
	if text := os.Getenv("SAGESTAND_FAULTY_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d:%d", &first, &last)
		require.NoError(t, err)
		found = nil
	}
	seeds := slices.Clone(found)
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Prevents what a faulty upstream writes on a kept connection from reaching a caller as the response to its request, and from causing
// a false promise that it isn't executed, or a second execution.
func TestFaultyUpstreams(t *testing.T) {
	seeds := faultySeedsOf(t)
	var total outcomes
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFaultyUpstreams(t, choicesOf(seed), &total) })
		})
	}
	t.Logf("%+v", total)
	if len(seeds) >= faultySeeds {
		require.Positive(t, min(total.complete, total.cut, total.failures, total.refused, total.unknown), "all outcomes occur: %+v", total)
	}
}

// FuzzFaultyUpstreams is like TestFaultyUpstreams for any decisions.
func FuzzFaultyUpstreams(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(choicesOf(seed + 1))
	}
	f.Fuzz(func(t *testing.T, decisions []byte) {
		synctest.Test(t, func(t *testing.T) { checkFaultyUpstreams(t, decisions, new(outcomes)) })
	})
}
