package sagesync

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the n nodes of live that watch the store for their data centre: those of the
// highest rendezvous weight. Nodes that agree on who is live agree on the watchers; a node that
// leaves or joins moves at most one watch. Nodes that disagree only cost a few watches more.
func Watchers(live []string, n int) []string {
	w := append([]string(nil), live...)
	sort.Slice(w, func(i, j int) bool {
		a, b := weight(w[i]), weight(w[j])
		if a != b {
			return a > b
		}
		return w[i] < w[j]
	})
	return w[:min(n, len(w))]
}

func weight(node string) uint64 { return xxhash.Sum64String("config-watcher/" + node) }

// IsWatcher reports whether node is one of the n watchers. A node that is not among live, as when it
// has just started, is counted in.
func IsWatcher(node string, live []string, n int) bool {
	above := 0
	for _, o := range live {
		if o == node {
			continue
		}
		if a, b := weight(o), weight(node); a > b || a == b && o < node {
			above++
		}
	}
	return above < n
}
