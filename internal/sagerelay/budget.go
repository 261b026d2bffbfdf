package sagerelay

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Parts of the limit on buffered bytes.
const (
	// responseDivisor limits the bytes of all responses, so that requests find space for their bodies whatever upstreams send.
	responseDivisor = 2
	// smallDivisor limits the bytes that responses of usual size find when all responses together have reached their limit.
	smallDivisor = 8
	// largeDivisor limits the bytes of large responses of upstreams that sent oversized ones, so that they don't delay others.
	largeDivisor = 4
	// waitingDivisor limits the bytes of responses that wait for space of large ones.
	waitingDivisor = 8
)

// errNoBuffer is the error of a response that found no buffer space before its deadline.
var errNoBuffer = errors.New("no buffer space for the response")

// byteBudget limits the bytes that a node buffers for requests and responses. The zero value is ready to use. It is safe for
// concurrent use.
type byteBudget struct {
	mu   sync.Mutex
	used int64
	// responses is the part of used that belongs to responses: small to those of usual size, large to large ones of upstreams that sent
	// oversized ones.
	responses, small, large int64
	// freed is closed when bytes are released; nil if nobody waits.
	freed chan struct{}
	// overdraft is set while one reservation is beyond the limit. Without it, responses that each hold a part of their
	// space could wait for one another.
	overdraft *reservation
	// waiting are the responses that wait for space of large ones: those with the highest limit first, of these those of upstreams that
	// sent the fewest oversized ones.
	waiting []*reservation
	// oversized counts the responses of each upstream that were too large, since its last large one that wasn't.
	oversized map[string]int
}

// reservationKind says which part of the limit a response counts towards.
type reservationKind int

const (
	// smallResponse: it hasn't exceeded its usual size.
	smallResponse reservationKind = iota
	// largeResponse: it is beyond its usual size.
	largeResponse
	// suspectResponse: it is large, and its upstream has sent an oversized one.
	suspectResponse
)

// reservation is the buffer space of a response.
//
// A response beyond its usual size is large until it is complete. If its upstream has sent an oversized one, it then reserves space for
// its greatest size at once, so that such responses don't wait for one another with parts of their space.
type reservation struct {
	budget   *byteBudget
	upstream string
	// usual is the size beyond which the response is large, most its greatest size. A usual size of 0 means no bound.
	usual, most int64
	// bytes is what the response may fill, reserved what is reserved for it.
	bytes, reserved int64
	kind            reservationKind
	// limit is that of the response while it waits for space of large ones.
	limit int64
	// givenUp is set if too many responses wait for space of large ones.
	givenUp bool
}

// tryReserve reserves n bytes for a request and reports whether there was enough space. A limit of 0 means none. If nothing else
// is reserved, any number is.
func (b *byteBudget) tryReserve(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fitsLocked(n, limit) {
		return false
	}
	b.used += n
	return true
}

func (b *byteBudget) fitsLocked(n, limit int64) bool {
	return n <= 0 || limit <= 0 || b.used == 0 || b.used+n <= limit
}

// release returns n bytes of a request.
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

// awaitLocked returns a channel that is closed when space is released.
func (b *byteBudget) awaitLocked() <-chan struct{} {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// enqueueLocked has a response wait for the space of a large one. If the responses that wait hold too much, the last ones are
// given up.
func (b *byteBudget) enqueueLocked(r *reservation, limit int64) {
	if slices.Contains(b.waiting, r) {
		return
	}
	r.limit = limit
	b.waiting = append(b.waiting, r)
	slices.SortStableFunc(b.waiting, func(x, y *reservation) int {
		// One with a lower limit would hold up others that fit.
		return cmp.Or(cmp.Compare(y.limit, x.limit), cmp.Compare(b.oversized[x.upstream], b.oversized[y.upstream]))
	})
	held := int64(0)
	for i, w := range b.waiting {
		if held += w.reserved; i > 0 && limit > 0 && held > limit/waitingDivisor {
			for _, last := range b.waiting[i:] {
				last.givenUp = true
			}
			b.waiting = slices.Delete(b.waiting, i, len(b.waiting))
			b.wakeLocked()
			return
		}
	}
}

func (b *byteBudget) dequeueLocked(r *reservation) {
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.wakeLocked()
	}
}

