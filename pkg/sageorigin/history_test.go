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
		{"another service's version departed", func(h *History) {
			h.SetVersions(second, map[string]map[string]bool{"chat": {"v1": true}, "app": {"v9": true}})
			h.SetVersions(second, present("v1"))
		}, "v1", "v1"},
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

// Prevents departed versions from being kept for ever.
func TestDepartedVersionsAreForgotten(t *testing.T) {
	var h History
	h.SetVersions(second, present("v1", "v2"))
	h.SetVersions(2*second, present("v2"))
	require.Len(t, h.departed, 1)
	h.SetVersions(2*second+window, present("v2"))
	require.Empty(t, h.departed)
}

// Prevents a node that has just started from taking what it sees, or a claim that says something else, for proof that there was one
// version only.
func TestClaimsReplaceTheHistory(t *testing.T) {
	claim := Claim{Service: "chat", Sole: true, Version: "v1", Routes: []string{"r"}}
	for _, tt := range []struct {
		name   string
		change func(h *History, c *Claim)
		want   Status
	}{
		{"claim of the version", func(*History, *Claim) {}, Sole},
		{"claim of another version", func(_ *History, c *Claim) { c.Version = "v2" }, SoleSinceStart},
		{"claim for another route", func(_ *History, c *Claim) { c.Routes = []string{"x"} }, SoleSinceStart},
		{"several versions", func(_ *History, c *Claim) { *c = Claim{Service: "chat", Admitted: map[string]uint64{"v1": 1}} }, SoleSinceStart},
		{"another service", func(_ *History, c *Claim) { c.Service = "app" }, SoleSinceStart},
		{"a version appeared since", func(h *History, _ *Claim) { h.SetVersions(second, present("v1", "v2")) }, Unknown},
		{"a version departed since", func(h *History, _ *Claim) { h.SetVersions(second, present()); h.SetVersions(second, present("v2")) }, Unknown},
		{"the route moved since", func(h *History, _ *Claim) {
			h.SetRoutes(second, map[string][]string{"r": {"app"}})
			h.SetRoutes(second, map[string][]string{"r": {"chat"}})
		}, Unknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var h History
			h.SetRoutes(second, map[string][]string{"r": {"chat"}})
			h.SetClaims(second, map[string]Claim{"chat": claim})
			h.SetVersions(second, present("v1"))
			_, status := h.Status(second, "r")
			require.Equal(t, SoleSinceStart, status, "a claim read before the upstreams misses what happened until then")
			c := claim
			tt.change(&h, &c)
			h.SetClaims(second, map[string]Claim{c.Service: c})
			_, status = h.Status(second, "r")
			require.Equal(t, tt.want, status)
		})
	}
}

// Prevents a node that was out of step from taking its history, or an earlier claim, for complete.
func TestGapEndsWhatWasKnownBefore(t *testing.T) {
	var h History
	h.RecordGap(second)
	require.False(t, h.Complete(second+window), "nothing was known before the gap")
	h.SetRoutes(second, map[string][]string{"r": {"chat"}})
	h.SetVersions(second, present("v1"))
	h.SetComplete()
	claims := map[string]Claim{"chat": {Service: "chat", Sole: true, Version: "v1", Routes: []string{"r"}}}
	h.SetClaims(second, claims)
	require.True(t, h.Claimed(chatV1, "r"))
	h.RecordGap(9 * second)
	require.False(t, h.Claimed(chatV1, "r"))
	h.SetClaims(9*second-1, claims)
	require.False(t, h.Claimed(chatV1, "r"), "the read began before the gap ended")
	for at, want := range map[sageclock.Instant]Status{9*second + window - 1: SoleSinceStart, 9*second + window: Sole} {
		_, status := h.Status(at, "r")
		require.Equal(t, want, status)
	}
}

func TestClaimable(t *testing.T) {
	var h History
	h.SetRoutes(second, map[string][]string{"r": {"chat"}, "a": {"chat"}, "split": {"chat", "app"}, "x": {"app"}})
	h.SetVersions(second, present("v1"))
	_, _, ok := h.Claimable(second, "chat", false)
	require.False(t, ok, "the history doesn't reach back")
	_, _, ok = h.Claimable(second, "chat", true)
	require.True(t, ok, "nothing was before")
	version, routes, ok := h.Claimable(second+window, "chat", false)
	require.True(t, ok)
	require.Equal(t, "v1", version)
	require.Equal(t, []string{"a", "r"}, routes)
	require.Equal(t, []string{"app", "chat"}, h.Services())
	h.SetVersions(second+window, present("v1", "v2"))
	_, _, ok = h.Claimable(second+window, "chat", true)
	require.False(t, ok)
}
