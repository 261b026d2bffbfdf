package sagemeasure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagemember"
)

func TestMembershipIsDeterministic(t *testing.T) {
	run := func() ([]Sample, []sagemember.Node) {
		samples, err := measureMembership(7, memberSize{nodes: 20, dataCentres: 3}, 0.3)
		require.NoError(t, err)
		f := NewMemberFleet(7)
		f.LossRate = 0.3
		require.NoError(t, f.AddNodes(20, 3, sagemember.DefaultLimits()))
		f.RunUntil(30, func() bool { return false })
		return samples, f.Nodes[5].Table.All()
	}
	samples, nodes := run()
	again, nodesAgain := run()
	require.Equal(t, samples, again)
	require.Equal(t, nodes, nodesAgain)
	require.Len(t, nodes, 20)
}
