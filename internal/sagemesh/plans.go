package sagemesh

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// mostAge bounds an age in milliseconds, so that none overflows.
const mostAge = 1 << 40

// packPlans returns plans with their instants as ages, since clocks of different VMs can't be compared.
func packPlans(now sageclock.Instant, plans []sagerollout.Plan) []*heartbeat.Plan {
	var out []*heartbeat.Plan
	for i := range plans {
		p := &plans[i]
		out = append(out, &heartbeat.Plan{
			Order: p.OrderID, Phase: uint32(p.Phase), Share: float32(p.Share), Version: p.Sequence, By: p.Controller,
			AgeMillis: ageMillis(now, p.IssuedAt), PhaseAgeMillis: ageMillis(now, p.PhaseSince),
		})
	}
	return out
}

// unpackPlans is the reverse. A phase that this node doesn't know sends nothing to the target.
func unpackPlans(now sageclock.Instant, plans []*heartbeat.Plan) ([]sagerollout.Plan, error) {
	var out []sagerollout.Plan
	for _, p := range plans {
		if share := p.GetShare(); !(share >= 0 && share <= 1) {
			return nil, fmt.Errorf("plan with share %v: %w", share, ErrHeartbeat)
		}
		phase := sagerollout.PhaseRolledBack
		if p.GetPhase() < uint32(sagerollout.PhaseRolledBack) {
			phase = sagerollout.Phase(p.GetPhase())
		}
		out = append(out, sagerollout.Plan{
			OrderID: p.GetOrder(), Phase: phase, Share: float64(p.GetShare()), Sequence: p.GetVersion(), Controller: p.GetBy(),
			IssuedAt: now.Add(-millisOf(p.GetAgeMillis())), PhaseSince: now.Add(-millisOf(p.GetPhaseAgeMillis())),
		})
	}
	return out, nil
}

func ageMillis(now, at sageclock.Instant) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

func millisOf(n uint64) time.Duration { return time.Duration(min(n, mostAge)) * time.Millisecond }
