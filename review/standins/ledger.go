package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// attempt is what clients and runners have seen of one client attempt.
type attempt struct {
	id     string
	once   bool // may run once at most
	status int  // 0 if there was no complete answer
	runs   []string
}

// ledger records what was sent, run and answered. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	start    time.Time
	out      io.Writer
	attempts map[string]*attempt
	broken   []string
}

func newLedger(w io.Writer) *ledger {
	return &ledger{start: time.Now(), out: w, attempts: make(map[string]*attempt)}
}

// write adds a line to the record.
func (l *ledger) write(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeLocked(format, args...)
}

func (l *ledger) writeLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(l.out, "%8.3f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, args...)...) // an incomplete record shows in the file
}

// breaks records that a rule was broken.
func (l *ledger) breaks(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.writeLocked("BROKEN %s", text)
}

// sent records that a client sends an attempt to a path.
func (l *ledger) sent(id, path string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{id: id, once: once}
	l.writeLocked("%s sent to %s", id, path)
}

// ran records that a runner begins to work on a request.
func (l *ledger) ran(id, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeLocked("%s runs at %s", id, runner)
	if a := l.attempts[id]; a != nil {
		a.runs = append(a.runs, runner)
	}
}

// answered records the answer that a client got; status 0 is a connection that ended without a complete one.
func (l *ledger) answered(id string, status int, note string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeLocked("%s answered: %d %s", id, status, note)
	if a := l.attempts[id]; a != nil {
		a.status = status
	}
}

// promises are the statuses that say that a request has not run and never will.
var promises = []int{408, 421, 429, 503}

// judgeOnce checks the rules TWICE and REFUSED for all attempts that may run once at most.
func (l *ledger) judgeOnce() {
	l.mu.Lock()
	var found []attempt
	for _, a := range l.attempts {
		if a.once && (len(a.runs) > 1 || len(a.runs) > 0 && slices.Contains(promises, a.status)) {
			found = append(found, *a)
		}
	}
	l.mu.Unlock()
	for _, a := range found {
		if len(a.runs) > 1 {
			l.breaks("TWICE", "%s ran %d times, at %v; its client got %d", a.id, len(a.runs), a.runs, a.status)
		}
		if slices.Contains(promises, a.status) {
			l.breaks("REFUSED", "%s was answered %d and ran at %v", a.id, a.status, a.runs)
		}
	}
}

// finish writes the summary and returns the broken rules.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byStatus := make(map[int]int)
	for _, a := range l.attempts {
		byStatus[a.status]++
	}
	l.writeLocked("summary: %d attempts, by status %v; %d times a rule was broken", len(l.attempts), byStatus, len(l.broken))
	return l.broken
}
