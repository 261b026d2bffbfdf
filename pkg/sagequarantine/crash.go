package sagequarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sagestand.example/sagestand/pkg/sageclock"
)

// CrashID identifies the crash that ended an incarnation of an upstream. It is the same on every node.
type CrashID uint64

// CrashIDOf returns the ID of the crash that ends an incarnation of an upstream.
func CrashIDOf(upstream string, incarnation int64) CrashID {
	return CrashID(xxhash.Sum64String(upstream + "/" + strconv.FormatInt(incarnation, 10)))
}

// Crash is a crash of an upstream.
type Crash struct {
	ID CrashID
	// At is when the upstream crashed, by this node's clock.
	At sageclock.Instant

	own bool // recorded by this node, not reported by a peer
}

// simultaneous is the time within which crashes have one cause, such as a loss of power.
const simultaneous = 20 * time.Millisecond

// countEvents returns the number of crashes that count against a suspect. Under parts, simultaneous ones count once: many
// requests have the same part, and run at several upstreams at a time.
func countEvents(k Kind, crashes []Crash) int {
	if k == Request {
		return len(crashes)
	}
	n, last := 0, sageclock.Instant(0)
	for _, c := range slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) }) {
		if n == 0 || c.At.Sub(last) >= simultaneous {
			n, last = n+1, c.At
		}
	}
	return n
}

// idsOf returns the IDs of crashes.
func idsOf(crashes []Crash) []CrashID {
	out := make([]CrashID, len(crashes))
	for i, c := range crashes {
		out[i] = c.ID
	}
	return out
}

// Report lists what ran at an upstream when it crashed.
type Report struct {
	Crash CrashID
	// Age is the time since the crash.
	Age      time.Duration
	Suspects []Suspect
}
