package sagestandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagewire"
)

// streamHold is how long a finished stream can still be resumed.
const streamHold = 30 * time.Second

// stream is the generation of one answer.
type stream struct {
	id     string
	boot   string
	model  string
	tokens []string
	usage  Usage

	mu       sync.Mutex
	ready    int
	canceled bool
	changed  chan struct{}
}

// advance makes one more token readable; it reports false for a canceled stream.
func (s *stream) advance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceled {
		return false
	}
	s.ready++
	s.wake()
	return true
}

// wake releases the readers; mu is held.
func (s *stream) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = true
	s.wake()
}

func (s *stream) done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready == len(s.tokens)
}

// wait blocks until n tokens are readable; false means that they never will be.
func (s *stream) wait(ctx context.Context, n int) bool {
	for {
		s.mu.Lock()
		if s.ready >= n {
			s.mu.Unlock()
			return true
		}
		if s.canceled {
			s.mu.Unlock()
			return false
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// streams finds streams by request id.
type streams struct {
	mu   sync.Mutex
	byID map[string]*stream
}

func (l *streams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[string]*stream)
	}
	l.byID[s.id] = s
}

func (l *streams) find(id string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

func (l *streams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID[s.id] == s {
		delete(l.byID, s.id)
	}
}

func (l *streams) dropAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byID {
		s.cancel()
	}
	l.byID = nil
}

// serveStream writes the events after position from; it cuts the connection after cut events.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, from, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := from; i < len(s.tokens); i++ {
		if !s.wait(r.Context(), i+1) {
			panic(http.ErrAbortHandler)
		}
		if cut >= 0 && i-from >= cut {
			panic(http.ErrAbortHandler)
		}
		b, err := json.Marshal(ChatResponse{ID: s.id, Object: "chat.completion.chunk", Model: s.model, Choices: []Choice{{Delta: &Message{Role: "assistant", Content: s.tokens[i]}}}, Usage: s.usage})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "%sdata: %s\n\n", eventID(i+1), b); err != nil {
			return
		}
		_ = rc.Flush()
	}
	_, _ = fmt.Fprintf(w, "%sdata: [DONE]\n\n", eventID(len(s.tokens)+1))
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	hit := e.faults.Select("resume")
	if !before(w, r, hit) {
		return
	}
	s := e.streams.find(r.PathValue("id"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	n, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || n < 0 || n > len(s.tokens) {
		http.Error(w, "after: not a position", http.StatusBadRequest)
		return
	}
	w.Header().Set(sagewire.HeaderRequestID, s.id)
	w.Header().Set(sagewire.HeaderBootID, s.boot)
	cut, isCut := find(hit, FaultTruncatedStream)
	if !isCut {
		cut.AfterEvents = -1
	}
	e.serveStream(w, r, s, n, cut.AfterEvents)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if s := e.streams.find(r.PathValue("id")); s != nil {
		s.cancel()
		e.streams.remove(s)
	}
	w.WriteHeader(http.StatusNoContent)
}
