package sagerouter

import (
	"context"
	"time"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// awaitPoll is how often a request that waits for the recall looks.
const awaitPoll = 5 * time.Millisecond

// Await implements [sagerelay.Fleet].
//
// It guards against prompts that are read again after all nodes were stopped: the first requests come before the
// engines have listed what they hold. A request waits for that at most as long as an engine needs to read its
// shared parts, so that it loses no more than it may save, and only until the recall is over.
func (f *fleet) AwaitCacheSync(ctx context.Context, service string, c sagechain.Chain) {
	if f.recalled() || f.placer.HasHolder(sageclock.Now(), c) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.PrefillTime(service, c.Shared().Tokens()))
	defer cancel()
	t := time.NewTicker(awaitPoll)
	defer t.Stop()
	for !f.recalled() && !f.placer.HasHolder(sageclock.Now(), c) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
