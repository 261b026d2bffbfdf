package sageload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// round lets every router ask the home once; the last one needs a unit, the others only hold reserves.
func (s *stage) round(l *Ledger, routers []*Allotment, needs int) {
	l.RecordReport(s.now, s.now, Report{BootID: "e1", InFlight: s.inFlight()}, 4)
	for i, h := range routers {
		units, spare := 2, 2
		if i == len(routers)-1 {
			units, spare = needs, 0
		}
		h.Reserve = spare
		if w, ok := h.Request(s.now, "a", units); ok {
			h.ApplyGrant(l.HandleRequest(s.now, w))
		}
	}
	s.now = s.now.Add(100 * time.Millisecond)
}

// Eight routers stand before a cold engine that bears four. Seven of them hold what they once used in
// reserve, nothing is in flight; the eighth gets a chat and is refused as overloaded, minute after
// minute, since each renewal gives the same routers the same units. Its need must come before their
// reserves.
func TestNeedComesBeforeReserves(t *testing.T) {
	s := newStage("")
	l := s.homeOf("a")
	var routers []*Allotment
	for i := range 8 {
		h := &Allotment{Upstream: "u", Holder: fmt.Sprintf("r%d", i), Node: fmt.Sprint("n", i), Limits: s.limits}
		if i < len(s.voters) {
			h.Node, h.Voter = s.voters[i], true
		}
		routers = append(routers, h)
	}
	s.routers = routers
	last := routers[len(routers)-1]
	for range 8 { // whoever is first in the order of a turn
		for range 70 {
			s.round(l, routers, 0)
		}
		held := 0
		for _, h := range routers {
			held += h.Free(s.now)
		}
		require.GreaterOrEqual(t, held, 3, "the reserves fill the engine; one may be on its way to another holder")
		require.Zero(t, last.Free(s.now))
		for range 3 {
			s.round(l, routers, 1)
		}
		require.Equal(t, 1, last.Free(s.now), "its need is served by the next asks")
		require.LessOrEqual(t, l.Committed(), 4)
	}
}
