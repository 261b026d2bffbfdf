package sagerouter

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
)

// All nodes were stopped at once, and the first requests after the start have every prompt read again that an engine
// lists a moment later.
func TestRequestsWaitForTheRecall(t *testing.T) {
	const reading = time.Hour // whoever waits for it ends with the context only
	long := sagechain.Chain{{ID: 1, Tokens: int(reading / startRead)}, {ID: 2, Tokens: 5}}
	for _, tt := range []struct {
		name     string
		chain    sagechain.Chain
		recalled bool
		listed   bool // an engine lists the chain meanwhile
		waits    bool
	}{
		{"nobody lists it", long, false, false, true},
		{"an engine lists it", long, false, true, false},
		{"the recall is over", long, true, false, false},
		{"nothing is shared", long[1:], false, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.recalled = func() bool { return tt.recalled }
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
