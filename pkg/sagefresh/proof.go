package sagefresh

import (
	"math"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Unproven is the age of a copy without a proof.
const Unproven = time.Duration(math.MaxInt64)

// Proof is the instant up to which a copy is proven to be complete. It never decreases. The zero value proves
// nothing. It is safe for concurrent use.
type Proof struct {
	at atomic.Int64
}

// RecordRead records a successful read of the store whose request was sent at the given instant.
func (p *Proof) RecordRead(sent sageclock.Instant) { p.advance(int64(sent)) }

// RecordRelayed records a peer's proof, which had the given age after the peer had received the stamp. A negative
// age and [Unproven] are ignored.
func (p *Proof) RecordRelayed(stamp sageclock.Instant, age time.Duration) {
	if age < 0 || age == Unproven {
		return
	}
	p.advance(int64(stamp.Add(-age)))
}

// At returns the instant up to which the copy is proven to be complete, 0 without a proof.
func (p *Proof) At() sageclock.Instant { return sageclock.Instant(p.at.Load()) }

// Age returns how old the proof is at now, or [Unproven].
func (p *Proof) Age(now sageclock.Instant) time.Duration {
	at := p.at.Load()
	if at == 0 {
		return Unproven
	}
	return max(0, now.Sub(sageclock.Instant(at)))
}

func (p *Proof) advance(at int64) {
	for {
		old := p.at.Load()
		if at <= old || p.at.CompareAndSwap(old, at) {
			return
		}
	}
}
