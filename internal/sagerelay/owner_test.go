package sagerelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

// connScript handles the requests on one connection to an upstream; n counts them from 1. Its result says whether the
// connection is kept.
type connScript func(c net.Conn, n int, req *http.Request) bool

// scriptedService returns a service before two upstreams: "a" follows the script on each connection, "b" serves all.
func scriptedService(f *fakeFleet, a connScript) *Service {
	s := f.service()
	s.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go runScript(far, address == "a:80", a, f)
		return near, nil
	}
	return s
}

func runScript(c net.Conn, first bool, a connScript, f *fakeFleet) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a truncated request ends the loop
		f.mu.Lock()
		f.sent = append(f.sent, req)
		f.mu.Unlock()
		if !first {
			respond(200, sealHeader, "from b")(c, req)
		} else if !a(c, n, req) {
			return
		}
	}
}

// serveID sends a request with an ID through a service.
func serveID(t *testing.T, s *Service, id string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, testRequest(t.Context(), map[string]string{testID: id}, "body"))
	return w
}

// responseText returns a response as it is written. Without an ID, the response has none.
func responseText(status int, id, header, body string) string {
	if id != "" {
		header = testID + ": " + id + "\r\n" + header
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// Prevents a late second copy of an earlier response from being taken for the response to the next request on the
// connection: that request runs, and would be sent to another upstream or refused as not run.
func TestLateCopyOfEarlierResponse(t *testing.T) {
	const all = testLeaving + ": 1\r\n" + testPause + ": 1m\r\n" + testBrittle + ": 1\r\n"
	copies := []struct {
		name   string
		status int
		header string
		noID   bool
	}{
		{"rejection", 503, testNotRun + ": 1\r\n", false},
		{"rejection without an ID", 503, testNotRun + ": 1\r\n", true},
		{"rejection that says all about its upstream", 503, testNotRun + ": 1\r\n" + all, false},
		{"rejection that says all about its upstream, without an ID", 503, testNotRun + ": 1\r\n" + all, true},
		{"misdirected", 421, "", false},
		{"misdirected without an ID", 421, "", true},
		{"success", 200, sealHeader, false},
		{"success that says all about its upstream", 200, sealHeader + all, false},
		{"error", 500, sealHeader, false},
	}
	positions := []struct {
		name string
		// write returns what the upstream writes as the response to the second request.
		write func(late, own string) string
		// skipped and rejected are the counts of foreign responses.
		skipped, rejected uint64
		// once is the status of a request that must be executed at most once, again whether another is sent to b.
		once  int
		again bool
	}{
		{"before its response", func(late, own string) string { return late + own }, 1, 0, 200, false},
		{"before its response, twice", func(late, own string) string { return late + late + own }, 2, 0, 200, false},
		{"before its response, without end", func(late, own string) string { return strings.Repeat(late, 20) + own }, 8, 1, 502, true},
		{"in chunks before its response", func(late, own string) string { return inChunks(late) + own }, 1, 0, 200, false},
		{"before its response, too long", func(late, own string) string {
			return strings.Replace(late, "Content-Length: 4", "Content-Length: 9999999", 1) + own
		}, 0, 1, 502, true},
		{"in place of its response", func(late, _ string) string { return late }, 1, 0, 504, true},
	}
	for _, kind := range []sageroute.Kind{sageroute.Once, sageroute.Idempotent} {
		for _, c := range copies {
			for _, p := range positions {
				t.Run(fmt.Sprintf("%s/%s/%s", kind, c.name, p.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFakeFleet(t, testRoute(kind), map[string]upstream{"a": nil, "b": nil})
						id := "id1"
						if c.noID {
							id = ""
						}
						late := responseText(c.status, id, c.header, "late")
						ran := 0
						s := scriptedService(f, func(w net.Conn, n int, req *http.Request) bool {
							if req.Header.Get(testID) == "id1" {
								_, err := io.WriteString(w, responseText(c.status, id, c.header, ""))
								return err == nil
							}
							ran++
							out := responseText(200, "id2", sealHeader, "from a")
							if n > 1 {
								out = p.write(late, out)
							}
							_, err := io.WriteString(w, out)
							return err == nil
						})
						proveReuse(s)
						serveID(t, s, "id1")
						synctest.Wait()
						left, paused := len(f.left), f.pauses.PausedUntil(sageclock.Now(), "a")
						misdirected, declined, brittle, answers := len(f.misdirected), len(f.declined), len(f.maxDeclines), len(f.answers)

						w := serveID(t, s, "id2")
						synctest.Wait()
						s.toUpstreams().pooled.CloseIdleConnections()
						require.Equal(t, 1, ran)
						switch {
						case c.noID: // no request follows on its connection
							require.Equal(t, http.StatusOK, w.Code)
							require.Equal(t, "from a", w.Body.String())
							return
						case p.again && kind == sageroute.Once:
							require.Equal(t, p.once, w.Code, "it may have run")
							require.Equal(t, answers, len(f.answers))
						case p.again:
							require.Equal(t, http.StatusOK, w.Code)
							require.Equal(t, "from b", w.Body.String())
						default:
							require.Equal(t, http.StatusOK, w.Code)
							require.Equal(t, "from a", w.Body.String())
						}
						if w.Code == http.StatusOK {
							require.Equal(t, answers+1, len(f.answers), "its own")
						}
						require.Equal(t, []int{left, misdirected, declined, brittle}, []int{len(f.left), len(f.misdirected), len(f.declined), len(f.maxDeclines)},
							"it says nothing about its upstream")
						require.Equal(t, paused, f.pauses.PausedUntil(sageclock.Now(), "a"))
						require.Equal(t, p.skipped, foreignResponses(s, "skipped"))
						require.Equal(t, p.rejected, foreignResponses(s, "rejected"))
					})
				})
			}
		}
	}
}

