package sageloadd

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

// configOf holds n engines.
type configOf struct{ state *sageconfig.State }

func (c *configOf) State() *sageconfig.State { return c.state }

func manyEngines(n int) (*configOf, []string) {
	c := &configOf{state: sageconfig.NewState()}
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

// A router that has just started has placed nothing, so it asked for nothing, so it held nothing, and
// all its chats waited until they were given up; seen in the demo. Asking for all engines instead
// cost 58 KB/s a node with 172 of them. The first request must ask, and only a few.
func TestFirstRequestAsksFewUpstreams(t *testing.T) {
	c, names := manyEngines(40)
	s := &Service{Node: "10.0.0.1:7201", Roster: []sageload.Member{{Name: "10.0.0.1:7201", DataCentre: "derby"}}, Config: c, Limits: testLimits}
	asked := func() (n int) {
		for _, u := range s.upstreams {
			if units, _ := u.units(s.started); units > 0 {
				n++
			}
		}
		return n
	}
	s.init()
	s.follow()
	require.Zero(t, asked(), "at rest")
	require.Zero(t, s.Slots(names, 0))
	require.GreaterOrEqual(t, asked(), 1)
	require.LessOrEqual(t, asked(), 2*firstWants, "two calls within a second or over its end")
}
