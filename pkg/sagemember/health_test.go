package sagemember_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagemember"
)

// An engine answers every other probe. Each answer brings it back, work goes there and fails.
func TestHealthHysteresis(t *testing.T) {
	h := &sagemember.Health[string]{RiseAfter: 2, FallAfter: 3}
	now := time.Unix(1000, 0)
	probe := func(ok bool, boot string) bool {
		now = now.Add(time.Second)
		return h.Observe("e1", ok, boot, now)
	}
	require.False(t, h.Up("e1"))
	require.False(t, probe(true, "a"))
	require.True(t, probe(true, "a"))
	require.True(t, h.Up("e1"))
	require.Equal(t, now, h.Since("e1"))
	for range 20 { // every other probe fails: it stays as it is
		require.False(t, probe(false, ""))
		require.False(t, probe(true, "a"))
	}
	probe(false, "")
	probe(false, "")
	require.True(t, probe(false, ""))
	for range 2 {
		require.False(t, probe(true, "a"), "a thing that fell needs more good probes")
	}
	require.True(t, probe(true, "a"))

	require.True(t, probe(true, "b"), "a restart between two probes")
	require.False(t, h.Up("e1"))
	h.Retain(func(string) bool { return false })
	require.True(t, h.Since("e1").IsZero())
}

func TestHealthForgetsFlapsInTime(t *testing.T) {
	h := &sagemember.Health[int]{RiseAfter: 1, FallAfter: 1}
	now := time.Unix(1000, 0)
	risesAfter := func() int {
		h.Observe(1, false, "", now)
		for i := 1; ; i++ {
			now = now.Add(time.Second)
			if h.Observe(1, true, "a", now) {
				return i
			}
		}
	}
	h.Observe(1, true, "a", now)
	require.Equal(t, []int{3, 5, 9, 17, 33, 33}, []int{risesAfter(), risesAfter(), risesAfter(), risesAfter(), risesAfter(), risesAfter()})
	for range 40 {
		now = now.Add(time.Minute)
		h.Observe(1, true, "a", now)
	}
	require.Equal(t, 3, risesAfter())
}
