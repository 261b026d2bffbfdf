// Package sagelog writes the log of a process: logfmt lines to one writer, each with a short sentence
// after the name of the component that logs it.
//
// # Usage
//
//	l := sagelog.New(os.Stderr, "vm1")
//	el := l.Component("entry")
//	el.Info("Listening.", "address", addr)
package sagelog

import (
	"bytes"
	"io"
	standard "log"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes for one component of a process. The zero value writes nothing.
type Logger struct {
	base   log.Logger
	prefix string
	limits *limiter
}

// New returns a logger that writes to w for the named node.
func New(w io.Writer, node string) Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "at", log.DefaultTimestampUTC, "node", node)
	return Logger{base: l, limits: &limiter{start: time.Now()}}
}

// Component returns a logger whose sentences start with the name of the component.
func (l Logger) Component(name string) Logger {
	return Logger{base: l.base, prefix: name + ": ", limits: l.limits}
}

// Info logs an event of normal operation.
func (l Logger) Info(msg string, kv ...any) { l.write(level.InfoValue(), msg, kv) }

// Warn logs an event that an operator may have to look into.
func (l Logger) Warn(msg string, kv ...any) { l.write(level.WarnValue(), msg, kv) }

// Error logs a failure.
func (l Logger) Error(msg string, kv ...any) { l.write(level.ErrorValue(), msg, kv) }

func (l Logger) write(v level.Value, msg string, kv []any) {
	if l.base == nil {
		return
	}
	all := append([]any{level.Key(), v, "msg", l.prefix + msg}, kv...)
	_ = l.base.Log(all...)
}

// CaptureStandard sends what libraries write with package log to l, each line cut off and within the limit of its kind.
// net/http writes there, among other things, what a server sends unasked.
func CaptureStandard(l Logger) {
	standard.SetFlags(0)
	standard.SetOutput(standardWriter{l})
}

// maxStandardText limits the text of a library's line.
const maxStandardText = 200

type standardWriter struct{ l Logger }

// Write implements [io.Writer].
func (w standardWriter) Write(b []byte) (int, error) {
	text := bytes.TrimSpace(b)
	w.l.Limited(KindLibrary, "Library message.", "text", string(text[:min(len(text), maxStandardText)]))
	return len(b), nil
}
