package sagemesh

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// maxAgeMillis bounds received ages, so that they don't overflow a duration.
const maxAgeMillis = 1 << 40

// packPlans encodes plans. Instants become ages, since the clocks of different VMs can't be compared.
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

// unpackPlans decodes plans. An unknown phase becomes PhaseRolledBack, so that the target gets no requests.
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
			IssuedAt: now.Add(-millisToDuration(p.GetAgeMillis())), PhaseSince: now.Add(-millisToDuration(p.GetPhaseAgeMillis())),
		})
	}
	return out, nil
}

func ageMillis(now, at sageclock.Instant) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

func millisToDuration(n uint64) time.Duration {
	return time.Duration(min(n, maxAgeMillis)) * time.Millisecond
}
