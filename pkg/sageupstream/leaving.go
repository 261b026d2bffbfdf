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

// leavingStarts holds the starts of upstreams that announced that they leave, each with the time at which it was last
// listed.
type leavingStarts struct {
	lastListed map[Start]sageclock.Instant
}

func (l *leavingStarts) add(now sageclock.Instant, e *Entry) {
	if l.lastListed == nil {
		l.lastListed = make(map[Start]sageclock.Instant)
	}
	l.lastListed[e.Start()] = now
}

func (l *leavingStarts) contains(e *Entry) bool {
	_, ok := l.lastListed[e.Start()]
	return ok
}

func (l *leavingStarts) forget(e *Entry) { delete(l.lastListed, e.Start()) }

// sweep drops the announcements of starts that have not been among the listed entries for leavingRetention, and the
// oldest ones above maxUnlistedLeaving.
func (l *leavingStarts) sweep(now sageclock.Instant, listed map[string]*Entry) {
	unlisted := 0
	for k, at := range l.lastListed {
		e := listed[k.ID]
		switch {
		case e != nil && e.Start() == k:
			l.lastListed[k] = now
		case now.Sub(at) >= leavingRetention:
			delete(l.lastListed, k)
		default:
			unlisted++
		}
	}
	for ; unlisted > maxUnlistedLeaving; unlisted-- {
		l.dropOldest(listed)
	}
}

func (l *leavingStarts) dropOldest(listed map[string]*Entry) {
	var oldest Start
	found := false
	for k, at := range l.lastListed {
		if e := listed[k.ID]; e != nil && e.Start() == k {
			continue
		}
		if !found || at < l.lastListed[oldest] {
			oldest, found = k, true
		}
	}
	delete(l.lastListed, oldest)
}
