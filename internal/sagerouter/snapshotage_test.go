package sagerouter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
)

// Prevents the recovery from taking long, and from growing with each loss, because it sends and saves records of streams that ended long ago.
func TestRecordsThatEndedAreNotRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, lifetime, seconds = 500, 2 * time.Second, 20
		store := new(snapshotStore)
		k := newTestKeeper(store, "node-a")
		k.Now = virtualNow
		go func() { _ = k.Run(t.Context()) }()
		until := make(map[sageorigin.Key]sageclock.Instant)
		save := func() {
			r := testRecord(fmt.Sprint(len(until)), "v1", virtualNow().Add(lifetime))
			until[r.Key] = r.Until
			k.Save([]sageorigin.Record{r})
		}
		save()
		pause(time.Second)
		burst := maxPending
		for range burst {
			save()
		}
		for range seconds * perSecond {
			save()
			pause(time.Second / perSecond)
		}
		pause(snapshotInterval)
		r, _ := newSnapshotRecovery(store, newTestKeeper(store, "node-b"))
		r.Now = virtualNow
		require.NoError(t, r.load(t.Context()))
		for key, at := range until {
			record, ok := r.records.byKey[key]
			switch now := virtualNow(); {
			case at > now:
				require.True(t, ok, "its caller may return for %v", at.Sub(now))
				require.GreaterOrEqual(t, record.Until, at.Add(-time.Millisecond))
			case now.Sub(at) > 3*snapshotInterval:
				require.False(t, ok, "ended %v ago", now.Sub(at))
			}
		}
	})
}
