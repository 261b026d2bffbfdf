package sageadmission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

// The coordinator that grants the units of a set fails, and no units exist until its successor may grant
// any. Requests in that time were refused as overloaded although nothing was in flight. They must wait
// for the successor, up to noUnitsTimeout.
func TestTemporaryLossOfUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newService(1)
		release, ref := s.Admit(t.Context(), request("a"))
		require.Nil(t, ref)
		release()
		time.Sleep(time.Second)
		f.slots.Store(0)
		go func() {
			time.Sleep(4 * time.Second)
			f.slots.Store(1)
		}()
		start := time.Now()
		release, ref = s.Admit(t.Context(), request("a"))
		require.Nil(t, ref)
		release()
		require.GreaterOrEqual(t, time.Since(start), 4*time.Second)

		time.Sleep(time.Second)
		f.slots.Store(0)
		start = time.Now()
		_, ref = s.Admit(t.Context(), request("a"))
		require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
		require.Less(t, time.Since(start), noUnitsTimeout+time.Second, "refused before the caller's deadline")
		start = time.Now()
		_, ref = s.Admit(t.Context(), request("a"))
		require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
		require.Zero(t, time.Since(start), "later requests are refused immediately")
	})
}
