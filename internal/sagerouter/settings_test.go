package sagerouter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSettingsCheckBounds(t *testing.T) {
	valid := func() Settings {
		return Settings{
			Node: "n", Listen: Listen{Entry: "127.0.0.1:1", Mesh: "127.0.0.1:2"}, Store: "127.0.0.1:3",
			Bounds: Bounds{
				KeyWithinMillis: 5000, ConfigWithinMillis: 2000, UpstreamWithinMillis: 2000, ClosedWithinMillis: 5000,
				RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, StopWithinSeconds: 8,
			},
		}
	}
	s := valid()
	require.NoError(t, s.Check(), "the load cap is optional")
	for name, invalidate := range map[string]func(b *Bounds){
		"keys":         func(b *Bounds) { b.KeyWithinMillis = 0 },
		"config":       func(b *Bounds) { b.ConfigWithinMillis = 0 },
		"upstreams":    func(b *Bounds) { b.UpstreamWithinMillis = -1 },
		"data centres": func(b *Bounds) { b.ClosedWithinMillis = 0 },
		"cap":          func(b *Bounds) { b.LoadCap = 0.5 },
		"retries":      func(b *Bounds) { b.RetrySlack = -1 },
		"stop":         func(b *Bounds) { b.StopWithinSeconds = 0 },
	} {
		s := valid()
		invalidate(&s.Bounds)
		require.ErrorIs(t, s.Check(), ErrSettings, name)
	}
}

// A bandwidth given in the wrong unit must not make the node the aggregator of its data centre.
func TestSettingsCheckLinkBandwidth(t *testing.T) {
	const rest = `"node": "n", "listen": {"entry": "127.0.0.1:1", "mesh": "127.0.0.1:2"}, "store": "127.0.0.1:3", "memory_mb": 100,
		"bounds": {"key_within_millis": 1, "config_within_millis": 1, "upstream_within_millis": 1, "closed_within_millis": 1,
		"retry_ratio": 0, "retry_slack": 0, "retry_window_seconds": 1, "stop_within_seconds": 1}`
	for _, tt := range []struct {
		link string
		want error
	}{
		{"", nil},
		{`"link_mbps": 0,`, nil},
		{`"link_mbps": 20.5,`, nil},
		{`"link_mbps": -1,`, ErrSettings},
		{`"link_mbps": 20000000,`, ErrSettings},
		{`"link_mbps": "20",`, ErrSettings},
	} {
		_, err := ReadSettings(strings.NewReader("{" + tt.link + rest + "}"))
		require.ErrorIs(t, err, tt.want, tt.link)
	}
}
