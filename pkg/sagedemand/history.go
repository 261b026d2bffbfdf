package sagedemand

import (
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// maxReports is the number of reports that a [History] keeps, those of more than a second at five reports a second to two
// groups of receivers.
const maxReports = 16

// History keeps the last counts that this node reported. The zero value is ready to use. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	reports []report // by time
}

type report struct {
	at     sageclock.Instant
	counts map[string]int
}

// Put adds counts that are reported now. The caller must not change them afterwards.
func (h *History) Put(now sageclock.Instant, counts map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.reports) == maxReports {
		h.reports = append(h.reports[:0], h.reports[1:]...)
	}
	h.reports = append(h.reports, report{now, counts})
}

// At returns the counts that were the last reported ones at an instant, or the oldest that are kept.
func (h *History) At(at sageclock.Instant) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.reports) - 1; i >= 0; i-- {
		if h.reports[i].at <= at {
			return h.reports[i].counts
		}
	}
	if len(h.reports) == 0 {
		return nil
	}
	return h.reports[0].counts
}
