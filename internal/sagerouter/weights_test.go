package sagerouter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagefair"
	"sagestand.example/sagestand/pkg/sageroute"
)

// Prevents accounts with huge weights from leaving no capacity to any account.
func TestHugeWeightsLeaveCapacityInUse(t *testing.T) {
	tab, err := sageroute.New(1, nil, nil, []sageroute.Account{{Name: "a", Weight: 1e308}, {Name: "b", Weight: 1e308}, {Name: "c", Weight: 1}}, sageroute.Limits{})
	require.NoError(t, err)
	var ds []sagefair.Demand
	for _, name := range []string{"a", "b", "c"} {
		weight, _ := tab.Share(name)
		ds = append(ds, sagefair.Demand{Account: name, Rate: 100, Weight: weight})
	}
	rates, _ := sagefair.Divide(100, ds)
	require.InDelta(t, 100, rates[0]+rates[1]+rates[2], 1e-6)
}
