package sageorigin

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents a version from beginning streams while the store says that there is another one only, or by an admission from before
// it departed and came back.
func TestClaimAdmits(t *testing.T) {
	sole := Claim{Service: "chat", Sole: true, Version: "v1", Routes: []string{"r"}, AsOf: 5}
	require.True(t, sole.Admits("v1", 9))
	require.False(t, sole.Admits("v2", 1))
	both := sole.Admit("v2", 0, 12)
	require.NoError(t, both.Check())
	require.Equal(t, Claim{Service: "chat", Admitted: map[string]uint64{"v1": 5, "v2": 12}}, both)
	require.True(t, both.Admits("v2", 12))
	require.False(t, both.Admits("v2", 13), "it came back since")
	require.False(t, both.Admits("v3", 1))
	again := both.Admit("v2", 0, 20)
	require.True(t, again.Admits("v2", 13))
	require.False(t, both.covers(chatV1, "r"))
	require.True(t, sole.covers(chatV1, "r"))
}

func TestClaimCheck(t *testing.T) {
	for _, c := range []Claim{
		{},
		{Service: "chat", Version: "v1"},
		{Service: "chat", Routes: []string{"r"}},
		{Service: "chat", Sole: true, Version: "v1", Admitted: map[string]uint64{"v2": 1}},
	} {
		require.ErrorIs(t, c.Check(), ErrClaim)
	}
	require.NoError(t, (&Claim{Service: "chat", Sole: true}).Check(), "upstreams may have no version")
}
