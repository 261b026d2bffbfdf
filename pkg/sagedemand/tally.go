package sagedemand

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// maxTracked is the maximum number of names that are counted by themselves at a node.
	maxTracked = 1024
	// evictionCandidates is the number of names of which the one with the smallest count makes capacity for a new name.
	evictionCandidates = 8
)

// named is the count of a name.
type named struct {
	name  string
	count int
}

// compareCounts orders by descending count, then by name, so that nodes with equal counts list the same names.
func compareCounts(a, b named) int {
	return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.name, b.name))
}

// tally counts the events of the last second by name, for a bounded number of names.
type tally struct {
	index   map[string]int // into entries
	entries []tallyEntry
	// next is the index of the first candidate of the next eviction.
	next int
}

type tallyEntry struct {
	name   string
	window window
}

// add counts an event. If there are too many names, a new one replaces one of the rare ones.
func (t *tally) add(now sageclock.Instant, name string) {
	i, ok := t.index[name]
	if !ok {
		i = t.place(now, name)
	}
	t.entries[i].window.add(now)
}

// place returns the index of the entry for a new name.
func (t *tally) place(now sageclock.Instant, name string) int {
	if t.index == nil {
		t.index = make(map[string]int)
	}
	if len(t.entries) < maxTracked {
		t.entries = append(t.entries, tallyEntry{name: name})
		t.index[name] = len(t.entries) - 1
		return len(t.entries) - 1
	}
	i := t.rarest(now)
	delete(t.index, t.entries[i].name)
	t.entries[i] = tallyEntry{name: name}
	t.index[name] = i
	return i
}

// rarest returns the index of the entry with the smallest count among the next candidates.
func (t *tally) rarest(now sageclock.Instant) int {
	best, bestCount := -1, 0
	for range evictionCandidates {
		i := t.next
		t.next = (t.next + 1) % len(t.entries)
		if n := t.entries[i].window.count(now); best < 0 || n < bestCount {
			best, bestCount = i, n
		}
	}
	return best
}

// heaviest returns the names with the largest counts, at most limit, and the number of names with a count.
func (t *tally) heaviest(now sageclock.Instant, limit int) (top []named, names int) {
	for i := range t.entries {
		if n := t.entries[i].window.count(now); n > 0 {
			top = append(top, named{t.entries[i].name, n})
		}
	}
	slices.SortFunc(top, compareCounts)
	return top[:min(limit, len(top))], len(top)
}
