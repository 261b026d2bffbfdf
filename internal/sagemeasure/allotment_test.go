package sagemeasure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals at idle engines: coordinators grant 1.5 x mean in total while routers hold
// two units of each engine in advance. Idle units count against the grants but not in the mean, so each
// refusal lowers the mean and with it the grants, until requests wait two seconds for a unit and some
// are refused. Units granted on demand under the same bound cause no refusals.
func TestStandingAllotmentsOfMeanCollapse(t *testing.T) {
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
