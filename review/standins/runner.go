package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// repeatDelay is how late the second copy of an answer is.
const repeatDelay = 100 * time.Millisecond

// runner is an application runner that speaks HTTP/1.1 on plain connections.
type runner struct {
	id     string
	ledger *ledger
	// slots is the number of requests that it runs at once, queue that of those which wait; others are rejected.
	slots, queue int
	// work is how long a run takes.
	work time.Duration
	// repeats is the share of its answers that it sends a second time, late: repeatDelay later at the earliest, at the point
	// where the next answer on the connection is expected.
	repeats float64

	ln      net.Listener
	running chan struct{}

	mu       sync.Mutex
	inside   int
	answers  int
	repeated int
	conns    map[net.Conn]struct{}
}

// start listens on a free port and registers the runner.
func (r *runner) start(store *standin.Store) error {
	var err error
	if r.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("start %s: %w", r.id, err)
	}
	r.running, r.conns = make(chan struct{}, r.slots), make(map[net.Conn]struct{})
	go func() {
		for {
			c, err := r.ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	store.Put("servers", r.id, map[string]any{
		"service": appService, "address": r.ln.Addr().String(), "zone": "graz-nord", "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// stop closes the listener and all connections.
func (r *runner) stop() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// serve serves one connection, one request at a time.
func (r *runner) serve(c net.Conn) {
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	br := bufio.NewReader(c)
	var late []byte // the second copy of an answer
	var lateAt time.Time
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if late != nil && time.Now().After(lateAt) {
			r.ledger.write("%s sends a second, late answer, while %s waits for its own: %.60q", r.id, id, late)
			if _, err := c.Write(late); err != nil {
				r.ledger.write("%s: %v", r.id, err)
			}
			late = nil
		}
		b, rejected := r.answer(req, id)
		if _, err := c.Write(b); err != nil {
			return
		}
		if late == nil && r.repeat(rejected) {
			late, lateAt = b, time.Now().Add(repeatDelay)
		}
	}
}

// repeat counts an answer and reports whether it is sent a second time. The share holds for all answers; rejections are
// taken first.
func (r *runner) repeat(rejected bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if !rejected || float64(r.repeated+1) > r.repeats*float64(r.answers) {
		return false
	}
	r.repeated++
	return true
}

// answer runs a request, or rejects it, and returns the answer.
func (r *runner) answer(req *http.Request, id string) (b []byte, rejected bool) {
	const head = "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Runner-Id: " // the runner's id, further headers and the body follow
	reply := func(status int, headers, body string) []byte {
		return fmt.Appendf(nil, head+"%s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, r.id, headers, len(body), body)
	}
	switch {
	case req.URL.Path == "/healthz":
		return reply(http.StatusOK, "", ""), false
	case req.Header.Get("X-Expect-Instance") != r.id:
		return reply(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", ""), false
	case !r.enter():
		r.ledger.write("%s rejected at %s, full", id, r.id)
		return reply(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", ""), true
	}
	defer r.leave()
	r.running <- struct{}{}
	defer func() { <-r.running }()
	r.ledger.ran(id, r.id)
	time.Sleep(r.work)
	return reply(http.StatusOK, "X-Response-Seal: "+sealOf(id)+"\r\nContent-Type: text/plain\r\n", bodyOf(id)), false
}

func (r *runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inside >= r.slots+r.queue {
		return false
	}
	r.inside++
	return true
}

func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside--
}

// sealOf and bodyOf return what a runner answers to a request.
func sealOf(id string) string { return "seal-" + id }
func bodyOf(id string) string { return fmt.Sprintf("%-800s", "answer to "+id) }

// sleep waits and reports whether ctx still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
