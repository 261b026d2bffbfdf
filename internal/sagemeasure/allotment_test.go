package sagemeasure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: homes grant 1.5 x mean in all and routers keep two units of each engine in advance. Units
// held idle count against the grants but not in the mean; the mean falls with each refusal and the
// grants fall with the mean, until requests wait two seconds for a unit of idle engines and some are
// refused then. Asked for on demand, the same bound refuses nothing.
func TestAdvanceAllotmentsOfMeanRefuseRequests(t *testing.T) {
	s := smallSite
	s.routers = 8
	run := func(rule allotmentRule) *replay {
		v := sagestand
		v.allotments, v.loadFeed = &rule, countFeed
		p := newReplay(s, v, makeTrace(s, 1, time.Minute), 1)
		p.runUntil(90 * time.Second)
		return p
	}
	inAdvance := run(allotmentRule{meanMultiple: 1.5, headroom: 2})
	require.Greater(t, inAdvance.refusedShare(20*time.Second), 0.02)
	onDemand := run(allotmentRule{meanMultiple: 1.5, onDemand: true})
	require.Zero(t, onDemand.refusedShare(20*time.Second))
	require.Less(t, inAdvance.cacheReuse(20*time.Second), onDemand.cacheReuse(20*time.Second))
	require.NotZero(t, onDemand.allotments.onDemandRequests)
}
