package sagerouter

import (
	"context"
	"time"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// cacheSyncPollInterval is how often a waiting request checks whether the cache resync is complete.
const cacheSyncPollInterval = 5 * time.Millisecond

// AwaitCacheSync implements [sagerelay.Fleet].
//
// After a restart of the whole fleet, the first requests arrive before the engines have listed their cached prompt
// parts. Sent immediately, they would be placed on engines that have to process the shared parts again. The wait
// ends when the resync is complete or an engine is known to hold the chain, and takes at most the time in which an
// engine processes the shared parts, so that waiting never costs more than a cache hit saves.
func (f *fleet) AwaitCacheSync(ctx context.Context, service string, c sagechain.Chain) {
	if f.cacheSynced() || f.placer.HasHolder(sageclock.Now(), c) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.PrefillTime(service, c.Shared().Tokens()))
	defer cancel()
	t := time.NewTicker(cacheSyncPollInterval)
	defer t.Stop()
	for !f.cacheSynced() && !f.placer.HasHolder(sageclock.Now(), c) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
