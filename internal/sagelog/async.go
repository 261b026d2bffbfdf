package sagelog

import (
	"io"
	"sync/atomic"
)

// ringLength is how many lines wait for a slow reader, about 60 KB.
const ringLength = 256

// AsyncWriter is a writer that never blocks: lines wait in a bounded ring that one goroutine drains, and
// what does not fit is dropped and counted.
//
// It guards against a reader of the log that stops reading: the pipe fills, and every request that
// logs would hang.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a ring in front of w and starts its drain, which lives as long as the process.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, ringLength)}
	go func() {
		for b := range r.lines {
			_, _ = w.Write(b) // nobody is left to tell that the log can't be written
		}
	}()
	return r
}

// Write implements [io.Writer]. It keeps a copy of b.
func (r *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), b...):
	default:
		r.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }
