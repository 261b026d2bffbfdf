package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// engine is a model runner. Its streams have no length and end with their connection, as the pages allow.
type engine struct {
	id string
	// events is the number of events of a stream, gap the pause between two of them.
	events int
	gap    time.Duration

	mu  sync.Mutex
	out io.Writer
}

// runEngine is the process of an engine. It writes its address and then what it runs to standard output, until it is killed.
func runEngine(id string) int {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &engine{id: id, events: streamEvents, gap: streamGap, out: os.Stdout}
	e.say("%s", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return exitNotRun
		}
		go e.serve(c)
	}
}

// say writes a line to the process that started this one. It ends the process if that has gone.
func (e *engine) say(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, err := fmt.Fprintf(e.out, format+"\n", args...); err != nil {
		os.Exit(exitNotRun)
	}
}

// engineProcess is an engine's process, as the process that started it sees it.
type engineProcess struct {
	id      string
	address string
	born    int64
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startEngine starts the process of an engine and registers it.
func startEngine(l *ledger, store *standin.Store, id string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	p := &engineProcess{id: id, born: time.Now().UnixMilli(), cmd: exec.Command(self, "engine", id), exited: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("pipe of %s: %w", id, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", id, err)
	}
	lines := bufio.NewScanner(out)
	if lines.Scan() {
		p.address = lines.Text()
	}
	go func() {
		for lines.Scan() {
			if request, ok := strings.CutPrefix(lines.Text(), "runs "); ok {
				l.ran(request, id)
			}
		}
		_ = p.cmd.Wait() // it is killed
		close(p.exited)
	}()
	p.register(store, "ready", 1)
	return p, nil
}

func (p *engineProcess) register(store *standin.Store, state string, sequence int) {
	store.Put("servers", p.id, map[string]any{
		"service": engineService, "address": p.address, "zone": "graz-nord", "version": "v1", "slots": 64,
		"state": state, "cold_left_ms": 0, "sequence": sequence, "born": p.born,
	})
}

// kill ends the process. Then its entry is removed.
func (p *engineProcess) kill(store *standin.Store) {
	_ = p.cmd.Process.Kill() // fails only if it has exited
	<-p.exited
	store.Delete("servers", p.id)
}

// serve serves one connection. A stream is its last answer.
func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
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
	e.say("runs %s", id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Id: %s\r\nX-Response-Seal: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, e.id, sealOf(id))
	for i := 1; err == nil && i <= e.events; i++ {
		time.Sleep(e.gap)
		_, err = fmt.Fprintf(c, "id: %d\ndata: %s piece %d of %d\n\n", i, id, i, e.events)
	}
}
