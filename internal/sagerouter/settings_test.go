package sagerouter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSettingsCheckBounds(t *testing.T) {
	good := func() Settings {
		return Settings{
			Node: "n", Listen: Listen{Entry: "127.0.0.1:1", Mesh: "127.0.0.1:2"}, Store: "127.0.0.1:3",
			Bounds: Bounds{
				KeyWithinMillis: 5000, ConfigWithinMillis: 2000, UpstreamWithinMillis: 2000, ClosedWithinMillis: 5000,
				RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, StopWithinSeconds: 8,
			},
		}
	}
	s := good()
	require.NoError(t, s.Check(), "the cap on loads may be left out")
	for name, spoil := range map[string]func(b *Bounds){
		"keys":         func(b *Bounds) { b.KeyWithinMillis = 0 },
		"config":       func(b *Bounds) { b.ConfigWithinMillis = 0 },
		"upstreams":    func(b *Bounds) { b.UpstreamWithinMillis = -1 },
		"data centres": func(b *Bounds) { b.ClosedWithinMillis = 0 },
		"cap":          func(b *Bounds) { b.LoadCap = 0.5 },
		"retries":      func(b *Bounds) { b.RetrySlack = -1 },
		"stop":         func(b *Bounds) { b.StopWithinSeconds = 0 },
	} {
		s := good()
		spoil(&s.Bounds)
		require.ErrorIs(t, s.Check(), ErrSettings, name)
	}
}
