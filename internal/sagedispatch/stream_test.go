package sagedispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

func wordEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: w%d\n\n", i, i)
	}
	return b.String()
}

func doneEvent(at int) string { return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", at) }

// engine responds to the n-th request for a stream with the n-th part. A part that ends with "!" aborts the
// connection, and "404" means that the stream no longer exists.
type engine struct {
	mu          sync.Mutex
	parts       []string
	ids         []string
	requestURIs []string
	boots       []string
	canceled    chan struct{}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		close(e.canceled)
		return
	}
	e.mu.Lock()
	n := len(e.requestURIs)
	e.requestURIs = append(e.requestURIs, r.URL.RequestURI())
	part := e.parts[min(n, len(e.parts)-1)]
	e.mu.Unlock()
	id := r.Header.Get(sagewire.HeaderRequestID)
	if n < len(e.ids) && e.ids[n] != "" {
		id = e.ids[n]
	}
	w.Header().Set(sagewire.HeaderRequestID, id)
	w.Header().Set(sagewire.HeaderBootID, e.boots[min(n, len(e.boots)-1)])
	w.Header().Set("Content-Type", "text/event-stream")
	if part == "404" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, broken := strings.CutSuffix(part, "!")
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
	if broken {
		panic(http.ErrAbortHandler)
	}
}

func (e *engine) wasCanceled() bool {
	select {
	case <-e.canceled:
		return true
	default:
		return false
	}
}

