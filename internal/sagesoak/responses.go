package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of upstreams that send bytes beside their responses.
const (
	maxRepeatedShare = 0.3
	maxCutShare      = 0.2
	maxUnaskedShare  = 0.2
	maxEndlessShare  = 0.05
	maxDeclinedShare = 0.4
	maxExtraTime     = 4 * time.Second
)

// responseFaults has upstreams repeat responses late, leave the ID out of rejections, and send bytes that never end. It uses its
// own random numbers, so that the other faults of a seed don't depend on it.
type responseFaults struct {
	soak *Soak
	rng  *rand.Rand
	// cutRNG draws the copies that are cut off, unaskedRNG the rejections that belong to no request.
	cutRNG, unaskedRNG *rand.Rand
}

// newResponseFaults returns the faults of the seed, or nil if the soak has none.
func (s *Soak) newResponseFaults() *responseFaults {
	if !s.Responses {
		return nil
	}
	return &responseFaults{soak: s, rng: rand.New(rand.NewPCG(s.Seed, 10)), cutRNG: rand.New(rand.NewPCG(s.Seed, 13)), unaskedRNG: rand.New(rand.NewPCG(s.Seed, 14))}
}

// run injects the faults until the soak's duration has passed.
func (f *responseFaults) run(ctx context.Context) {
	for f.soak.injects(ctx) {
		f.spoil(ctx)
		sageclock.Sleep(ctx, time.Duration(f.rng.Int64N(int64(time.Second))))
	}
}

// spoil spoils the responses of some upstreams for a while. In half of the cases they decline requests as well, as rejections
// are repeated too.
func (f *responseFaults) spoil(ctx context.Context) {
	s := f.soak
	extra := standin.ExtraBytes{Repeated: f.rng.Float64() * maxRepeatedShare, NoID: float64(f.rng.IntN(3)) / 2}
	if f.cutRNG.IntN(2) == 0 {
		extra.Cut = f.cutRNG.Float64() * maxCutShare
	}
	if f.unaskedRNG.IntN(2) == 0 {
		extra.Unasked = f.unaskedRNG.Float64() * maxUnaskedShare
	}
	if f.rng.IntN(3) == 0 {
		extra.Endless = f.rng.Float64() * maxEndlessShare
	}
	declined := f.rng.Float64() * maxDeclinedShare * float64(f.rng.IntN(2))
	duration := time.Second + time.Duration(f.rng.Int64N(int64(maxExtraTime)))
	var spoiled []*standin.Runner
	names := ""
	for i := range s.sys.Runners {
		if f.rng.IntN(2) == 0 {
			r := s.sys.Runner(i)
			spoiled, names = append(spoiled, r), names+" "+r.ID
		}
	}
	s.recordInjected(fmt.Sprintf("extra bytes %+v, declined %.2f at%s", extra, declined, names), duration)
	for _, r := range spoiled {
		r.InjectExtra(extra)
		if declined > 0 {
			r.InjectFaults(standin.RunnerFaults{Declined: declined})
		}
	}
	sageclock.Sleep(ctx, duration)
	for _, r := range spoiled {
		r.InjectExtra(standin.ExtraBytes{})
		if declined > 0 {
			r.InjectFaults(standin.RunnerFaults{})
		}
	}
}
