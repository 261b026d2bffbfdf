package sagelog

import (
	"sync"
	"time"
)

// Kind is a group of log lines with a common rate limit.
type Kind int

// The kinds of lines about requests, and about state changes that can be as frequent.
const (
	KindExchange Kind = iota
	KindRefused
	KindAbandoned
	KindServed
	KindStateChange
	KindCrash
	KindRetry
	KindLibrary
	// KindExit is for requests at a node that leaves, of which there are few.
	KindExit
	// KindResend is for requests that are sent again.
	KindResend
	numKinds
)

// Limits on the lines of one kind per second. Under a storm of failures, logging must cost no more
// than a hundredth of a small VM's processor. For served requests, samples are enough.
const (
	linesPerSecond       = 20
	exitLinesPerSecond   = 200
	servedLinesPerSecond = 2
)

func (k Kind) limit() int {
	switch k {
	case KindServed:
		return servedLinesPerSecond
	case KindExit:
		return exitLinesPerSecond
	}
	return linesPerSecond
}

// limiter counts the lines of each kind in the current second.
type limiter struct {
	start      time.Time // seconds are counted from here, on the monotonic clock
	mu         sync.Mutex
	second     [numKinds]int64
	written    [numKinds]int
	suppressed [numKinds]int
}

// allow reports whether a line may be written, and how many were suppressed since the last one.
func (l *limiter) allow(k Kind, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now.Sub(l.start) / time.Second); s != l.second[k] {
		l.second[k], l.written[k] = s, 0
	}
	if l.written[k] >= k.limit() {
		l.suppressed[k]++
		return 0, false
	}
	l.written[k]++
	suppressed, l.suppressed[k] = l.suppressed[k], 0
	return suppressed, true
}

// Limited logs one line of the given kind as Info does. Lines above the rate limit of their kind are
// suppressed, and the next line that is written has their number.
func (l Logger) Limited(k Kind, msg string, kv ...any) {
	if l.base == nil {
		return
	}
	suppressed, ok := l.limits.allow(k, time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		kv = append(kv, "left_out", suppressed)
	}
	l.Info(msg, kv...)
}
