package sagemember

import "time"

// judge moves one node through its states by its silence. The caller holds the lock.
func (t *Table) judge(e *entry, now time.Time) {
	suspectAfter, deadAfter := t.limits(e)
	silent := now.Sub(e.LastContact)
	switch e.State {
	case Alive:
		if silent > suspectAfter {
			e.become(Suspect, now)
			e.asked = make(map[uint64]bool)
			e.told = make(map[uint64]bool)
		}
		e.damp.steady(now)
	case Suspect:
		// Without the check, a node behind one bad link, or whose heartbeats were lost on the way to
		// this node only, would be dropped by this node while it serves everybody else.
		checked := len(e.asked) >= t.checks(e) || silent > t.Limits.UncheckedDeadAfter
		if silent > deadAfter && checked {
			e.become(Dead, now)
			e.damp.fell(now)
			t.evictions++
		}
	case Unconfirmed:
		// It was never up in this node's sight, so this is no flap.
		if silent > deadAfter {
			e.become(Dead, now)
		}
	case Dead:
	}
}

func (t *Table) limits(e *entry) (suspectAfter, deadAfter time.Duration) {
	f := time.Duration(1)
	if e.DataCentre != t.Self.DataCentre && t.far > t.Limits.RemoteWindow {
		f = time.Duration(max(1, t.Limits.RemoteFactor))
	}
	return f * t.Limits.SuspectAfter, f * t.Limits.DeadAfter
}

// checks returns how many nodes have to be asked about e. Suspects count as there to be asked: a
// node that can reach nobody suspects everybody, and must not evict the whole fleet for it.
func (t *Table) checks(e *entry) int {
	others := 0
	for _, o := range t.nodes {
		if o != e && o.Phase != Gone && (o.State == Alive || o.State == Suspect) {
			others++
		}
	}
	return min(t.Limits.IndirectChecks, others)
}

func (e *entry) become(s State, now time.Time) {
	e.State = s
	e.since = now
}

// hear takes a report that a node's heartbeat stood at counter. The caller holds the lock.
func (t *Table) hear(e *entry, counter, revision uint64, load uint32, now time.Time) {
	if e.Phase == Gone || counter <= e.Counter || counter > maxCounter {
		return
	}
	suspectAfter, _ := t.limits(e)
	e.Counter = counter
	e.Revision = max(e.Revision, revision)
	e.Load = load
	switch e.State {
	case Alive:
	case Suspect:
		e.become(Alive, now)
	case Unconfirmed, Dead:
		// One advance may be an old message. A dead node comes back after several advances, each
		// within the time in which a live node is heard.
		if e.damp.rose(now, suspectAfter) {
			e.become(Alive, now)
		}
	}
	e.LastContact = now
}

// hearSelf keeps the own counter above whatever others were told of it, so that a wrong report
// can't make the real heartbeats look old.
func (t *Table) hearSelf(counter uint64) {
	if counter > t.Self.Counter && counter < maxCounter {
		t.Self.Counter = counter + 1
	}
}

// wake returns the local instant, and first distrusts the view if this process was paused. Without
// it, a process that is stopped and continued would take every other node for silent, evict them,
// and answer callers from a view as old as the pause. The caller holds the lock.
func (t *Table) wake() time.Time {
	now := t.now()
	// The monotonic clock stands still while a VM is suspended, the wall clock doesn't.
	gap := max(now.Sub(t.lastTick), now.Round(0).Sub(t.lastTick.Round(0)))
	if gap <= t.Limits.PauseThreshold {
		return now
	}
	t.lastTick = now
	t.pauses++
	t.met = make(map[uint64]bool)
	t.freshBy = now.Add(t.Limits.DeadAfter)
	for _, e := range t.nodes {
		if !e.there() {
			continue
		}
		e.become(Unconfirmed, now)
		e.LastContact = now
		e.damp.distrust()
	}
	return now
}

// refresh counts a node that was met after a pause; enough of them make the view fresh.
func (t *Table) refresh(id uint64, now time.Time) {
	if !now.Before(t.freshBy) {
		return
	}
	t.met[id] = true
	others := 0
	for _, e := range t.nodes {
		if e.there() {
			others++
		}
	}
	if len(t.met) >= min(t.Limits.IndirectChecks, others) {
		t.freshBy = now
	}
}