func TestStreams(t *testing.T) {
	for _, tt := range []struct {
		name      string
		parts     []string
		boots     []string
		ids       []string
		want      string
		complete  bool
		resumes   int
		resumeURI string
	}{
		{name: "complete", parts: []string{wordEvents(1, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true},
		{name: "keep-alive", parts: []string{wordEvents(1, 1) + ": hi\n\n" + doneEvent(2)}, want: wordEvents(1, 1) + ": hi\n\n" + doneEvent(2), complete: true},
		{name: "broken and resumed", parts: []string{wordEvents(1, 2) + "id: 3\nda!", wordEvents(3, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true, resumes: 1, resumeURI: "/v1/streams/r-1?after=2"},
		{name: "ends without done event", parts: []string{wordEvents(1, 2), wordEvents(3, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true, resumes: 1, resumeURI: "/v1/streams/r-1?after=2"},
		{name: "resumed with repeated events", parts: []string{wordEvents(1, 2) + "!", wordEvents(1, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true, resumes: 1},
		{name: "duplicate", parts: []string{wordEvents(1, 2) + wordEvents(2, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true},
		{name: "gap filled by resuming", parts: []string{wordEvents(1, 1) + wordEvents(3, 3), wordEvents(2, 3) + doneEvent(4)}, want: wordEvents(1, 3) + doneEvent(4), complete: true, resumes: 1, resumeURI: "/v1/streams/r-1?after=1"},
		{name: "done event after a gap", parts: []string{wordEvents(1, 1) + doneEvent(4)}, want: wordEvents(1, 1), resumes: DefaultMaxResumes},
		{name: "permanent gap", parts: []string{wordEvents(1, 1) + wordEvents(3, 3), wordEvents(3, 3)}, want: wordEvents(1, 1), resumes: DefaultMaxResumes},
		{name: "event without id", parts: []string{wordEvents(1, 1) + "data: x\n\n"}, want: wordEvents(1, 1)},
		{name: "stream no longer exists", parts: []string{wordEvents(1, 1) + "!", "404"}, want: wordEvents(1, 1), resumes: 1},
		{name: "upstream restarted", parts: []string{wordEvents(1, 1) + "!", wordEvents(2, 2) + doneEvent(3)}, boots: []string{"b1", "b2"}, want: wordEvents(1, 1), resumes: 1},
		{name: "resumed with the stream of another request", parts: []string{wordEvents(1, 1) + "!", wordEvents(2, 2) + doneEvent(3)}, ids: []string{"", "r-2", "r-2", "r-2", "r-2"}, want: wordEvents(1, 1), resumes: DefaultMaxResumes},
		{name: "upstream error", parts: []string{wordEvents(1, 1) + "event: error\ndata: oom\n\n"}, want: wordEvents(1, 1)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := &engine{parts: tt.parts, ids: tt.ids, boots: append(tt.boots, "b1")[:max(1, len(tt.boots))], canceled: make(chan struct{})}
			srv := httptest.NewServer(e)
			defer srv.Close()
			d := &Dispatcher{}
			defer d.Close()
			a := newAttempt(srv.Listener.Addr().String())
			a.Stream, a.Engine = true, true
			w := httptest.NewRecorder()
			res := d.Do(t.Context(), w, a)
			got, tail, failed := strings.Cut(w.Body.String(), "event: error\n")
			assert.Equal(t, tt.want, got)
			assert.Equal(t, !tt.complete, failed, "error event")
			assert.Equal(t, tt.complete, res.Outcome == sagewire.Complete, res.Detail)
			assert.Equal(t, tt.resumes, res.Resumes)
			if tt.resumeURI != "" {
				assert.Equal(t, tt.resumeURI, e.requestURIs[1])
			}
			if failed {
				ref, err := sagewire.DecodeRefusal([]byte(strings.TrimSpace(strings.TrimPrefix(tail, "data: "))))
				require.NoError(t, err)
				assert.Equal(t, sagewire.Unknown, ref.Outcome)
				d.cancels.Wait()
				assert.True(t, e.wasCanceled())
			}
		})
	}
}

// If the first event never arrives, another engine may serve the caller, so nothing may have been written.
func TestStreamWithoutFirstEventWritesNothing(t *testing.T) {
	e := &engine{parts: []string{"!", "404"}, boots: []string{"b"}, canceled: make(chan struct{})}
	srv := httptest.NewServer(e)
	defer srv.Close()
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(srv.Listener.Addr().String())
	a.Stream, a.Engine = true, true
	w := httptest.NewRecorder()
	res := d.Do(t.Context(), w, a)
	assert.False(t, res.ResponseStarted)
	assert.Equal(t, sagewire.Unknown, res.Outcome)
	assert.Empty(t, w.Header())
	assert.Empty(t, w.Body.String())
}

// brokenWriter fails every write, like a caller that has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("gone") }

// If the caller disconnects during a long stream, the engine must be sent a cancel request. Without it, the
// engine would generate the rest of the response for nobody.
func TestCancelIsSentWhenTheCallerLeaves(t *testing.T) {
	t.Run("write fails", func(t *testing.T) {
		e := &engine{parts: []string{wordEvents(1, 2)}, boots: []string{"b"}, canceled: make(chan struct{})}
		srv := httptest.NewServer(e)
		defer srv.Close()
		d := &Dispatcher{}
		defer d.Close()
		a := newAttempt(srv.Listener.Addr().String())
		a.Stream, a.Engine = true, true
		res := d.Do(t.Context(), brokenWriter{httptest.NewRecorder()}, a)
		assert.True(t, res.CallerGone)
		d.cancels.Wait()
		assert.True(t, e.wasCanceled())
	})
	t.Run("context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		canceled := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				close(canceled)
				return
			}
			cancel()
			<-r.Context().Done()
		}))
		defer srv.Close()
		d := &Dispatcher{}
		defer d.Close()
		a := newAttempt(srv.Listener.Addr().String())
		a.Engine, a.Body = true, nil
		a.Method = http.MethodGet
		res := d.Do(ctx, httptest.NewRecorder(), a)
		assert.True(t, res.CallerGone)
		assert.Equal(t, sagewire.Unknown, res.Outcome)
		<-canceled
	})
}

// Prevents losing a cancel request: written to an idle connection that the engine has closed, it would never
// arrive, and the engine would generate for a caller that has left.
func TestCancelAvoidsIdleConnections(t *testing.T) {
	canceled := make(chan struct{})
	s := startUpstream(t, func(_ int64, c net.Conn, req *http.Request) bool {
		if req.Method == http.MethodDelete {
			if req.Close {
				close(canceled)
			}
			return false
		}
		writeResponse(c, req.Header.Get(sagewire.HeaderRequestID), "ok")
		return true
	})
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(s.address())
	require.Equal(t, sagewire.Complete, d.Do(t.Context(), httptest.NewRecorder(), a).Outcome)
	d.sendCancel(a)
	d.cancels.Wait()
	select {
	case <-canceled:
	default:
		t.Fatal("the cancel used the idle connection")
	}
}

// If a large response is truncated after part of it was forwarded, the caller's connection must be aborted
// without an outcome: a properly terminated chunked body would look complete.
func TestLargeAnswerBrokenOff(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", cut), func(t *testing.T) {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(sagewire.HeaderRequestID, r.Header.Get(sagewire.HeaderRequestID))
				_, _ = w.Write(make([]byte, 100_000))
				if cut {
					panic(http.ErrAbortHandler)
				}
			}))
			defer up.Close()
			d := &Dispatcher{MaxBufferedBytes: 1000}
			defer d.Close()
			var res Result
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				a := newAttempt(up.Listener.Addr().String())
				a.AtMostOnce = true
				res = d.Do(r.Context(), w, a)
				if res.Abort {
					panic(http.ErrAbortHandler)
				}
			}))
			defer entry.Close()
			got, err := http.Get(entry.URL)
			require.NoError(t, err)
			b, err := io.ReadAll(got.Body)
			_ = got.Body.Close()
			if cut {
				require.Error(t, err)
				assert.Equal(t, sagewire.Unknown, res.Outcome)
				return
			}
			require.NoError(t, err)
			assert.Len(t, b, 100_000)
			assert.Equal(t, "complete", got.Trailer.Get(sagewire.HeaderOutcome))
			assert.Nil(t, res.Response, "too large to hold")
		})
	}
}

