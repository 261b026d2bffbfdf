// Package sagelog writes the log of one process: logfmt lines on one writer, each a short sentence
// behind the fixed prefix of the part that speaks.
//
// # Usage
//
//	l := sagelog.New(os.Stderr, "vm1")
//	el := l.Part("entry")
//	el.Info("Listening.", "address", addr)
package sagelog

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes for one part of a process. The zero value writes nothing.
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

// Part returns a logger whose sentences start with the part's name.
func (l Logger) Component(name string) Logger {
	return Logger{base: l.base, prefix: name + ": ", limits: l.limits}
}

// Info tells what happened in the normal course.
func (l Logger) Info(msg string, kv ...any) { l.write(level.InfoValue(), msg, kv) }

// Warn tells what an operator may have to look at.
func (l Logger) Warn(msg string, kv ...any) { l.write(level.WarnValue(), msg, kv) }

// Error tells what went wrong.
func (l Logger) Error(msg string, kv ...any) { l.write(level.ErrorValue(), msg, kv) }

func (l Logger) write(v level.Value, msg string, kv []any) {
	if l.base == nil {
		return
	}
	all := append([]any{level.Key(), v, "msg", l.prefix + msg}, kv...)
	_ = l.base.Log(all...)
}
