package sageadmission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagewire"
)

// A set has units; then the router that grants them dies, and until its successor may grant, there
// are none. A caller was refused "overloaded" at once, though nothing was in flight; seen when a trace
// was replayed while homes changed. It must wait for the successor, but not without end.
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
		require.Less(t, time.Since(start), noUnits+time.Second, "given up before the caller's deadline")
		start = time.Now()
		_, ref = s.Admit(t.Context(), request("a"))
		require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
		require.Zero(t, time.Since(start), "from then on at once")
	})
}