// foreignResponses returns the count of responses to other requests with an outcome.
func foreignResponses(s *Service, outcome string) uint64 {
	return s.Metrics.GetOrCreateCounter(`sagestand_foreign_responses_total{service="s",outcome="` + outcome + `"}`).Get()
}

// inChunks returns a response with the body in chunks.
func inChunks(response string) string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	head, _, _ = strings.Cut(head, "Content-Length: ")
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// Prevents a late copy of an earlier response that comes between the head and the body, or between events, from being passed
// on as a part of the response.
func TestLateCopyInsideResponse(t *testing.T) {
	late := responseText(503, "id1", testNotRun+": 1\r\n", "")
	plain := responseText(200, "id2", sealHeader, strings.Repeat("x", 200))
	short := responseText(200, "id2", sealHeader, "a short response")
	stream := responseText(200, "id2", sealHeader+"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	unframed := strings.Replace(stream, "Content-Length: ", "Connection: close\r\nNo-Length: ", 1)
	long := responseText(200, "id2", sealHeader, "an HTTP/1.1 200 OK, "+strings.Repeat("y", 50)+strings.Repeat("x", 200))
	tight := responseText(200, "id2", sealHeader, strings.Repeat("y", 50)+strings.Repeat("x", strings.Index(late, testNotRun)+4))
	for _, c := range []struct {
		name, response string
		before         string // the text before which the copy comes
		stream         bool
		passed         string // what the caller gets of a stream
	}{
		{"before a body", plain, "xxx", false, ""},
		{"before a short body", short, "a short", false, ""},
		{"in chunks", inChunks(plain), "c8\r\n", false, ""},
		{"before events", stream, "id: 1", true, ""},
		{"between events", stream, "id: 2", true, "id: 1\ndata: a\n\n"},
		{"between events without length", unframed, "id: 2", true, "id: 1\ndata: a\n\n"},
		{"inside an event", stream, "data: b", true, "id: 1\ndata: a\n\n"},
		{"inside a line of an event", unframed, "b\n", true, "id: 1\ndata: a\n\n"},
		{"inside the name of an event's field", unframed, "ta: b", true, "id: 1\ndata: a\n\n"},
		{"inside a line of an event, with length", strings.Replace(stream, "Content-Length: ", "Content-Length: 9", 1), "b\n", true, "id: 1\ndata: a\n\n"},
		{"inside a body", long, "xxx", false, ""},
		{"inside a body, up to its ID", tight, "xxx", false, ""},
		{"inside a body, lines end with LF", strings.ReplaceAll(long, "\r\n", "\n"), "xxx", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := testRoute(sageroute.Once)
				if c.stream {
					r = testRoute(sageroute.Stream)
					r.Resumable = false
				}
				f := newFakeFleet(t, r, map[string]upstream{"a": nil})
				s := scriptedService(f, func(w net.Conn, n int, _ *http.Request) bool {
					out := late
					if n == 2 {
						out = strings.Replace(c.response, c.before, late+c.before, 1)
					}
					_, err := io.WriteString(w, out)
					return err == nil && n == 1
				})
				proveReuse(s)
				serveID(t, s, "id1")
				synctest.Wait()
				w := httptest.NewRecorder()
				defer func() {
					if c.passed != "" {
						require.Equal(t, http.ErrAbortHandler, recover(), "a truncated stream isn't complete")
					}
					require.Equal(t, c.passed, strings.TrimPrefix(w.Body.String(), `{"reason":"answer_lost"}`))
					if c.passed == "" {
						require.Equal(t, http.StatusBadGateway, w.Code)
					}
				}()
				s.ServeHTTP(w, testRequest(t.Context(), map[string]string{testID: "id2"}, "body"))
			})
		})
	}
}