func BenchmarkStream(b *testing.B) {
	e := &engine{parts: []string{wordEvents(1, 500) + doneEvent(501)}, boots: []string{"b"}, canceled: make(chan struct{})}
	srv := httptest.NewServer(e)
	defer srv.Close()
	d := &Dispatcher{}
	defer d.Close()
	a := newAttempt(srv.Listener.Addr().String())
	a.Stream, a.Engine = true, true
	for b.Loop() {
		if res := d.Do(b.Context(), httptest.NewRecorder(), a); res.Outcome != sagewire.Complete {
			b.Fatal(res.Detail)
		}
	}
}

// Prevents a stream that hangs forever: the network path to the engine is cut after the second event, and no
// read fails. After the stall timeout, the stream must be resumed.
func TestUnresponsiveStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		d := &Dispatcher{Dial: func(context.Context, string, string) (net.Conn, error) {
			n++
			first := n == 1
			a, b := net.Pipe()
			go func() {
				req, err := http.ReadRequest(bufio.NewReader(b))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nConnection: close\r\n\r\n",
					sagewire.HeaderRequestID, req.Header.Get(sagewire.HeaderRequestID))
				if first {
					_, _ = io.WriteString(b, wordEvents(1, 2))
					_, _ = io.Copy(io.Discard, b)
					return
				}
				_, _ = io.WriteString(b, wordEvents(3, 3)+doneEvent(4))
				_ = b.Close()
			}()
			return a, nil
		}}
		defer d.Close()
		a := newAttempt("engine:1")
		a.Stream, a.Engine = true, true
		w := httptest.NewRecorder()
		res := d.Do(t.Context(), w, a)
		assert.Equal(t, sagewire.Complete, res.Outcome, res.Detail)
		assert.Equal(t, wordEvents(1, 3)+doneEvent(4), w.Body.String())
		assert.Equal(t, 1, res.Resumes)
	})
}
