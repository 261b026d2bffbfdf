package sagerelay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errNoBuffer is the error of a response that found no buffer space before its deadline.
var errNoBuffer = errors.New("no buffer space for the response")

// byteBudget limits the bytes that a node buffers for requests and responses. The zero value is ready to use. It is safe for
// concurrent use.
type byteBudget struct {
	mu   sync.Mutex
	used int64
	// freed is closed when bytes are released; nil if nobody waits.
	freed chan struct{}
	// overdraft is set while one reservation is beyond the limit. Without it, responses that each hold a part of their
	// space could wait for one another.
	overdraft *reservation
}

// reservation is the buffer space of one exchange.
type reservation struct {
	budget *byteBudget
	bytes  int64
}

// tryReserve reserves n bytes and reports whether there was enough space. A limit of 0 means none. If nothing else is
// reserved, any number is.
func (b *byteBudget) tryReserve(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserveLocked(n, limit)
}

func (b *byteBudget) reserveLocked(n, limit int64) bool {
	if n > 0 && limit > 0 && b.used > 0 && b.used+n > limit {
		return false
	}
	b.used += n
	return true
}

// release returns n bytes.
func (b *byteBudget) release(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.wakeLocked()
}

func (b *byteBudget) wakeLocked() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// inUse returns the number of reserved bytes.
func (b *byteBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// tryGrow adds n bytes to the reservation, beyond the limit if no other reservation is. If there is no space it returns a
// channel that is closed when some is released.
func (r *reservation) tryGrow(n, limit int64) (freed <-chan struct{}) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.reserveLocked(n, limit)
	if !ok && (b.overdraft == nil || b.overdraft == r) {
		b.overdraft, b.used, ok = r, b.used+n, true
	}
	if ok {
		r.bytes += n
		return nil
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// grow adds n bytes to the reservation. It waits for space until ctx ends.
func (r *reservation) grow(ctx context.Context, n, limit int64) error {
	for {
		freed := r.tryGrow(n, limit)
		if freed == nil {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return errNoBuffer
		}
	}
}

// release returns the space of the reservation.
func (r *reservation) release() {
	if r.bytes == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overdraft == r {
		b.overdraft = nil
	}
	b.used -= r.bytes
	r.bytes = 0
	b.wakeLocked()
}
