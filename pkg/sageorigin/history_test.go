package sageorigin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// present returns the versions of one service.
func present(versions ...string) map[string]map[string]bool {
	out := map[string]map[string]bool{"chat": {}}
	for _, v := range versions {
		out["chat"][v] = true
	}
	return out
}

const window = second * 30

func TestSoleVersion(t *testing.T) {
	require.EqualValues(t, Window, window)
	for _, tt := range []struct {
		name   string
		change func(h *History)
		sole   string // at one second
		later  string // a window later
	}{
		{"one version", func(*History) {}, "v1", "v1"},
		{"two versions", func(h *History) { h.SetVersions(second, present("v1", "v2")) }, "", ""},
		{"a version is replaced", func(h *History) { h.SetVersions(second, present("v2")) }, "", "v2"},
		{"a version comes back", func(h *History) {
			h.SetVersions(second, present())
			h.SetVersions(second, present("v1"))
		}, "v1", "v1"},
		{"all upstreams left", func(h *History) { h.SetVersions(second, present()) }, "v1", ""},
		{"a version departed before the start", func(h *History) { h.AddDeparture(second, chatV2) }, "", "v1"},
		{"another service's version departed", func(h *History) { h.AddDeparture(second, Origin{"app", "v9"}) }, "v1", "v1"},
		{"the route got a second service", func(h *History) { h.SetRoutes(second, map[string][]string{"r": {"chat", "app"}}) }, "", ""},
		{"the route left another service", func(h *History) {
			h.SetRoutes(second/2, map[string][]string{"r": {"chat", "app"}})
			h.SetRoutes(second, map[string][]string{"r": {"chat"}})
		}, "", "v1"},
		{"the route was moved and moved back", func(h *History) {
			h.SetRoutes(second/2, map[string][]string{"r": {"app"}})
			h.SetRoutes(second, map[string][]string{"r": {"chat"}})
		}, "", "v1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var h History
			h.SetVersions(0, present("v1"))
			h.SetRoutes(0, map[string][]string{"r": {"chat"}, "other": {"app"}})
			tt.change(&h)
			for now, want := range map[bool]string{false: tt.sole, true: tt.later} {
				at := second
				if now {
					at += window
				}
				o, ok := h.Sole(at, "r")
				require.Equal(t, want != "", ok, "at %v", at)
				if ok {
					require.Equal(t, Origin{"chat", want}, o)
				}
			}
			_, status := h.Status(second, "unknown")
			require.Equal(t, Uninformed, status)
		})
	}
}

// Prevents a node that has just started from taking what it sees for all that was.
func TestHistoryIsCompleteAfterWindow(t *testing.T) {
	var h History
	require.False(t, h.Complete(99*window))
	h.SetRoutes(0, map[string][]string{"r": {"chat"}})
	_, status := h.Status(99*window, "r")
	require.Equal(t, Uninformed, status)
	h.SetVersions(second, present("v1"))
	h.SetVersions(2*second, present("v1"))
	require.False(t, h.Complete(window))
	require.True(t, h.Complete(second+window))
	for at, want := range map[sageclock.Instant]Status{window: SoleSinceStart, second + window: Sole} {
		o, status := h.Status(at, "r")
		require.Equal(t, chatV1, o)
		require.Equal(t, want, status)
	}
	h.SetComplete()
	require.True(t, h.Complete(second))
}

func TestDepartures(t *testing.T) {
	var h History
	h.SetRoutes(second, map[string][]string{"r": {"chat"}})
	h.AddDeparture(second+window/2, Origin{"app", "v9"}) // no route leads there
	h.SetVersions(second, present("v1", "v2"))
	h.SetVersions(2*second, present("v2"))
	recent, ended := h.Departures(3 * second)
	require.Equal(t, []Departure{{chatV1, 2 * second}}, recent)
	require.Empty(t, ended)
	recent, ended = h.Departures(2*second + window)
	require.Empty(t, recent)
	require.Equal(t, []Origin{chatV1}, ended)
	_, ended = h.Departures(2*second + window)
	require.Empty(t, ended, "an ended departure is returned once")
}
