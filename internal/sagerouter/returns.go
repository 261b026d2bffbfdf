package sagerouter

import (
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sagefair"
)

const (
	// returnedMargin is by how much less time a returned request has than new ones at least.
	returnedMargin = 30 * time.Millisecond
	// remainingDecay is the part of the longest time that is forgotten with each request that has less.
	remainingDecay = 0.001
	// maxRemainingTimes limits the accounts and routes that are remembered.
	maxRemainingTimes = 4096
)

// requestOrigin is the account and the route of a request.
type requestOrigin struct{ account, route string }

// remainingTimes holds the longest time that deadlines left recent requests. Callers of one account and route are taken to set
// the same time limit: one that sets a shorter one is taken for one that has returned. The zero value is ready to use.
type remainingTimes struct {
	mu      sync.Mutex
	longest map[requestOrigin]time.Duration
}

// record adds the time that its deadline leaves a request, and returns by how much new requests have more; 0 if it is new
// itself.
func (r *remainingTimes) record(o requestOrigin, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= maxRemainingTimes {
		r.longest = make(map[requestOrigin]time.Duration)
	}
	longest := r.longest[o]
	if left >= longest {
		r.longest[o] = left
		return 0
	}
	r.longest[o] -= time.Duration(remainingDecay * float64(longest-left))
	if longest-left <= returnedMargin {
		return 0
	}
	return longest - left
}

// RecordRemaining implements [sagerelay.Fleet]. A caller that has waited for longer than callers do wasn't refused before: it
// has another time limit.
func (f *fleet) RecordRemaining(account, route string, left time.Duration) time.Duration {
	waited := f.remainingTimes.record(requestOrigin{account, route}, left)
	if f.returnWithin > 0 && float64(waited) > f.longestReturn(waited+left)+float64(returnedMargin) {
		return 0
	}
	return waited
}

// longestReturn returns the longest time in nanoseconds for which a refused caller waits that had some time to its deadline.
func (f *fleet) longestReturn(left time.Duration) float64 { return f.returnWithin * float64(left) }

// returnedAsAsked reports whether a caller that has waited for some time, and has some left, may have returned when it was
// asked to. One that was asked to wait longer than it does returns after the longest time.
func (f *fleet) returnedAsAsked(waited, left time.Duration) bool {
	if f.returnWithin == 0 {
		return waited > 0
	}
	return waited > 0 && float64(waited) < (sagefair.PromisedWithin+1)/2*f.longestReturn(waited+left)
}
