package sagesync

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the n nodes of live that watch the store for their data centre: those with the
// highest rendezvous hashing weight. Nodes with the same view of live choose the same watchers, and a
// node that leaves or joins moves at most one watch. Different views only cause a few more watches.
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

// IsWatcher reports whether node is one of the n watchers. The node counts as live even if it isn't in
// live yet, for instance because it has just started.
func IsWatcher(node string, live []string, n int) bool {
	higher := 0
	for _, other := range live {
		if other == node {
			continue
		}
		if a, b := weight(other), weight(node); a > b || a == b && other < node {
			higher++
		}
	}
	return higher < n
}
