package sagequarantine

import (
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// suspect is the record of a request that was being executed when an upstream crashed.
type suspect struct {
	// counted are the crashes that count against the request, discounted the latest that no longer do.
	counted, discounted []CrashID
	// lastCrash is when the last crash was recorded.
	lastCrash sageclock.Instant
	// succeeded says that the request was cleared before.
	succeeded bool
}

// hasCrash reports whether a crash is recorded.
func (s *suspect) hasCrash(c CrashID) bool {
	return slices.Contains(s.counted, c) || slices.Contains(s.discounted, c)
}

// addDiscounted records crashes that don't count, and keeps the latest maxDiscounted of them.
func (s *suspect) addDiscounted(crashes ...CrashID) {
	s.discounted = append(s.discounted, crashes...)
	s.discounted = s.discounted[max(0, len(s.discounted)-maxDiscounted):]
}

// discountAll discounts all crashes, since the request has succeeded.
func (s *suspect) discountAll() {
	s.succeeded = true
	s.addDiscounted(s.counted...)
	s.counted = nil
}

// discount discounts one crash.
func (s *suspect) discount(c CrashID) {
	if i := slices.Index(s.counted, c); i >= 0 {
		s.counted = slices.Delete(s.counted, i, i+1)
		s.addDiscounted(c)
	}
}
