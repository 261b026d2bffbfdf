package sagelog

import (
	"sync"
	"time"
)

// Kind groups log lines that share a bound on their rate.
type Kind int

// The kinds of lines about requests, and of beliefs that may change as often.
const (
	KindExchange Kind = iota
	KindRefused
	KindAbandoned
	KindServed
	KindStateChange
	kinds
)

// How many lines of one kind are written in a second: a storm of failures costs no more than a
// hundredth of a small VM's processor, and of what goes well samples are enough.
const (
	perSecond       = 20
	servedPerSecond = 2
)

func (k Kind) limit() int {
	if k == KindServed {
		return servedPerSecond
	}
	return perSecond
}

// limiter counts the lines of each kind in the current second.
type limiter struct {
	start   time.Time // seconds are counted from here on the monotonic clock
	mu      sync.Mutex
	second  [kinds]int64
	written [kinds]int
	left    [kinds]int
}

// allow reports whether a line may be written, and how many were left out since the last one.
func (l *limiter) allow(k Kind, now time.Time) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now.Sub(l.start) / time.Second); s != l.second[k] {
		l.second[k], l.written[k] = s, 0
	}
	if l.written[k] >= k.limit() {
		l.left[k]++
		return 0, false
	}
	l.written[k]++
	left, l.left[k] = l.left[k], 0
	return left, true
}

// Limited writes one line about a request. Lines beyond the rate of their kind are left out, and the
// next one says how many there were.
func (l Logger) Limited(k Kind, msg string, kv ...any) {
	if l.base == nil {
		return
	}
	left, ok := l.limits.allow(k, time.Now())
	if !ok {
		return
	}
	if left > 0 {
		kv = append(kv, "left_out", left)
	}
	l.Info(msg, kv...)
}
