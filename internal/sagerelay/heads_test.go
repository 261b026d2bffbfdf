package sagerelay

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageroute"
)

// cutResponse is a response that is cut off.
type cutResponse struct {
	name, text string
	// before is how many bytes of a copy of another response precede it.
	before int
	stream bool
	// unframed is set if it ends with its connection.
	unframed bool
}

const (
	cutBody   = "from a"
	cutEvents = "id: 1\ndata: w1\n\nid: 2\ndata: w2\n\n"
	restEvent = "id: 3\ndata: w3\n\n"
)

// cutResponses returns the responses to the request with an ID.
func cutResponses(id string) []cutResponse {
	plain := responseText(200, id, sealHeader, cutBody)
	stream := responseText(200, id, sealHeader+"Content-Type: text/event-stream\r\n", cutEvents+restEvent)
	late := responseText(503, "id1", testNotRun+": 1\r\n", "late")
	withTrailer := func(response string) string {
		chunked := inChunks(response)
		return strings.TrimSuffix(chunked, "\r\n") + "T: 1\r\n\r\n"
	}
	unframed := func(response string) string {
		head, rest, _ := strings.Cut(response, "Content-Length: ")
		_, body, _ := strings.Cut(rest, "\r\n\r\n")
		return head + "\r\n" + body
	}
	lineFeeds := func(response string) string {
		head, body, _ := strings.Cut(response, "\r\n\r\n")
		return strings.ReplaceAll(head, "\r\n", "\n") + "\n\n" + body
	}
	const early, goOn = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"
	return []cutResponse{
		{name: "with length", text: plain},
		{name: "in chunks", text: inChunks(plain)},
		{name: "with trailer", text: withTrailer(plain)},
		{name: "without length", text: unframed(plain), unframed: true},
		{name: "LF, with length", text: lineFeeds(plain)},
		{name: "LF, in chunks", text: lineFeeds(inChunks(plain))},
		{name: "LF, without length", text: lineFeeds(unframed(plain)), unframed: true},
		{name: "103, with length", text: early + plain},
		{name: "100 and 103, in chunks", text: goOn + early + inChunks(plain)},
		{name: "103, without length", text: early + unframed(plain), unframed: true},
		{name: "behind a copy", text: late + plain, before: len(late)},
		{name: "behind a copy in chunks", text: inChunks(late) + inChunks(plain), before: len(inChunks(late))},
		{name: "behind a copy, without length", text: late + unframed(plain), before: len(late), unframed: true},
		{name: "stream with length", text: stream, stream: true},
		{name: "stream in chunks", text: inChunks(stream), stream: true},
		{name: "stream with trailer", text: withTrailer(stream), stream: true},
		{name: "stream without length", text: unframed(stream), stream: true, unframed: true},
		{name: "103, stream in chunks", text: early + inChunks(stream), stream: true},
		{name: "behind a copy, stream in chunks", text: late + inChunks(stream), before: len(late), stream: true},
	}
}

// cuts returns the places at which the response is cut so that it isn't complete. A plain one without length that is closed in order
// behind its head can't be distinguished from a short one, neither can a stream between two events.
func (r *cutResponse) cuts(end connEnd) []int {
	head := r.before
	for early := true; early; {
		early = strings.HasPrefix(r.text[head:], "HTTP/1.1 1")
		head += headEnd(r.text[head:])
	}
	var cuts []int
	for cut := range len(r.text) + 1 {
		complete := cut == len(r.text)
		switch {
		case r.unframed && end != endOrder:
			complete = false
		case r.unframed && r.stream:
			complete = cut > head && strings.HasSuffix(r.text[:cut], "\n\n")
		case r.unframed:
			complete = cut >= head
		}
		if !complete {
			cuts = append(cuts, cut)
		}
	}
	return cuts
}

// headEnd returns the length of the head with which a response begins.
func headEnd(response string) int {
	crlf, lf := strings.Index(response, "\r\n\r\n"), strings.Index(response, "\n\n")
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf + len("\r\n\r\n")
	}
	return lf + len("\n\n")
}

// routes returns the routes on which the response is tried.
func (r *cutResponse) routes() []sageroute.Route {
	if !r.stream {
		return []sageroute.Route{testRoute(sageroute.Once), testRoute(sageroute.Idempotent)}
	}
	single := testRoute(sageroute.Stream)
	single.Resumable = false
	return []sageroute.Route{single, testRoute(sageroute.Stream)}
}

