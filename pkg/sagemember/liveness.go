package sagemember

import "time"

// updateState moves a node through its states by the time since its last contact. The caller holds the
// lock.
func (t *Table) updateState(e *entry, now time.Time) {
	suspectAfter, deadAfter := t.timeouts(e)
	sinceContact := now.Sub(e.LastContact)
	switch e.State {
	case Alive:
		if sinceContact > suspectAfter {
			e.setState(Suspect, now)
			e.checkedBy = make(map[uint64]bool)
			e.queried = make(map[uint64]bool)
		}
		e.damp.decay(now)
	case Suspect:
		// Without the indirect checks, a node would be evicted by a node that can't receive its
		// heartbeats, because of one bad link for instance, while it serves all others.
		checked := len(e.checkedBy) >= t.requiredChecks(e) || sinceContact > t.Limits.UncheckedDeadAfter
		if sinceContact > deadAfter && checked {
			e.setState(Dead, now)
			e.damp.recordDown(now)
			t.evictions++
		}
	case Unconfirmed:
		// This node never saw it alive, so this is not a flap.
		if sinceContact > deadAfter {
			e.setState(Dead, now)
		}
	case Dead:
	}
}

func (t *Table) timeouts(e *entry) (suspectAfter, deadAfter time.Duration) {
	factor := time.Duration(1)
	if e.DataCentre != t.Self.DataCentre && t.remoteNodes > t.Limits.RemoteWindow {
		factor = time.Duration(max(1, t.Limits.RemoteFactor))
	}
	return factor * t.Limits.SuspectAfter, factor * t.Limits.DeadAfter
}

// requiredChecks returns how many other nodes must be asked about e. Suspects count among them: a node
// that can reach no other node suspects all of them, and must not evict the whole fleet.
func (t *Table) requiredChecks(e *entry) int {
	others := 0
	for _, o := range t.nodes {
		if o != e && o.Phase != Gone && (o.State == Alive || o.State == Suspect) {
			others++
		}
	}
	return min(t.Limits.IndirectChecks, others)
}

func (e *entry) setState(s State, now time.Time) {
	e.State = s
	e.since = now
}

// mergeHeartbeat merges a report of a node's heartbeat: its counter, revision and load. The caller holds
// the lock.
func (t *Table) mergeHeartbeat(e *entry, counter, revision uint64, load uint32, now time.Time) {
	if e.Phase == Gone || counter <= e.Counter || counter > maxCounter {
		return
	}
	suspectAfter, _ := t.timeouts(e)
	e.Counter = counter
	e.Revision = max(e.Revision, revision)
	e.Load = load
	switch e.State {
	case Alive:
	case Suspect:
		e.setState(Alive, now)
	case Unconfirmed, Dead:
		// A single advance may come from an old message. A dead node becomes alive only after several
		// advances, each within suspectAfter of the one before.
		if e.damp.recordSuccess(now, suspectAfter) {
			e.setState(Alive, now)
		}
	}
	e.LastContact = now
}

// mergeOwnCounter keeps the local counter above any value reported for it. Otherwise a wrong, higher
// report would make peers ignore the real heartbeats as old.
func (t *Table) mergeOwnCounter(counter uint64) {
	if counter > t.Self.Counter && counter < maxCounter {
		t.Self.Counter = counter + 1
	}
}

// nowDetectingPause returns the local time. If this process was paused since the last tick, it first
// resets the view to unconfirmed. Without the reset, a process that is stopped and continued would
// consider every other node unresponsive, evict them all, and answer clients from a view as old as the
// pause. The caller holds the lock.
func (t *Table) nowDetectingPause() time.Time {
	now := t.now()
	// The monotonic clock stops while a VM is suspended, the wall clock doesn't.
	gap := max(now.Sub(t.lastTick), now.Round(0).Sub(t.lastTick.Round(0)))
	if gap <= t.Limits.PauseThreshold {
		return now
	}
	t.lastTick = now
	t.pauses++
	t.contactedSincePause = make(map[uint64]bool)
	t.freshFrom = now.Add(t.Limits.DeadAfter)
	for _, e := range t.nodes {
		if !e.present() {
			continue
		}
		e.setState(Unconfirmed, now)
		e.LastContact = now
		e.damp.resetSuccesses()
	}
	return now
}

// recordContact records contact with a node after a pause; once there was contact with enough nodes,
// the view is fresh.
func (t *Table) recordContact(id uint64, now time.Time) {
	if !now.Before(t.freshFrom) {
		return
	}
	t.contactedSincePause[id] = true
	others := 0
	for _, e := range t.nodes {
		if e.present() {
			others++
		}
	}
	if len(t.contactedSincePause) >= min(t.Limits.IndirectChecks, others) {
		t.freshFrom = now
	}
}
