package sageupstream

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// leavingRetention is how long an announcement is kept after its start was last listed. An upstream that leaves
// runs for seconds to minutes after its entry is gone, and the entry may come back meanwhile.
const leavingRetention = 10 * time.Minute

// maxUnlistedLeaving limits the announcements of starts that aren't listed.
const maxUnlistedLeaving = 4096

// location is an upstream's ID at an address, which successive starts may share.
type location struct{ id, address string }

func locationOf(e *Entry) location { return location{e.ID, e.Address} }

// leavingStart is a start that announced that it leaves.
type leavingStart struct {
	born       int64
	lastListed sageclock.Instant
}

// leavingStarts holds the latest start of each upstream that announced that it leaves.
type leavingStarts struct {
	starts map[location]leavingStart
}

func (l *leavingStarts) add(now sageclock.Instant, e *Entry) {
	if l.starts == nil {
		l.starts = make(map[location]leavingStart)
	}
	born := max(e.Born, l.starts[locationOf(e)].born)
	l.starts[locationOf(e)] = leavingStart{born, now}
}

// contains reports whether the start, or a later one at the same address, announced that it leaves. The store may
// show an earlier start after the later one was removed.
func (l *leavingStarts) contains(e *Entry) bool {
	s, ok := l.starts[locationOf(e)]
	return ok && e.Born <= s.born
}

func (l *leavingStarts) forget(e *Entry) { delete(l.starts, locationOf(e)) }

// sweep drops the announcements of starts that have not been among the listed entries for leavingRetention, and the
// oldest ones above maxUnlistedLeaving.
func (l *leavingStarts) sweep(now sageclock.Instant, listed map[string]*Entry) {
	unlisted := 0
	for at, s := range l.starts {
		switch {
		case isListed(at, listed):
			l.starts[at] = leavingStart{s.born, now}
		case now.Sub(s.lastListed) >= leavingRetention:
			delete(l.starts, at)
		default:
			unlisted++
		}
	}
	for ; unlisted > maxUnlistedLeaving; unlisted-- {
		l.dropOldest(listed)
	}
}

// isListed reports whether an upstream is listed with this address.
func isListed(at location, listed map[string]*Entry) bool {
	e := listed[at.id]
	return e != nil && e.Address == at.address
}

func (l *leavingStarts) dropOldest(listed map[string]*Entry) {
	var oldest location
	found := false
	for at, s := range l.starts {
		if isListed(at, listed) {
			continue
		}
		if !found || s.lastListed < l.starts[oldest].lastListed {
			oldest, found = at, true
		}
	}
	delete(l.starts, oldest)
}
