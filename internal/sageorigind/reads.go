package sageorigind

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// sharedReads are reads of the store, one at a time, each of which serves all callers that came before it began.
type sharedReads struct {
	mu sync.Mutex
	// done is closed when the read in progress ends; nil if there is none.
	done chan struct{}
	// startedAt is when the last read began, and failed says that it failed.
	startedAt sageclock.Instant
	failed    bool
	notBefore sageclock.Instant // earliest time of the next read
}

// start runs read unless one is in progress, which the caller shares. If none is due yet, done is nil. read must call end.
func (r *sharedReads) start(now sageclock.Instant, read func()) (done <-chan struct{}, dueIn time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		return r.done, 0
	}
	if now < r.notBefore {
		return nil, r.notBefore.Sub(now)
	}
	r.done, r.startedAt = make(chan struct{}), now
	go read()
	return r.done, 0
}

// readSince returns whether a read that began after a time has ended, whether it was whole, and when the next one is due.
func (r *sharedReads) readSince(now, t sageclock.Instant) (ended, whole bool, dueIn time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done == nil && r.startedAt >= t, !r.failed, max(0, r.notBefore.Sub(now).Truncate(time.Millisecond)+time.Millisecond)
}

// end ends a read.
func (r *sharedReads) end(notBefore sageclock.Instant, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.done)
	r.done, r.notBefore, r.failed = nil, notBefore, failed
}
