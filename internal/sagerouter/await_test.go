package sagerouter

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// After a restart of all nodes, the first requests were placed before the engines had listed their cached parts,
// and their prompts were processed again.
func TestRequestsWaitForCacheResync(t *testing.T) {
	const wait = time.Hour // longer than the context lives
	long := sagechain.Chain{{ID: 1, Tokens: int(wait / initialPrefillPerToken)}, {ID: 2, Tokens: 5}}
	for _, tt := range []struct {
		name   string
		chain  sagechain.Chain
		synced bool
		listed bool // an engine lists the chain during the wait
		waits  bool
	}{
		{"no engine lists the chain", long, false, false, true},
		{"an engine lists the chain", long, false, true, false},
		{"the resync is complete", long, true, false, false},
		{"the chain has no shared parts", long[1:], false, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.cacheSynced = func() bool { return tt.synced }
			if tt.listed {
				time.AfterFunc(10*time.Millisecond, func() { f.placer.RecordListed(sageclock.Now(), "u1", []uint64{1}) })
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.waits {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			f.AwaitCacheSync(ctx, "s", tt.chain)
			require.Equal(t, tt.waits, ctx.Err() != nil)
		})
	}
}
