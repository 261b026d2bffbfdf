package sagemember

import "time"

// Constants of flap damping.
const (
	// maxFlaps bounds the penalty: at most 1+1<<maxFlaps good signs in a row bring something back.
	maxFlaps = 5
	// flapMemory is how long something has to stay up for one of its flaps to be forgotten.
	flapMemory = 5 * time.Minute
)

// damper counts how often something went down and came back, and asks for the more good signs in a
// row the more often it did. Without it, a thing that flaps would be taken in and dropped again at
// each turn, and work would move with it.
type damper struct {
	flaps  int
	signs  int
	last   time.Time
	stable time.Time
}

// need returns how many good signs in a row are needed now.
func (d *damper) need() int {
	if d.flaps == 0 {
		return 1
	}
	return 1 + 1<<min(d.flaps, maxFlaps)
}

// fell records that the thing went down.
func (d *damper) fell(now time.Time) {
	d.flaps++
	d.signs = 0
	d.stable = now
}

// distrust asks for a good sign anew without counting a flap.
func (d *damper) distrust() { d.signs = 0 }

// rose records a good sign while the thing is down and says whether it is up now. Signs further
// apart than within are not in a row. Signs of one instant count once: they are one message.
func (d *damper) rose(now time.Time, within time.Duration) bool {
	if d.signs > 0 && now.Sub(d.last) > within {
		d.signs = 0
	}
	if d.signs == 0 || now.After(d.last) {
		d.signs++
	}
	d.last = now
	if d.signs < d.need() {
		return false
	}
	d.signs = 0
	d.stable = now
	return true
}

// steady forgets a flap for each flapMemory that the thing has been up.
func (d *damper) steady(now time.Time) {
	if d.flaps > 0 && now.Sub(d.stable) > flapMemory {
		d.flaps--
		d.stable = now
	}
}
