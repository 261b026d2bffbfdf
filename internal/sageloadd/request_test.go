package sageloadd

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// staticConfig is a configuration that doesn't change.
type staticConfig struct{ state *sageconfig.State }

func (c *staticConfig) State() *sageconfig.State { return c.state }

func newEngines(n int) (*staticConfig, []string) {
	c := &staticConfig{state: sageconfig.NewState()}
	var names []string
	for i := range n {
		name := fmt.Sprintf("engine%d", i)
		names = append(names, name)
		c.state.Apply(sageconfig.Entry{TicketNumber: 1, Change: sageconfig.Change{
			Key:      sageconfig.EntryKey{Kind: sageconfig.KindUpstream, Name: name},
			Upstream: &sageconfig.Upstream{Kind: sageconfig.Engine, DataCentre: "derby", MaxInFlight: 4, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)},
		}})
	}
	return c, names
}

// A router that had just started had placed no request, so it requested no units, held none, and all its chats
// waited until they were abandoned. Requesting units of all engines instead cost 58 KB/s per node with 172
// engines. The first request must lead to a grant request, for a few upstreams only.
func TestFirstRequestAsksFewUpstreams(t *testing.T) {
	c, names := newEngines(40)
	s := &Service{Node: "10.0.0.1:7201", Roster: []sageload.Member{{Name: "10.0.0.1:7201", DataCentre: "derby"}}, Config: c, Limits: testLimits}
	numRequested := func() (n int) {
		for _, u := range s.upstreams {
			if units, _ := u.unitsToRequest(s.started); units > 0 {
				n++
			}
		}
		return n
	}
	s.init()
	s.applyConfig()
	require.Zero(t, numRequested(), "at rest")
	require.Zero(t, s.Slots(names, 0))
	require.GreaterOrEqual(t, numRequested(), 1)
	require.LessOrEqual(t, numRequested(), 2*maxInitialUpstreams, "the two calls may fall into different seconds, which select different upstreams")
}
