package sagerouter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageflight"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// slotsEntry is the change of an upstream of version v2 with some slots.
func slotsEntry(name, slots string) sagefollow.Change {
	return put(name, 1, fmt.Sprintf(`{"ID":%[1]q,"Service":"s","Address":"%[1]s:1","DataCentre":"north","Version":"v2","Slots":%[2]s}`, name, slots))
}

// Prevents sums of slots that overflow, or fall because of a negative number, from turning the decisions for a whole service.
func TestOddSlotsDontTurnSums(t *testing.T) {
	for _, odd := range []string{"9000000000000000000", "9223372036854775807", "-9223372036854775808", "-100"} {
		f := newFleet(t, 0, 0)
		f.rollouts = new(sagerollout.Tracker)
		f.view.applyUpstreams([]sagefollow.Change{slotsEntry("a", odd), slotsEntry("b", odd), slotsEntry("c", odd), slotsEntry("d", "4")}, false)
		require.Equal(t, 4, f.view.upstreams.Load().Len(), odd)
		load := f.serviceLoad(sageclock.Now(), &sagerollout.Order{Service: "s", Target: "v2"})
		require.GreaterOrEqual(t, load.TargetSlots, 4, odd)
		require.False(t, f.usesManySlots("s", sageflight.Counts{"d": 1}), odd)
	}
}