// script returns the script of an upstream that serves the first request on its connection if the connection is to be reused, and
// cuts off the response to the next one.
func (r *cutResponse) script(reused bool, cut int, end connEnd) connScript {
	return func(c net.Conn, n int, _ *http.Request) bool {
		if reused && n == 1 {
			_, err := io.WriteString(c, responseText(503, "id1", testNotRun+": 1\r\n", ""))
			return err == nil
		}
		writeAndEnd(c, r.text[:cut], end)
		return false
	}
}

// serveRest is the script of an upstream that serves all requests, and the rest of a stream.
func serveRest(stream bool) connScript {
	return func(c net.Conn, _ int, req *http.Request) bool {
		text := responseText(200, req.Header.Get(testID), sealHeader, "from b")
		if stream {
			all := cutEvents + restEvent
			if last := req.Header.Get(testLast); last != "" && last != "0" {
				_, all, _ = strings.Cut(all, "data: w"+last+"\n\n")
			}
			text = responseText(200, req.Header.Get(testID), sealHeader+"Content-Type: text/event-stream\r\n", all)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// require checks what the caller of a response that was cut off got.
func (r *cutResponse) require(t *testing.T, route *sageroute.Route, out callerResult, sent int, end connEnd, at string) {
	t.Helper()
	body := out.Body.String()
	switch {
	case r.stream && route.Resumable:
		require.False(t, out.aborted, at)
		require.Equal(t, 200, out.Code, at)
		require.Equal(t, cutEvents+restEvent, body, at)
		require.Equal(t, 2, sent, at)
	case route.Repeatable():
		require.Equal(t, 200, out.Code, at)
		require.Equal(t, "from b", body, at)
		require.Equal(t, 2, sent, at)
	case r.stream && out.aborted:
		require.True(t, strings.HasPrefix(cutEvents+restEvent, body) && (body == "" || strings.HasSuffix(body, "\n\n")), "%s: %q", at, body)
		require.Equal(t, 1, sent, at)
	default:
		require.False(t, out.aborted, at)
		require.Equal(t, map[connEnd]int{endOrder: 502, endReset: 502, endOpen: 504}[end], out.Code, at)
		require.Empty(t, out.Header().Get(testSeal), at)
		require.Equal(t, 1, sent, at)
	}
}

// Prevents a response that is cut off at any byte of its head, body or trailer from looking complete, and its request from being
// executed twice, refused as not run, or lost although it may be repeated.
func TestResponsesCutAnywhere(t *testing.T) {
	for _, r := range cutResponses("id2") {
		for _, route := range r.routes() {
			for _, end := range []connEnd{endOrder, endReset, endOpen} {
				for _, reused := range []bool{false, true} {
					if !reused && r.before > 0 {
						continue // copies are skipped on reused connections
					}
					t.Run(fmt.Sprintf("%s/%s %t/%s/reused %t", r.name, route.Kind, route.Resumable, end, reused), func(t *testing.T) {
						for _, cut := range r.cuts(end) {
							synctest.Test(t, func(t *testing.T) {
								f := newFakeFleet(t, route, map[string]upstream{"a": nil, "b": nil})
								s := f.service()
								s.Dial = dialScripts(f, map[string]connScript{"a": r.script(reused, cut, end), "b": serveRest(r.stream)})
								if reused {
									proveReuse(s)
									serveOnce(t, s, "id1") // served by b
									synctest.Wait()
								}
								before := len(f.requests())
								out := serveOnce(t, s, "id2")
								s.CloseIdleConnections()
								r.require(t, &route, out, len(f.requests())-before, end, fmt.Sprintf("%q", r.text[:cut]))
							})
						}
					})
				}
			}
		}
	}
}

// Prevents the end of a real connection, inside a head or later, from being taken for the end of the response.
func TestResponsesCutAnywhereOverTCP(t *testing.T) {
	for _, end := range []connEnd{endOrder, endReset} {
		for i, r := range cutResponses("id000") {
			if r.before > 0 {
				continue // copies are skipped on reused connections
			}
			for _, route := range r.routes() {
				t.Run(fmt.Sprintf("%s/%s %t/%s", r.name, route.Kind, route.Resumable, end), func(t *testing.T) {
					// Otherwise a process that stands still takes the upstream for a stalled one.
					route.Objective, route.Timeout = time.Minute, time.Minute
					f := newFakeFleet(t, route, map[string]upstream{"a": nil, "b": nil})
					f.retryBudget = 1 << 20
					s := f.service()
					var next atomic.Value // what a writes
					a := func(c net.Conn, _ int, _ *http.Request) bool {
						writeAndEnd(c, next.Load().(string), end)
						return false
					}
					s.Dial = dialScriptsOverTCP(t, f, map[string]connScript{"a": a, "b": serveRest(r.stream)})
					for _, cut := range r.cuts(end) {
						id := fmt.Sprintf("id%03d", cut)
						text := cutResponses(id)[i].text[:cut]
						next.Store(text)
						before := len(f.requests())
						out := serveOnce(t, s, id)
						r.require(t, &route, out, len(f.requests())-before, end, fmt.Sprintf("%q", text))
					}
					s.CloseIdleConnections()
				})
			}
		}
	}
}

// Prevents a peer that ends inside a response from making it look complete, or from losing the requests that another peer may
// repeat.
func TestResponsesOfPeersCutAnywhere(t *testing.T) {
	for _, r := range cutResponses("id2") {
		if r.before > 0 {
			continue
		}
		head, rest, _ := strings.Cut(r.text, sealHeader[:len(sealHeader)-2])
		r.text = head + headerRelayUpstream + ": u\r\n" + sealHeader[:len(sealHeader)-2] + rest
		for _, route := range r.routes() {
			for _, end := range []connEnd{endOrder, endReset, endOpen} {
				t.Run(fmt.Sprintf("%s/%s %t/%s", r.name, route.Kind, route.Resumable, end), func(t *testing.T) {
					for _, cut := range r.cuts(end) {
						synctest.Test(t, func(t *testing.T) {
							f := newFakeFleet(t, route, nil)
							f.path, f.helpers = sagereach.Lost, []string{"a", "b"}
							s := f.service()
							s.peers.init(dialScripts(f, map[string]connScript{"a": r.script(false, cut, end), "b": serveRest(r.stream)}))
							out := serveOnce(t, s, "id2")
							s.peers.pooled.CloseIdleConnections()
							r.require(t, &route, out, len(f.requests()), end, fmt.Sprintf("%q", r.text[:cut]))
						})
					}
				})
			}
		}
	}
}

// Prevents a resumed stream whose second upstream ends inside its response from ending as complete, with a gap or with events
// twice.
func TestResumedStreamsCutAnywhere(t *testing.T) {
	first := func(c net.Conn, _ int, req *http.Request) bool {
		whole := responseText(200, req.Header.Get(testID), sealHeader+"Content-Type: text/event-stream\r\n", cutEvents+restEvent)
		writeAndEnd(c, whole[:strings.Index(whole, "ta: w2")], endOrder)
		return false
	}
	for _, r := range cutResponses("id2") {
		if !r.stream || r.before > 0 {
			continue
		}
		for _, end := range []connEnd{endOrder, endReset, endOpen} {
			for _, third := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/third %t", r.name, end, third), func(t *testing.T) {
					for _, cut := range r.cuts(end) {
						synctest.Test(t, func(t *testing.T) {
							route := testRoute(sageroute.Stream)
							scripts := map[string]connScript{"a": first, "b": r.script(false, cut, end)}
							ups := map[string]upstream{"a": nil, "b": nil}
							if third {
								route.MaxAttempts, scripts["c"], ups["c"] = 3, serveRest(true), nil
							}
							f := newFakeFleet(t, route, ups)
							s := f.service()
							s.Dial = dialScripts(f, scripts)
							out := serveOnce(t, s, "id2")
							s.CloseIdleConnections()
							require.Equal(t, !third, out.aborted, "%q", r.text[:cut])
							body := out.Body.String()
							if third {
								require.Equal(t, cutEvents+restEvent, body, "%q", r.text[:cut])
								require.Len(t, f.requests(), 3)
								return
							}
							require.True(t, strings.HasPrefix(cutEvents+restEvent, body) && strings.HasSuffix(body, "\n\n"), "%q: %q", r.text[:cut], body)
							require.Equal(t, "1", cmp.Or(f.requests()[1].Header.Get(testLast), "none"))
						})
					}
				})
			}
		}
	}
}