// Prevents bodies and events that speak of HTTP, or hold a response to the same request, from being rejected.
func TestTextOfResponseInsideResponse(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK is a status line,\r\n\r\nHTTP/1.1 503 another",
		"curl prints HTTP/1.1 200 OK\r\nServer: x\r\n\r\nand HTTP/1.1 404 Not Found\r\nServer: y\r\n",
		"an echo: HTTP/1.1 200 OK\r\n" + testID + ": id2\r\n\r\n",
	} {
		for _, stream := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r, header, body := testRoute(sageroute.Once), sealHeader, text
				if stream {
					r, header, body = testRoute(sageroute.Stream), header+"Content-Type: text/event-stream\r\n", "id: 1\ndata: "+strings.NewReplacer("\r\n\r\n", "\r\ndata: ", "\r\n", "\r\nx-").Replace(text)+"\n\n"
					r.Resumable = false
				}
				f := newFakeFleet(t, r, map[string]upstream{"a": nil})
				s := scriptedService(f, func(w net.Conn, _ int, req *http.Request) bool {
					_, err := io.WriteString(w, responseText(200, req.Header.Get(testID), header, body))
					return err == nil
				})
				proveReuse(s)
				for _, id := range []string{"id1", "id2", "id2"} {
					if id == "id1" && strings.Contains(text, "id2") {
						continue
					}
					w := serveID(t, s, id)
					synctest.Wait()
					require.Equal(t, http.StatusOK, w.Code)
					require.Equal(t, body, w.Body.String())
				}
				s.toUpstreams().pooled.CloseIdleConnections()
				require.Positive(t, s.Metrics.GetOrCreateCounter(`sagestand_upstream_connections_total{service="s",event="reused"}`).Get())
			})
		}
	}
}

// Prevents requests from being held up at upstreams whose rejections have no ID, and such a rejection from being believed of a
// request that must be executed at most once.
func TestRejectionsWithoutIDEndInTime(t *testing.T) {
	for _, kind := range []sageroute.Kind{sageroute.Once, sageroute.Idempotent} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, testRoute(kind), map[string]upstream{"a": nil, "b": nil})
			f.retryBudget = 100
			var conns atomic.Int64
			s := scriptedService(f, func(w net.Conn, n int, req *http.Request) bool {
				if n == 1 {
					conns.Add(1)
				}
				out := responseText(200, req.Header.Get(testID), sealHeader, "from a")
				if n%3 == 0 {
					out = responseText(503, "", testNotRun+": 1\r\n", "")
				}
				_, err := io.WriteString(w, out)
				return err == nil
			})
			proveReuse(s)
			codes := make(map[int]int)
			for i := range 30 {
				start := time.Now()
				codes[serveID(t, s, fmt.Sprint("id", i)).Code]++
				require.LessOrEqual(t, time.Since(start), testRoute(kind).Objective, "it isn't held up")
			}
			synctest.Wait()
			s.toUpstreams().pooled.CloseIdleConnections()
			require.Empty(t, f.declined, "nothing shows whom the upstream rejected")
			if kind == sageroute.Once {
				require.Equal(t, map[int]int{http.StatusOK: 20, http.StatusBadGateway: 10}, codes)
			} else {
				require.Equal(t, map[int]int{http.StatusOK: 30}, codes)
			}
			require.Equal(t, int64(10), conns.Load(), "each rejection without an ID ends the use of its connection")
		})
	}
}

