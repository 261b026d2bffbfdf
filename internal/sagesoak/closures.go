package sagesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/platform/standin"
)

// Parameters of data centres that are closed while nodes are cut from upstreams.
const (
	maxClosureDelay = 400 * time.Millisecond // after the start of the cut
	closedAfterCut  = standin.MaxClosedDelay + time.Second
)

// closures closes data centres while nodes are cut from upstreams, one at a time. It uses its own random numbers, so that the
// other faults of a seed don't depend on it.
type closures struct {
	soak   *Soak
	rng    *rand.Rand
	closed atomic.Bool
}

// during closes a data centre just after the start of a cut, or does nothing.
func (c *closures) during(ctx context.Context, cut time.Duration) {
	s := c.soak
	dataCentre, delay := c.rng.IntN(2), time.Duration(c.rng.Int64N(int64(maxClosureDelay)))
	if c.rng.IntN(2) == 0 || c.closed.Swap(true) {
		return
	}
	s.paths.pending.Go(func() {
		defer c.closed.Store(false)
		sageclock.Sleep(ctx, delay)
		s.recordInjected(fmt.Sprintf("data centre %d closed", dataCentre), cut+closedAfterCut)
		s.sys.CloseDataCentre(dataCentre, s.delayBoundsApply())
		sageclock.Sleep(ctx, cut+closedAfterCut)
		s.sys.OpenDataCentre(dataCentre)
	})
}
