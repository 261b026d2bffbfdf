package sagelog

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that are queued for a slow reader, about 60 KB.
const maxQueuedLines = 256

// AsyncWriter is a writer that never blocks. Lines are held in a bounded queue that one goroutine
// writes out. Lines that don't fit are dropped and counted.
//
// It prevents a stalled reader of the log from blocking requests: once the pipe is full, every request
// that logs would hang.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of w. It starts the goroutine that writes to w, which runs
// for the life of the process.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for b := range r.lines {
			_, _ = w.Write(b) // a failure of the log itself can't be reported
		}
	}()
	return r
}

// Write implements [io.Writer]. It queues a copy of b.
func (r *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), b...):
	default:
		r.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }
