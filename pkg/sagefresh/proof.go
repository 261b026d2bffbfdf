package sagefresh

import (
	"math"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Unproven is the age of a copy that was never proven.
const Unproven = time.Duration(math.MaxInt64)

// Proof is the instant up to which a copy is complete. It only rises. The zero value proves
// nothing. It is safe for concurrent use.
type Proof struct {
	at atomic.Int64
}

// Own notes an answered read that was sent at the given instant.
func (p *Proof) RecordRead(sent sageclock.Instant) { p.raise(int64(sent)) }

// Relayed notes a peer's proof: when the peer had received the stamp, its own was of the given age.
func (p *Proof) RecordRelayed(stamp sageclock.Instant, age time.Duration) {
	if age < 0 || age == Unproven {
		return
	}
	p.raise(int64(stamp.Add(-age)))
}

// Age returns how old the proof is at now, or [Unproven].
func (p *Proof) Age(now sageclock.Instant) time.Duration {
	at := p.at.Load()
	if at == 0 {
		return Unproven
	}
	return max(0, now.Sub(sageclock.Instant(at)))
}

func (p *Proof) raise(at int64) {
	for {
		old := p.at.Load()
		if at <= old || p.at.CompareAndSwap(old, at) {
			return
		}
	}
}