// waitsAsSuspect reports whether the response waits for the space of large ones of upstreams that sent oversized ones.
func (r *reservation) waitsAsSuspect() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return slices.Contains(r.budget.waiting, r)
}

// tryGrow adds n bytes to the reservation, beyond the limit if no other reservation is. If there is no space it returns a
// channel that is closed when some is released.
func (r *reservation) tryGrow(n, limit int64) (freed <-chan struct{}, err error) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	add, kind := n, r.kindAfterLocked(n)
	if kind == suspectResponse {
		add = max(r.bytes+n, r.most) - r.reserved
	}
	if kind == suspectResponse && r.kind != suspectResponse {
		if !r.givenUp {
			b.enqueueLocked(r, limit)
		}
		if r.givenUp {
			return nil, errNoBuffer
		}
		if b.waiting[0] != r || b.large > 0 && limit > 0 && b.large+r.reserved+add > limit/largeDivisor {
			return b.awaitLocked(), nil
		}
	}
	if !b.responseFitsLocked(add, limit, kind) {
		if b.overdraft != nil && b.overdraft != r {
			return b.awaitLocked(), nil
		}
		b.overdraft = r
	}
	if kind == suspectResponse && r.kind != suspectResponse {
		b.dequeueLocked(r)
	}
	r.setKindLocked(kind)
	r.bytes += n
	r.resizeLocked(add)
	return nil, nil
}

// kindAfterLocked returns the kind of the response once it has grown by n bytes.
func (r *reservation) kindAfterLocked(n int64) reservationKind {
	switch {
	case r.kind == suspectResponse:
		return suspectResponse
	case r.usual == 0 || r.bytes+n <= r.usual:
		return smallResponse
	case r.budget.oversized[r.upstream] > 0:
		return suspectResponse
	}
	return largeResponse
}

func (b *byteBudget) responseFitsLocked(n, limit int64, kind reservationKind) bool {
	return b.fitsLocked(n, limit) && (limit <= 0 || b.used == 0 || b.responses+n <= limit/responseDivisor || kind == smallResponse && b.small+n <= limit/smallDivisor)
}

// grow adds n bytes to the reservation. It waits for space until ctx ends.
func (r *reservation) grow(ctx context.Context, n, limit int64) error {
	for {
		freed, err := r.tryGrow(n, limit)
		if freed == nil {
			return err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return errNoBuffer
		}
	}
}

// complete returns what the response has not filled. Its upstream no longer counts as one that sends oversized ones if it was large.
func (r *reservation) complete() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.kind == smallResponse {
		return
	}
	delete(b.oversized, r.upstream)
	r.resizeLocked(r.bytes - r.reserved)
	r.setKindLocked(largeResponse)
	b.wakeLocked()
}

// recordOversized records that the response was too large.
func (r *reservation) recordOversized() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.oversized == nil {
		b.oversized = make(map[string]int)
	}
	b.oversized[r.upstream]++
}

// release returns the space of the reservation.
func (r *reservation) release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dequeueLocked(r)
	if r.reserved == 0 {
		return
	}
	if b.overdraft == r {
		b.overdraft = nil
	}
	r.resizeLocked(-r.reserved)
	r.bytes = 0
	r.setKindLocked(smallResponse)
	b.wakeLocked()
}

// resizeLocked adds n bytes, which may be negative, to what is reserved.
func (r *reservation) resizeLocked(n int64) {
	r.reserved += n
	r.budget.used += n
	r.budget.responses += n
	r.countLocked(n)
}

// setKindLocked has the response count towards another part of the limit.
func (r *reservation) setKindLocked(kind reservationKind) {
	r.countLocked(-r.reserved)
	r.kind = kind
	r.countLocked(r.reserved)
}

// countLocked adds n bytes to the part of the limit that the response counts towards.
func (r *reservation) countLocked(n int64) {
	switch r.kind {
	case smallResponse:
		r.budget.small += n
	case suspectResponse:
		r.budget.large += n
	}
}
