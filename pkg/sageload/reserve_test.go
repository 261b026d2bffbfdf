package sageload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestAll lets every router send one request to the coordinator; the last one needs neededByLast
// units, the others want only reserves.
func (s *scenario) requestAll(l *Ledger, routers []*Allotment, neededByLast int) {
	l.RecordReport(s.now, s.now, Report{BootID: "e1", InFlight: s.inFlight()}, 4)
	for i, a := range routers {
		units, reserve := 2, 2
		if i == len(routers)-1 {
			units, reserve = neededByLast, 0
		}
		a.Reserve = reserve
		if r, ok := a.Request(s.now, "a", units); ok {
			a.ApplyGrant(l.HandleRequest(s.now, r))
		}
	}
	s.now = s.now.Add(100 * time.Millisecond)
}

// Guards against refusing a router with a waiting request while others hold unused reserves. Eight
// routers share a cold engine with a capacity of four, and seven of them hold units in reserve. If each
// renewal gave the same routers the same units, the eighth would never get one.
func TestNeedComesBeforeReserves(t *testing.T) {
	s := newScenario("")
	l := s.ledgerOf("a")
	var routers []*Allotment
	for i := range 8 {
		a := &Allotment{Upstream: "u", Holder: fmt.Sprintf("r%d", i), Node: fmt.Sprint("n", i), Limits: s.limits}
		if i < len(s.voters) {
			a.Node, a.Voter = s.voters[i], true
		}
		routers = append(routers, a)
	}
	s.routers = routers
	last := routers[len(routers)-1]
	for range 8 { // covers several orders of the holders
		for range 70 {
			s.requestAll(l, routers, 0)
		}
		free := 0
		for _, a := range routers {
			free += a.Free(s.now)
		}
		require.GreaterOrEqual(t, free, 3, "the reserves use the capacity; one unit may be in transfer to another holder")
		require.Zero(t, last.Free(s.now))
		for range 3 {
			s.requestAll(l, routers, 1)
		}
		require.Equal(t, 1, last.Free(s.now), "its need is served by the next requests")
		require.LessOrEqual(t, l.Committed(), 4)
	}
}
