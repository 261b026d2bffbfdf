package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// engine is a model runner. Its streams have no length and end with their connection, as the pages allow.
type engine struct {
	id     string
	ledger *ledger
	// events is the number of events of a stream, gap the pause between two of them.
	events int
	gap    time.Duration

	ln    net.Listener
	born  int64
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	gone  bool
}

// start listens on a free port and registers the engine.
func (e *engine) start(store *standin.Store) error {
	var err error
	if e.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("start %s: %w", e.id, err)
	}
	e.conns, e.born = make(map[net.Conn]struct{}), time.Now().UnixMilli()
	go func() {
		for {
			c, err := e.ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	e.register(store, "ready", 1)
	return nil
}

func (e *engine) register(store *standin.Store, state string, sequence int) {
	store.Put("servers", e.id, map[string]any{
		"service": engineService, "address": e.ln.Addr().String(), "zone": "graz-nord", "version": "v1", "slots": 64,
		"state": state, "cold_left_ms": 0, "sequence": sequence, "born": e.born,
	})
}

// exit ends the engine as the end of its process does: the listener and all connections are closed. Then its entry is
// removed.
func (e *engine) exit(store *standin.Store) {
	e.mu.Lock()
	e.gone = true
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	store.Delete("servers", e.id)
}

// track notes a connection; false if the engine has ended.
func (e *engine) track(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.conns[c] = struct{}{}
	return true
}

// serve serves one connection. A stream is its last answer.
func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !e.track(c) {
		return
	}
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id, status := req.Header.Get("X-Attempt-Id"), http.StatusOK
		switch {
		case req.URL.Path == "/healthz":
		case req.URL.Path == "/api/kv-list":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 32\r\n\r\n{\"epoch\":1,\"next\":1,\"held\":[]  }") // the node reports the failure
			continue
		case req.Header.Get("X-Expect-Instance") != e.id:
			status = http.StatusMisdirectedRequest
		default:
			e.stream(c, id)
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Runner-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), e.id); err != nil {
			return
		}
	}
}

// stream writes the events of a stream and closes the connection after the last one.
func (e *engine) stream(c net.Conn, id string) {
	e.ledger.ran(id, e.id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Id: %s\r\nX-Response-Seal: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, e.id, sealOf(id))
	i := 0
	for ; err == nil && i < e.events; i++ {
		time.Sleep(e.gap)
		_, err = fmt.Fprintf(c, "id: %d\ndata: %s piece %d of %d\n\n", i+1, id, i+1, e.events)
	}
	if err != nil {
		e.ledger.write("%s ends at %s after %d of %d events: %v", id, e.id, i-1, e.events, err)
	}
}
