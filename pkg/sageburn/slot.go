package sageburn

import "time"

// Count is the number of requests in a slot of time, and how many of them were bad.
type Count struct {
	Total uint32 `json:"total"`
	Bad   uint32 `json:"bad"`
}

func (c *Count) add(d Count) {
	c.Total += d.Total
	c.Bad += d.Bad
}

// level is a resolution at which counts are kept.
type level struct {
	step  time.Duration
	slots int
}

// levels cover an hour in minutes, six hours in steps of ten minutes and three days in hours.
var levels = [...]level{{time.Minute, 60}, {10 * time.Minute, 36}, {time.Hour, 72}}

// slot returns the number of the slot of wall-clock time that contains now.
func (l level) slot(now time.Time) int64 { return now.UnixNano() / int64(l.step) }

// ring holds the most recent slots of one level.
type ring struct {
	newest int64
	counts []Count
}

// slot returns the count of slot n, and discards the oldest slots if n is newer than all others. It
// returns nil if n is too old.
func (r *ring) slot(l level, n int64) *Count {
	if r.counts == nil {
		r.counts = make([]Count, l.slots)
		r.newest = n
	}
	if n <= r.newest-int64(l.slots) {
		return nil
	}
	for r.newest < n {
		r.newest++
		r.counts[r.newest%int64(l.slots)] = Count{}
		if n-r.newest > int64(l.slots) {
			r.newest = n - int64(l.slots)
		}
	}
	return &r.counts[n%int64(l.slots)]
}