// Prevents the request that has a connection next from getting what is left of one whose response was another's.
func TestConnectionWithForeignResponseIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Once), map[string]upstream{"a": nil, "b": nil})
		s := scriptedService(f, func(w net.Conn, n int, req *http.Request) bool {
			own := responseText(200, req.Header.Get(testID), sealHeader, "own")
			if n == 2 {
				own = responseText(200, "id0", sealHeader, strings.Repeat("another's", 200_000)) + own
			}
			_, err := io.WriteString(w, own)
			return err == nil
		})
		proveReuse(s)
		for i, code := range []int{200, 502, 200, 502, 200} {
			w := serveID(t, s, fmt.Sprint("id", i+1))
			synctest.Wait()
			require.Equal(t, code, w.Code, i)
			if code == http.StatusOK {
				require.Equal(t, "own", w.Body.String())
			}
		}
		s.toUpstreams().pooled.CloseIdleConnections()
	})
}

// Prevents a late copy of a peer's refusal from being taken for the refusal of the next request on the connection, and what
// it says about an upstream from being believed.
func TestLateCopyOfPeerResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, testRoute(sageroute.Idempotent), nil)
		f.path, f.helpers = sagereach.Lost, []string{"p1", "p2"}
		s := f.service()
		refusal := responseText(503, "id1", headerRelayRefusal+": "+string(RelayBusy)+"\r\n"+headerRelayUpstream+": u\r\n"+testLeaving+": 1\r\n", "")
		p1 := func(c net.Conn, n int, req *http.Request) bool {
			out := refusal
			if n > 1 {
				out += responseText(200, req.Header.Get(testID), sealHeader, "from p1")
			}
			_, err := io.WriteString(c, out)
			return err == nil
		}
		s.peers.init(func(_ context.Context, _, address string) (net.Conn, error) {
			near, far := net.Pipe()
			go runScript(far, address == "p1:80", p1, f)
			return near, nil
		})
		require.Equal(t, "from b", serveID(t, s, "id1").Body.String())
		synctest.Wait()
		require.Equal(t, []string{"u"}, f.left)
		require.Equal(t, "from p1", serveID(t, s, "id2").Body.String())
		require.Equal(t, []string{"u"}, f.left, "learned from the first response only")
		require.Equal(t, []string{"p1"}, f.refusedBy, "p1 hasn't refused the second request")
		synctest.Wait()
		s.peers.pooled.CloseIdleConnections()
	})
}

// Prevents a peer that refuses requests at its door from losing its connections, since nothing shows whose refusals they are.
func TestRefusalOfRelayedRequestHasID(t *testing.T) {
	for _, change := range []func(f *fakeFleet){
		func(f *fakeFleet) { f.saturated = true },
		func(f *fakeFleet) { f.path = sagereach.Lost },
		func(f *fakeFleet) { f.stale = true },
	} {
		f := newFakeFleet(t, testRoute(sageroute.Once), nil)
		change(f)
		w := httptest.NewRecorder()
		f.service().ServeRelayed(w, testRequest(t.Context(), map[string]string{headerRelayFrom: "vm2", headerRelayService: "s"}, ""))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get(headerRelayRefusal))
		require.Equal(t, "id1", w.Header().Get(testID))
	}
}
