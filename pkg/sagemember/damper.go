package sagemember

import "time"

// Constants of flap damping.
const (
	// maxFlaps bounds the penalty: at most 1+1<<maxFlaps consecutive successes are needed to come up.
	maxFlaps = 5
	// flapDecayInterval is how long a node or target has to stay up for its flap count to drop by one.
	flapDecayInterval = 5 * time.Minute
)

// damper implements flap damping: the more often a node or target has gone down and come back, the more
// consecutive successes it needs to come up again. Without damping, a flapping target would be added
// and removed on every transition, and its work would move each time.
type damper struct {
	flaps       int
	successes   int
	lastSuccess time.Time
	decayFrom   time.Time
}

// required returns how many consecutive successes are needed now.
func (d *damper) required() int {
	if d.flaps == 0 {
		return 1
	}
	return 1 + 1<<min(d.flaps, maxFlaps)
}

// recordDown records that the target went down.
func (d *damper) recordDown(now time.Time) {
	d.flaps++
	d.successes = 0
	d.decayFrom = now
}

// resetSuccesses requires new successes without counting a flap.
func (d *damper) resetSuccesses() { d.successes = 0 }

// recordSuccess records a success while the target is down and reports whether the target is up now.
// Successes more than maxGap apart are not consecutive. Successes at the same instant count once,
// because they come from one message.
func (d *damper) recordSuccess(now time.Time, maxGap time.Duration) bool {
	if d.successes > 0 && now.Sub(d.lastSuccess) > maxGap {
		d.successes = 0
	}
	if d.successes == 0 || now.After(d.lastSuccess) {
		d.successes++
	}
	d.lastSuccess = now
	if d.successes < d.required() {
		return false
	}
	d.successes = 0
	d.decayFrom = now
	return true
}

// decay lowers the flap count by one for each flapDecayInterval that the target has been up.
func (d *damper) decay(now time.Time) {
	if d.flaps > 0 && now.Sub(d.decayFrom) > flapDecayInterval {
		d.flaps--
		d.decayFrom = now
	}
}
